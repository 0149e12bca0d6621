//! Datagrams that are forged, truncated, replayed, too late or beyond the rate limit are dropped.

mod common;

use birchreach_peer_state::datagram::{
    DatagramCodec, DatagramError, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, OpenedDatagram, REPLAY_WINDOW,
};
use birchreach_peer_state::frame::{Key, Keys};
use common::SECOND;

fn codec(secret: u8, incarnation: u64) -> DatagramCodec {
    let key = Key { id: 1, secret: vec![secret; 16] };
    DatagramCodec::new(Keys::new(vec![key]).unwrap(), incarnation)
}

#[test]
fn datagrams_are_accepted_once_and_complete() {
    // Given datagrams of one sender.
    let (mut sender, mut receiver) = (codec(1, 7), codec(1, 8));
    let sent: Vec<Vec<u8>> = (0..200u32).map(|number| sender.seal(&number.to_be_bytes()).unwrap()).collect();

    // Then each of them is accepted once.
    let first = OpenedDatagram { sender_incarnation: 7, payload: &0u32.to_be_bytes() };
    assert_eq!(receiver.open(0, &sent[0]), Ok(first));
    assert_eq!(receiver.open(0, &sent[0]), Err(DatagramError::Replayed));

    // They are accepted out of order within the replay window, but not behind it.
    assert!(receiver.open(0, &sent[90]).is_ok() && receiver.open(0, &sent[50]).is_ok());
    assert_eq!(receiver.open(0, &sent[50]), Err(DatagramError::Replayed));
    let window = REPLAY_WINDOW as usize;
    assert_eq!(receiver.open(0, &sent[90 - window]), Err(DatagramError::Replayed), "too late");
    assert!(receiver.open(0, &sent[91 - window]).is_ok());

    // They are rejected if they are truncated, changed, sealed with another key, or too long.
    let unused = &sent[199];
    assert!((0..unused.len()).all(|length| receiver.open(0, &unused[..length]).is_err()));
    for at in 0..unused.len() {
        let mut changed = unused.clone();
        changed[at] ^= 0x40;
        assert!(receiver.open(0, &changed).is_err(), "byte {at}");
    }
    let forged = codec(2, 7).seal(b"x").unwrap();
    assert_eq!(receiver.open(0, &forged), Err(DatagramError::InvalidMac));
    assert_eq!(receiver.open(0, &[b'b'; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Malformed));
    assert!(receiver.open(0, unused).is_ok(), "a rejected datagram does not use up its sequence number");
}

#[test]
fn a_payload_of_the_maximum_length_gives_a_datagram_of_the_maximum_length() {
    let mut sender = codec(1, 7);

    let longest = sender.seal(&[0; MAX_PAYLOAD_BYTES]);

    assert!(longest.is_some_and(|datagram| datagram.len() == MAX_DATAGRAM_BYTES));
    assert!(sender.seal(&[0; MAX_PAYLOAD_BYTES + 1]).is_none());
}

#[test]
fn the_rate_of_valid_datagrams_is_limited() {
    let (mut sender, mut receiver) = (codec(1, 7), codec(1, 8));

    let accepted = (0..10_000).filter(|_| receiver.open(0, &sender.seal(b"burst").unwrap()).is_ok()).count();

    assert_eq!(accepted, 400);

    // Another sender is not affected, and datagrams of the limited sender are accepted again one second
    // later.
    assert!(receiver.open(0, &codec(1, 9).seal(b"next").unwrap()).is_ok());
    assert!(receiver.open(SECOND, &sender.seal(b"later").unwrap()).is_ok());
}
