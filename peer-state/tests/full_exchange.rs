//! A full exchange over one connection is complete and in order, or rejected.

mod common;

use birchreach_peer_state::frame::{FrameError, Side};
use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange, MAX_PARTS};
use common::keys;

/// A piece size that is larger than any output in these tests.
const ALL_AT_ONCE: usize = 1 << 20;

fn sides() -> (FullExchange, FullExchange) {
    let side = |side, nonce| FullExchange::new(side, keys(&[1]), [nonce; 16]);
    (side(Side::Requester, 1), side(Side::Provider, 2))
}

/// Delivers one side's output to the other in pieces, and returns the events at the other.
fn deliver(
    from: &mut FullExchange,
    to: &mut FullExchange,
    piece_bytes: usize,
) -> Result<Vec<ExchangeEvent>, FrameError> {
    let mut events = Vec::new();
    for bytes in std::mem::take(&mut from.output).chunks(piece_bytes) {
        to.feed(bytes);
        while let Some(event) = to.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

/// A requester and a provider that have received each other's Hello.
fn connected() -> (FullExchange, FullExchange) {
    let (mut requester, mut provider) = sides();
    deliver(&mut requester, &mut provider, 100).unwrap();
    deliver(&mut provider, &mut requester, 100).unwrap();
    (requester, provider)
}

#[test]
fn a_full_exchange_is_complete_or_rejected() {
    for piece_bytes in [1, 100, ALL_AT_ONCE] {
        // Given two sides that have sent Hello.
        let (mut requester, mut provider) = sides();
        assert_eq!(deliver(&mut requester, &mut provider, piece_bytes), Ok(vec![]));
        assert_eq!(deliver(&mut provider, &mut requester, piece_bytes), Ok(vec![ExchangeEvent::Connected]));

        // When the requester sends its parts, then the provider receives all of them.
        let (request, answer) = (vec![vec![1; 40_000], vec![2; 3]], vec![vec![3; 10]]);
        requester.send_parts(&request);
        let received = deliver(&mut requester, &mut provider, piece_bytes);
        assert_eq!(received, Ok(vec![ExchangeEvent::Complete(request)]));
        assert!(!provider.is_finished());

        // When the provider sends its parts, then the exchange is complete at both sides.
        provider.send_parts(&answer);
        let received = deliver(&mut provider, &mut requester, piece_bytes);
        assert_eq!(received, Ok(vec![ExchangeEvent::Complete(answer)]));
        assert!(requester.is_finished() && provider.is_finished());
    }
}

#[test]
fn a_provider_that_sends_first_is_rejected() {
    let (mut requester, mut provider) = sides();
    deliver(&mut requester, &mut provider, 100).unwrap();

    provider.send_parts(&[]);

    assert!(deliver(&mut provider, &mut requester, ALL_AT_ONCE).is_err());
}

#[test]
fn a_requester_that_sends_twice_is_rejected() {
    let (mut requester, mut provider) = connected();
    requester.send_parts(&[]);
    deliver(&mut requester, &mut provider, 100).unwrap();

    requester.send_parts(&[vec![1]]);

    assert_eq!(deliver(&mut requester, &mut provider, 100), Err(FrameError::OutOfOrder));
}

#[test]
fn a_changed_frame_ends_an_exchange() {
    let (mut requester, mut provider) = connected();
    (0..2).for_each(|_| requester.send_parts(&vec![vec![1]; MAX_PARTS]));

    requester.output[100] ^= 1;

    assert!(deliver(&mut requester, &mut provider, ALL_AT_ONCE).is_err());
}
