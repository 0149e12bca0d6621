//! PostgreSQL's protocol, version 3: the codec, the forms of statement, and the state machines of a client's connection
//! (`frontend`) and of a connection to a database (`backend`). They are fed bytes and use no socket.

pub mod arrival_times;
pub mod backend;
pub mod codec;
pub mod commit_time_query;
pub mod copies;
pub mod frontend;
pub mod load_report;
mod partial_reply;
pub mod sqlstate;
pub mod statement;
#[cfg(test)]
mod tests;
