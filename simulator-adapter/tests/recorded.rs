//! Frames of the simulator as recorded: the adapter has to read the recorded input and answer with the recorded output.
//!
//! `recorded/input.bin` holds sixteen batches with every kind of record; `recorded/output.bin` what the adapter
//! replied. The text of log records may be worded anew; their number and place may not change.

mod common;

use common::{ActionRecord, Reply, parse_replies, run_adapter};

const LOG_CODE: u16 = 267;
/// Code and router of a record.
const RECORD_PREFIX_BYTES: usize = 4;

/// What has to be as recorded: the batch number and the records; of a log record its code and its router alone.
#[derive(Debug, PartialEq)]
struct ComparedReply {
    batch: u32,
    records: Vec<Vec<u8>>,
}

/// What is compared of a reply.
fn compared(reply: &Reply) -> ComparedReply {
    ComparedReply { batch: reply.batch, records: reply.actions.iter().map(without_text).collect() }
}

/// What is compared of a record.
fn without_text(record: &ActionRecord) -> Vec<u8> {
    let compared_bytes = if record.code() == LOG_CODE { RECORD_PREFIX_BYTES } else { record.0.len() };
    record.0[..compared_bytes].to_vec()
}

#[test]
fn the_recorded_input_gives_the_recorded_output() {
    // Given the recorded input and output
    let input = include_bytes!("recorded/input.bin");
    let recorded = include_bytes!("recorded/output.bin");
    // When the adapter reads the input
    let run = run_adapter(input);
    // Then it replies as recorded
    run.input_written.unwrap();
    assert!(run.output.status.success());
    let replies: Vec<ComparedReply> = parse_replies(&run.output.stdout).iter().map(compared).collect();
    let recorded: Vec<ComparedReply> = parse_replies(recorded).iter().map(compared).collect();
    assert_eq!(replies.len(), 16);
    assert_eq!(replies, recorded);
}
