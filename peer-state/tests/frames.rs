//! Frames are received completely and in order, or rejected.

mod common;

use birchreach_peer_state::frame::{
    Frame, FrameError, FrameKind, FrameLink, Key, Keys, MAX_PAYLOAD_BYTES, Side,
};
use birchreach_peer_state::{PeerState, TransferPart, snapshot};
use common::{SECOND, keys};

/// A requester and a provider that have received each other's Hello.
fn connected(requester: Keys, provider: Keys) -> Result<(FrameLink, FrameLink), FrameError> {
    let mut requester = FrameLink::new(Side::Requester, requester, [1; 16]);
    let mut provider = FrameLink::new(Side::Provider, provider, [2; 16]);
    provider.feed(&requester.hello());
    assert_eq!(provider.next_frame()?, None);
    requester.feed(&provider.hello());
    assert_eq!(requester.next_frame()?, None);
    assert!(requester.is_established() && provider.is_established());
    Ok((requester, provider))
}

#[test]
fn frames_are_opened_unchanged_whatever_the_sizes_of_reads() {
    for read_bytes in [1, 7, 100, 100_000] {
        let (mut requester, mut provider) = connected(keys(&[1]), keys(&[1])).unwrap();
        let sent = [
            Frame { kind: FrameKind::Part, payload: vec![7; MAX_PAYLOAD_BYTES] },
            Frame { kind: FrameKind::Unknown(77), payload: b"later".to_vec() },
            Frame { kind: FrameKind::Last, payload: b"end".to_vec() },
        ];
        let sealed = sent.iter().flat_map(|frame| provider.seal(frame.kind, &frame.payload));
        let bytes: Vec<u8> = sealed.collect();

        let mut received = Vec::new();
        for chunk in bytes.chunks(read_bytes) {
            requester.feed(chunk);
            while let Some(frame) = requester.next_frame().unwrap() {
                received.push(frame);
            }
        }

        assert_eq!(received, sent);
        assert!(provider.seal(FrameKind::Part, &vec![0; MAX_PAYLOAD_BYTES + 1]).is_empty());
    }
}

#[test]
fn two_keys_are_valid_during_a_rotation() {
    // The requester already seals with the new key. The provider still seals with the old one.
    let (mut requester, mut provider) = connected(keys(&[2, 1]), keys(&[1, 2])).unwrap();

    provider.feed(&requester.seal(FrameKind::Request, b""));
    assert_eq!(provider.next_frame(), Ok(Some(Frame { kind: FrameKind::Request, payload: Vec::new() })));

    requester.feed(&provider.seal(FrameKind::Last, b"x"));
    assert_eq!(requester.next_frame(), Ok(Some(Frame { kind: FrameKind::Last, payload: b"x".to_vec() })));

    assert_eq!(connected(keys(&[2]), keys(&[1])).err(), Some(FrameError::UnknownKey));
}

#[test]
fn invalid_keys_are_rejected() {
    let key = |id, secret: &[u8]| Key { id, secret: secret.to_vec() };
    let (short_secret, duplicate_id) = (vec![key(1, b"short")], vec![key(1, &[0; 16]), key(1, &[1; 16])]);

    for invalid in [vec![], short_secret, duplicate_id] {
        assert!(Keys::new(invalid).is_err());
    }
}

/// Feeds bytes that `make_input` makes from a connected pair to the requester, and returns the error. Checks
/// that the requester accepts no input after it.
fn error_of(make_input: impl Fn(&mut FrameLink, &mut FrameLink) -> Vec<u8>) -> Option<FrameError> {
    let (mut requester, mut provider) = connected(keys(&[1]), keys(&[1])).unwrap();
    let bytes = make_input(&mut requester, &mut provider);
    requester.feed(&bytes);
    let error = requester.next_frame().err();
    assert_eq!(requester.next_frame(), Err(FrameError::NotAFrame), "no frame is opened after an error");
    assert!(!requester.wants_input());
    error
}

#[test]
fn changed_frames_are_rejected() {
    let changed = |at: usize| {
        error_of(move |_, provider| {
            let mut frame = provider.seal(FrameKind::Part, b"payload");
            frame[at] ^= 1;
            frame
        })
    };

    // A byte of the kind, of the payload, and of the MAC.
    for at in [3, 14, 25] {
        assert_eq!(changed(at), Some(FrameError::InvalidMac), "byte {at}");
    }
    assert_eq!(changed(0), Some(FrameError::NotAFrame));
    assert_eq!(changed(2), Some(FrameError::Version(0)));
    assert_eq!(changed(7), Some(FrameError::UnknownKey));
    assert_eq!(changed(8), Some(FrameError::TooLong));
}

#[test]
fn replayed_and_out_of_order_frames_are_rejected() {
    let replayed = error_of(|requester, provider| {
        let frame = provider.seal(FrameKind::Part, b"x");
        requester.feed(&frame);
        assert!(requester.next_frame().unwrap().is_some());
        frame
    });
    assert_eq!(replayed, Some(FrameError::InvalidMac));

    let after_a_lost_frame = error_of(|_, provider| {
        provider.seal(FrameKind::Part, b"lost");
        provider.seal(FrameKind::Last, b"x")
    });
    assert_eq!(after_a_lost_frame, Some(FrameError::InvalidMac));

    let reflected = error_of(|requester, _| requester.seal(FrameKind::Part, b"x"));
    assert_eq!(reflected, Some(FrameError::InvalidMac));

    let of_another_connection = error_of(|_, _| {
        let mut provider = FrameLink::new(Side::Provider, keys(&[1]), [3; 16]);
        let mut requester = FrameLink::new(Side::Requester, keys(&[1]), [1; 16]);
        provider.feed(&requester.hello());
        provider.next_frame().unwrap();
        provider.hello();
        provider.seal(FrameKind::Part, b"x")
    });
    assert_eq!(of_another_connection, Some(FrameError::InvalidMac));
}

#[test]
fn a_hello_is_only_accepted_as_the_first_frame() {
    assert_eq!(error_of(|_, provider| provider.hello()), Some(FrameError::OutOfOrder));

    let mut provider = FrameLink::new(Side::Provider, keys(&[1]), [2; 16]);
    let (mut requester, _) = connected(keys(&[1]), keys(&[1])).unwrap();

    provider.feed(&requester.seal(FrameKind::Request, b""));

    assert_eq!(provider.next_frame(), Err(FrameError::OutOfOrder));
}

/// No decoder of received bytes panics, whatever the bytes are.
#[test]
fn malformed_frames_are_rejected() {
    let (mut requester, mut provider) = connected(keys(&[1]), keys(&[1])).unwrap();
    let valid = [requester.seal(FrameKind::Request, b"something"), provider.seal(FrameKind::Part, &[5; 300])];

    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = valid[rng.usize(0..2)].repeat(2);
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }

        let side = if rng.bool() { Side::Requester } else { Side::Provider };
        let mut link = FrameLink::new(side, keys(&[1]), [9; 16]);
        link.feed(&bytes);
        while let Ok(Some(_)) = link.next_frame() {}

        // The payload of an authenticated frame can be malformed, too.
        let part: Result<TransferPart, _> = postcard::from_bytes(&bytes);
        if let Ok(part) = part {
            PeerState::new(1).apply_transfer(SECOND, &part);
        }
        let _ = snapshot::read(&bytes, 0);
    }
}
