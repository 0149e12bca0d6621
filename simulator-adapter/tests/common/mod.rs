//! Helpers that run the built adapter and parse its replies.

use std::io::{self, Write};
use std::process::{Command, Output, Stdio};

/// Length of a reply's header: length of the body, number of records and batch number.
const REPLY_HEADER_BYTES: usize = 12;
/// Length of an action record in bytes.
pub(crate) const ACTION_BYTES: usize = 24;

/// The result of a run of the adapter.
pub(crate) struct AdapterRun {
    pub output: Output,
    /// `Ok` if all of the input was written to the adapter.
    pub input_written: io::Result<()>,
}

/// The adapter's reply to one batch.
pub(crate) struct Reply {
    pub batch: u32,
    pub actions: Vec<ActionRecord>,
}

/// The bytes of an action record.
#[derive(Debug, PartialEq)]
pub(crate) struct ActionRecord(pub [u8; ACTION_BYTES]);

impl ActionRecord {
    /// Returns the code of the action.
    pub(crate) fn code(&self) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]])
    }
}

/// Runs the adapter with this input until the adapter exits.
pub(crate) fn run_adapter(input: &[u8]) -> AdapterRun {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_birchreach-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = adapter.stdin.take().unwrap();
    std::thread::scope(|scope| {
        // The thread takes ownership of the pipe, so that the pipe is closed after the last byte is written.
        let writer = scope.spawn(move || stdin.write_all(input));
        let output = adapter.wait_with_output().unwrap();
        AdapterRun { output, input_written: writer.join().unwrap() }
    })
}

/// Parses the output of the adapter.
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
