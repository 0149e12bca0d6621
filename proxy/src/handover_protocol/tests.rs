//! The bytes between two processes of one proxy, literally: a process of another version must understand them.

use super::*;

const SERVING: &[u8] = b"serving\n";
const STOPPING: &[u8] = b"leaving 17\n";
const STOPS_ACCEPTING_AT: &[u8] = b"yields 1767225600123456\n";

/// Each message with its line on the wire.
const MESSAGES: [(HandoverMessage, &[u8]); 3] = [
    (HandoverMessage::Serving, SERVING),
    (HandoverMessage::Stopping(17), STOPPING),
    (HandoverMessage::StopsAcceptingAt(1_767_225_600_123_456), STOPS_ACCEPTING_AT),
];

#[test]
fn each_message_is_encoded_as_one_line() {
    for (message, line) in MESSAGES {
        // Given a message, when it is sent
        let mut sender = HandoverProtocol::default();
        sender.send(message);
        // Then its line is to be written
        assert_eq!(sender.outbox.pending(), line, "{message:?}");
    }
}

#[test]
fn each_line_is_decoded_into_its_message() {
    for (message, line) in MESSAGES {
        // Given a message's line, when it arrives
        let mut receiver = HandoverProtocol::default();
        receiver.feed(line);
        // Then the message is read, once
        assert_eq!(receiver.next_message(), Ok(Some(message)));
        assert_eq!(receiver.next_message(), Ok(None));
    }
}

#[test]
fn negative_times_and_carriage_returns_are_accepted() {
    // Given lines that end with a carriage return, one with a time before the epoch, when they arrive
    let mut receiver = HandoverProtocol::default();
    receiver.feed(b"yields -5\r\nleaving 0\r\n");
    // Then their messages are read
    assert_eq!(receiver.next_message(), Ok(Some(HandoverMessage::StopsAcceptingAt(-5))));
    assert_eq!(receiver.next_message(), Ok(Some(HandoverMessage::Stopping(0))));
}

#[test]
fn messages_arrive_in_order_when_fed_byte_by_byte() {
    // Given the bytes of several messages
    let mut sender = HandoverProtocol::default();
    for (message, _) in MESSAGES {
        sender.send(message);
    }
    // When they arrive one by one
    let mut receiver = HandoverProtocol::default();
    let mut received = Vec::new();
    for byte in sender.outbox.pending() {
        receiver.feed(&[*byte]);
        received.extend(receiver.next_message().unwrap());
    }
    // Then all messages are read in their order
    assert_eq!(received, MESSAGES.map(|(message, _)| message));
}

#[test]
fn invalid_lines_are_reported() {
    for line in ["leaving\n", "leaving -1\n", "yields soon\n", "\n", &"x".repeat(65)] {
        // Given a line that is no message, when it arrives
        let mut receiver = HandoverProtocol::default();
        receiver.feed(line.as_bytes());
        // Then it is reported
        assert_eq!(receiver.next_message(), Err(InvalidMessage), "{line}");
    }
}
