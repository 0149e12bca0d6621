//! The adapter replies to the recorded input of the simulator with the recorded output.
//!
//! `recorded/input.bin` holds sixteen batches with every kind of record, and `recorded/output.bin` holds the adapter's
//! replies. The texts of log records may change; their number and positions may not.

mod common;

use common::{ActionRecord, Reply, parse_replies, run_adapter};

const LOG_CODE: u16 = 267;
/// Length of the code and the router at the start of a record.
const RECORD_PREFIX_BYTES: usize = 4;

/// The part of a reply that must be equal to the recorded one: the batch number and the records. Of a log record, only
/// the code and the router are compared.
#[derive(Debug, PartialEq)]
struct ComparedReply {
    batch: u32,
    records: Vec<Vec<u8>>,
}

/// Returns the part of a reply that is compared.
fn compared_reply(reply: &Reply) -> ComparedReply {
    ComparedReply { batch: reply.batch, records: reply.actions.iter().map(compared_record).collect() }
}

/// Returns the bytes of a record that are compared.
fn compared_record(record: &ActionRecord) -> Vec<u8> {
    let compared_bytes = if record.code() == LOG_CODE { RECORD_PREFIX_BYTES } else { record.0.len() };
    record.0[..compared_bytes].to_vec()
}

#[test]
fn the_adapter_replies_to_the_recorded_input_with_the_recorded_output() {
    // Given the recorded input and output
    let input = include_bytes!("recorded/input.bin");
    let recorded = include_bytes!("recorded/output.bin");
    // When the adapter reads the input
    let run = run_adapter(input);
    // Then its replies are equal to the recorded ones
    run.input_written.unwrap();
    assert!(run.output.status.success());
    let replies: Vec<ComparedReply> = parse_replies(&run.output.stdout).iter().map(compared_reply).collect();
    let recorded: Vec<ComparedReply> = parse_replies(recorded).iter().map(compared_reply).collect();
    assert_eq!(replies.len(), 16);
    assert_eq!(replies, recorded);
}
