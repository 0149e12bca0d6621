//! The exact bytes between two processes of one proxy. They must not change, because a process of another version must understand
//! them.

use super::*;

const SERVING: &[u8] = b"serving\n";
const STOPPING: &[u8] = b"leaving 17\n";
const STOPS_ACCEPTING_AT: &[u8] = b"yields 1767225600123456\n";
const SHARES_SESSION_WRITES: &[u8] = b"yields 0\n";
const SESSION_WRITTEN: &[u8] = b"committed 00000000000000af 1767225600123000\n";
const SESSION_WRITES_MISSED: &[u8] = b"missed 1767225600123001\n";
const SESSION_WRITES_REPORTED: &[u8] = b"current 1767225600123002\n";
const SESSION_WRITES_FINISHED: &[u8] = b"finished\n";
const PRIMARY_CONFIRMED: &[u8] = b"primary 1767225600123003 s-5be2a07c\n";
const REPLICA_CONFIRMED: &[u8] = b"replica 1767225600123004 s 1\n";

/// Each message with its line on the wire.
fn messages() -> [(HandoverMessage, &'static [u8]); 10] {
    [
        (HandoverMessage::Serving, SERVING),
        (HandoverMessage::Stopping(17), STOPPING),
        (HandoverMessage::StopsAcceptingAt(1_767_225_600_123_456), STOPS_ACCEPTING_AT),
        (HandoverMessage::SharesSessionWrites, SHARES_SESSION_WRITES),
        (
            HandoverMessage::SessionWritten { session: SessionId(0xaf), position: 1_767_225_600_123_000 },
            SESSION_WRITTEN,
        ),
        (HandoverMessage::SessionWritesMissed(1_767_225_600_123_001), SESSION_WRITES_MISSED),
        (HandoverMessage::SessionWritesReportedUntil(1_767_225_600_123_002), SESSION_WRITES_REPORTED),
        (HandoverMessage::SessionWritesFinished, SESSION_WRITES_FINISHED),
        (HandoverMessage::RoleConfirmed(confirmed_role("s-5be2a07c", Role::Primary, 3)), PRIMARY_CONFIRMED),
        (HandoverMessage::RoleConfirmed(confirmed_role("s 1", Role::Replica, 4)), REPLICA_CONFIRMED),
    ]
}

/// A role that was confirmed this many microseconds after a fixed time.
fn confirmed_role(uid: &str, role: Role, offset: i64) -> ConfirmedRole {
    ConfirmedRole { uid: uid.to_string(), role, confirmed_at: 1_767_225_600_123_000 + offset }
}

#[test]
fn each_message_is_encoded_as_one_line() {
    for (message, line) in messages() {
        // Given a message, when it is sent
        let mut sender = HandoverProtocol::default();
        sender.send(message.clone());
        // Then the outbox contains its line
        assert_eq!(sender.outbox.pending(), line, "{message:?}");
    }
}

#[test]
fn each_line_is_decoded_into_its_message() {
    for (message, line) in messages() {
        // Given a message's line, when it arrives
        let mut receiver = HandoverProtocol::default();
        receiver.feed(line);
        // Then the message is returned once
        assert_eq!(receiver.next_message(), Ok(Some(message)));
        assert_eq!(receiver.next_message(), Ok(None));
    }
}

#[test]
fn negative_times_and_carriage_returns_are_accepted() {
    // Given lines that end with a carriage return, one with a time before the epoch, when they arrive
    let mut receiver = HandoverProtocol::default();
    receiver.feed(b"yields -5\r\nleaving 0\r\n");
    // Then their messages are returned
    assert_eq!(receiver.next_message(), Ok(Some(HandoverMessage::StopsAcceptingAt(-5))));
    assert_eq!(receiver.next_message(), Ok(Some(HandoverMessage::Stopping(0))));
}

#[test]
fn messages_arrive_in_order_when_fed_byte_by_byte() {
    // Given the lines of several messages
    let mut sender = HandoverProtocol::default();
    for (message, _) in messages() {
        sender.send(message);
    }
    // When their bytes arrive one by one
    let mut receiver = HandoverProtocol::default();
    let mut received = Vec::new();
    for byte in sender.outbox.pending() {
        receiver.feed(&[*byte]);
        received.extend(receiver.next_message().unwrap());
    }
    // Then all messages are returned in the order in which they were sent
    assert_eq!(received, messages().map(|(message, _)| message));
}

#[test]
fn invalid_lines_are_rejected() {
    for line in [
        "leaving\n",
        "leaving -1\n",
        "yields soon\n",
        "\n",
        &"x".repeat(MAX_LINE_BYTES + 1),
        "primary\n",
        "replica s-1\n",
        "replica now s-1\n",
        "committed\n",
        "committed af\n",
        "committed xyz 5\n",
        "committed 00000000000000001 5 5\n",
        "missed\n",
        "missed 99999999999999999999\n",
        "current now\n",
        "finished now\n",
    ] {
        // Given a line that is not a message, when it arrives
        let mut receiver = HandoverProtocol::default();
        receiver.feed(line.as_bytes());
        // Then an error is returned
        assert_eq!(receiver.next_message(), Err(InvalidMessage), "{line}");
    }
}
