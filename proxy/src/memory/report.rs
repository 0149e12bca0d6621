//! The report of the process's memory to operators.

use super::{allocated_bytes, resident_bytes};
use std::fmt::Write;

/// The bytes that connections of one kind hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeldBytes {
    /// Bytes that were received and are not processed.
    pub input: usize,
    /// Bytes that wait to be written.
    pub output: usize,
    /// Statements that are being executed, or may be executed again.
    pub statements: usize,
}

/// The memory of the process, by what holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryReport {
    /// The limit from the configuration, in bytes.
    pub limit: usize,
    pub clients: HeldBytes,
    pub databases: HeldBytes,
    /// Connections to databases whose replies wait in their sockets.
    pub deferred_replies: usize,
    /// Timers that are set, including those that no longer apply.
    pub timers: usize,
}

impl MemoryReport {
    /// Returns every figure on a line of its own. The names are public and must not change.
    pub(crate) fn lines(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: usize| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "relay.memory.{name}={value}");
        };
        line("limit", self.limit);
        line("resident", resident_bytes().unwrap_or(0));
        line("allocated", allocated_bytes());
        line("client_input", self.clients.input);
        line("client_output", self.clients.output);
        line("client_statements", self.clients.statements);
        line("database_input", self.databases.input);
        line("database_output", self.databases.output);
        line("deferred_replies", self.deferred_replies);
        line("timers", self.timers);
        text
    }
}
