//! PostgreSQL's protocol, version 3: the codec, the forms of statement, and the state machines of a client's connection
//! (`frontend`) and of a connection to a database (`backend`). They are fed bytes and use no socket.

pub(crate) mod arrival_times;
pub(crate) mod backend;
pub(crate) mod codec;
pub(crate) mod commit_time_query;
pub(crate) mod copies;
pub(crate) mod frontend;
pub(crate) mod load_report;
mod partial_reply;
pub(crate) mod sqlstate;
pub(crate) mod statement;
#[cfg(test)]
mod tests;
