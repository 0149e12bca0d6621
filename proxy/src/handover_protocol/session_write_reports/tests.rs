//! What another process is told while it does not understand the reports yet, and while it takes nothing.

use super::*;

const SESSION: SessionId = SessionId(0xaf);

/// Takes the pending output, as if it had been written to the other process.
fn take_output(protocol: &mut HandoverProtocol) -> String {
    let text = String::from_utf8(protocol.outbox.pending().to_vec()).unwrap();
    protocol.outbox.advance(text.len());
    text
}

#[test]
fn writes_before_the_start_are_reported_as_missed() {
    // Given a process that does not understand reports, when a write is answered
    let (mut reports, mut protocol) = (SessionWriteReports::default(), HandoverProtocol::default());
    reports.report(&mut protocol, SESSION, 5);
    reports.announce(&mut protocol, 6);
    reports.finish(&mut protocol);
    // Then nothing is sent
    assert_eq!(take_output(&mut protocol), "");
    // When it understands them, then the highest position is reported once, before the announcement
    reports.start(Some(3));
    reports.start(Some(9));
    reports.announce(&mut protocol, 7);
    reports.report(&mut protocol, SESSION, 8);
    reports.finish(&mut protocol);
    assert_eq!(take_output(&mut protocol), "missed 5\ncurrent 7\ncommitted 00000000000000af 8\nfinished\n");
}

#[test]
fn the_output_is_bounded_and_no_write_is_left_out_of_an_announcement() {
    // Given a process that takes nothing, when many writes are answered
    let (mut reports, mut protocol) = (SessionWriteReports::default(), HandoverProtocol::default());
    reports.start(None);
    for position in 1..=10_000 {
        reports.report(&mut protocol, SESSION, position);
        reports.announce(&mut protocol, position);
    }
    // Then the output is bounded, and its last announcement is not later than its last write
    assert!(protocol.outbox.pending().len() < MAX_BUFFERED_BYTES + 100);
    protocol.outbox.advance(1);
    reports.report(&mut protocol, SESSION, 10_001);
    let output = take_output(&mut protocol);
    assert!(!output.contains("10001") && !output.contains("missed"), "the buffer is still full");
    // When it has taken everything, then the writes that were left out come before the next announcement
    reports.announce(&mut protocol, 10_002);
    assert_eq!(take_output(&mut protocol), "missed 10001\ncurrent 10002\n");
}
