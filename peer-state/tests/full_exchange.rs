//! A full exchange over one link: whole, in its order, or not at all.

use birchreach_peer_state::frame::{FrameError, Keys, Side};

fn keys(ids: &[u32]) -> Keys {
    Keys::new(ids.iter().map(|id| (*id, format!("a secret with the number {id}").into_bytes())).collect())
        .unwrap()
}

#[test]
fn an_exchange_is_whole_or_nothing() {
    use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange, MAX_PARTS};
    let ends = || {
        (
            FullExchange::new(Side::Requester, keys(&[1]), [1; 16]),
            FullExchange::new(Side::Provider, keys(&[1]), [2; 16]),
        )
    };
    let pass = |from: &mut FullExchange, to: &mut FullExchange, piece: usize| {
        let mut steps = Vec::new();
        for bytes in std::mem::take(&mut from.output).chunks(piece) {
            to.feed(bytes);
            while let Some(step) = to.next_event()? {
                steps.push(step);
            }
        }
        Ok::<_, FrameError>(steps)
    };
    for piece in [1, 100, 1 << 20] {
        let (mut a, mut d) = ends();
        assert_eq!(pass(&mut a, &mut d, piece), Ok(vec![]));
        assert_eq!(pass(&mut d, &mut a, piece), Ok(vec![ExchangeEvent::Connected]));
        let (theirs, ours) = (vec![vec![1; 40_000], vec![2; 3]], vec![vec![3; 10]]);
        a.send_parts(&theirs);
        assert_eq!(pass(&mut a, &mut d, piece), Ok(vec![ExchangeEvent::Complete(theirs)]));
        assert!(!d.is_finished());
        d.send_parts(&ours);
        assert_eq!(pass(&mut d, &mut a, piece), Ok(vec![ExchangeEvent::Complete(ours)]));
        assert!(a.is_finished() && d.is_finished());
    }
    // A donor that speaks unasked, an asker that tells twice, or more than is taken.
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    d.send_parts(&[]);
    assert!(pass(&mut d, &mut a, 1 << 20).is_err());
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    pass(&mut d, &mut a, 100).unwrap();
    a.send_parts(&[]);
    pass(&mut a, &mut d, 100).unwrap();
    a.send_parts(&[vec![1]]);
    assert_eq!(pass(&mut a, &mut d, 100), Err(FrameError::OutOfOrder));
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    pass(&mut d, &mut a, 100).unwrap();
    (0..2).for_each(|_| a.send_parts(&vec![vec![1]; MAX_PARTS]));
    // A frame that is spoilt ends it, and nothing of it is taken.
    a.output[100] ^= 1;
    assert!(pass(&mut a, &mut d, 1 << 20).is_err());
}
