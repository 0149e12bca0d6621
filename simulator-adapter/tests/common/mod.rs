//! Runs the built adapter and parses its replies.

use std::io::{self, Write};
use std::process::{Command, Output, Stdio};

/// Length of a reply's header: the body's length, the number of records and the batch number.
const REPLY_HEADER_BYTES: usize = 12;
/// Length of an action record.
pub(crate) const ACTION_BYTES: usize = 24;

/// A run of the adapter that has ended.
pub(crate) struct AdapterRun {
    pub output: Output,
    /// Whether the adapter read all of its input.
    pub input_written: io::Result<()>,
}

/// The action records of a reply.
pub(crate) struct Reply {
    pub batch: u32,
    pub actions: Vec<ActionRecord>,
}

/// The bytes of an action record.
#[derive(Debug, PartialEq)]
pub(crate) struct ActionRecord(pub [u8; ACTION_BYTES]);

impl ActionRecord {
    /// What kind of action it is.
    pub(crate) fn code(&self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]])
    }
}

/// Runs the adapter with this input, up to its exit.
pub(crate) fn run_adapter(input: &[u8]) -> AdapterRun {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_birchreach-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = adapter.stdin.take().unwrap();
    std::thread::scope(|scope| {
        // Moved in, so that the pipe is closed once all is written.
        let writer = scope.spawn(move || stdin.write_all(input));
        let output = adapter.wait_with_output().unwrap();
        AdapterRun { output, input_written: writer.join().unwrap() }
    })
}

/// Parses the adapter's output.
pub(crate) fn parse_replies(output: &[u8]) -> Vec<Reply> {
    let number_at = |start: usize| u32::from_le_bytes(output[start..start + 4].try_into().unwrap());
    let mut replies = Vec::new();
    let mut start = 0;
    while start < output.len() {
        let (length, count) = (number_at(start) as usize, number_at(start + 4) as usize);
        let batch = number_at(start + 8);
        let body = &output[start + REPLY_HEADER_BYTES..start + REPLY_HEADER_BYTES + length];
        let records = body[..count * ACTION_BYTES].chunks_exact(ACTION_BYTES);
        let actions = records.map(|record| ActionRecord(record.try_into().unwrap())).collect();
        replies.push(Reply { batch, actions });
        start += REPLY_HEADER_BYTES + length;
    }
    replies
}
