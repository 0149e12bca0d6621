//! PostgreSQL's protocol, version 3: the codec, the statement's form, and the two state machines.
//! They are fed bytes and know no socket.

mod answer;
pub mod arrivals;
pub mod backend;
pub mod codec;
pub mod commit_time_query;
pub mod copies;
pub mod frontend;
pub mod report;
pub mod statement;
#[cfg(test)]
mod tests;

/// The SQLSTATE codes that the proxy speaks or understands.
pub mod sqlstate {
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const READ_ONLY: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const SYSTEM_ERROR: &str = "58000";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const INVALID_VALUE: &str = "22023";
    pub const NOT_SUPPORTED: &str = "0A000";
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const LIMIT_EXCEEDED: &str = "54000";
}
