//! Datagrams among proxies: what is forged, cut, repeated, late or too much is dropped.

use birchreach_peer_state::datagram::{
    DatagramCodec, DatagramError, MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, REPLAY_WINDOW,
};
use birchreach_peer_state::frame::Keys;

fn keys(secret: u8) -> Keys {
    Keys::new(vec![(1, vec![secret; 16])]).unwrap()
}

#[test]
fn datagrams_are_taken_once_and_whole() {
    let (mut a, mut b) = (DatagramCodec::new(keys(1), 7), DatagramCodec::new(keys(1), 8));
    let sent: Vec<Vec<u8>> = (0..200u32).map(|n| a.seal(&n.to_be_bytes()).unwrap()).collect();
    assert_eq!(b.open(0, &sent[0]), Ok((7, &0u32.to_be_bytes()[..])));
    assert_eq!(b.open(0, &sent[0]), Err(DatagramError::Replayed));
    // In another order, but not from too far back.
    assert!(b.open(0, &sent[90]).is_ok() && b.open(0, &sent[50]).is_ok());
    assert_eq!(b.open(0, &sent[50]), Err(DatagramError::Replayed));
    assert_eq!(b.open(0, &sent[90 - REPLAY_WINDOW as usize]), Err(DatagramError::Replayed), "minutes late");
    assert!(b.open(0, &sent[91 - REPLAY_WINDOW as usize]).is_ok());
    // Cut at any place, changed at any place, of another key, too long.
    let fresh = &sent[199];
    assert!((0..fresh.len()).all(|n| b.open(0, &fresh[..n]).is_err()));
    for at in 0..fresh.len() {
        let mut changed = fresh.clone();
        changed[at] ^= 0x40;
        assert!(b.open(0, &changed).is_err(), "byte {at}");
    }
    assert_eq!(b.open(0, &DatagramCodec::new(keys(2), 7).seal(b"x").unwrap()), Err(DatagramError::WrongCode));
    assert_eq!(b.open(0, &[b'b'; MAX_DATAGRAM_BYTES + 1]), Err(DatagramError::Malformed));
    assert!(b.open(0, fresh).is_ok(), "none of that has used it up");
    assert!(
        a.seal(&[0; MAX_PAYLOAD_BYTES]).is_some_and(|d| d.len() == MAX_DATAGRAM_BYTES)
            && a.seal(&[0; MAX_PAYLOAD_BYTES + 1]).is_none()
    );
}

#[test]
fn a_flood_of_good_datagrams_is_bounded() {
    let (mut a, mut b) = (DatagramCodec::new(keys(1), 7), DatagramCodec::new(keys(1), 8));
    let taken = (0..10_000).filter(|_| b.open(0, &a.seal(b"flood").unwrap()).is_ok()).count();
    assert_eq!(taken, 400);
    // Another sender is not kept out, and the flood's own sender is heard again a second later.
    assert!(b.open(0, &DatagramCodec::new(keys(1), 9).seal(b"well").unwrap()).is_ok());
    assert!(b.open(1_000_000, &a.seal(b"later").unwrap()).is_ok());
}
