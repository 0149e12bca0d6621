//! PostgreSQL protocol version 3: the codec, the accepted statements, and the state machines of a client connection (`frontend`)
//! and of a database connection (`backend`). The state machines take bytes as input and perform no I/O.

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
