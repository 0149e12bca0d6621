//! Frames of the simulator as recorded: the adapter has to read the recorded input and answer with the recorded output.
//!
//! `recorded/input.bin` holds sixteen batches with every kind of record; `recorded/output.bin` what the adapter replied. The text of log
//! records may be worded anew; their number and place may not change.

use std::io::Write;
use std::process::{Command, Stdio};

const HEADER_BYTES: usize = 12;
const RECORD_BYTES: usize = 24;
const LOG_CODE: u16 = 267;

/// One reply: its batch number and its records; a log record keeps its code and its router alone.
#[derive(Debug, PartialEq)]
struct Reply {
    batch: u32,
    records: Vec<Vec<u8>>,
}

fn replies(output: &[u8]) -> Vec<Reply> {
    let u32_at = |at: usize| u32::from_le_bytes(output[at..at + 4].try_into().unwrap());
    let mut replies = Vec::new();
    let mut start = 0;
    while start < output.len() {
        let (length, count, batch) = (u32_at(start) as usize, u32_at(start + 4) as usize, u32_at(start + 8));
        let body = &output[start + HEADER_BYTES..start + HEADER_BYTES + length];
        let records = body[..count * RECORD_BYTES].chunks_exact(RECORD_BYTES).map(without_text).collect();
        replies.push(Reply { batch, records });
        start += HEADER_BYTES + length;
    }
    replies
}

fn without_text(record: &[u8]) -> Vec<u8> {
    let code = u16::from_le_bytes([record[0], record[1]]);
    let kept = if code == LOG_CODE { 4 } else { RECORD_BYTES };
    record[..kept].to_vec()
}

#[test]
fn the_recorded_input_gives_the_recorded_output() {
    let input = include_bytes!("recorded/input.bin");
    let recorded = include_bytes!("recorded/output.bin");
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_birchreach-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = adapter.stdin.take().unwrap();
    let writer = std::thread::spawn(move || stdin.write_all(input));
    let output = adapter.wait_with_output().unwrap();
    writer.join().unwrap().unwrap();
    assert!(output.status.success());
    let (played, recorded) = (replies(&output.stdout), replies(recorded));
    assert_eq!(played.len(), 16);
    assert_eq!(played, recorded);
}
