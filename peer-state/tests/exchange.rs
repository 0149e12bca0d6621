//! A full exchange over one link: whole, in its order, or not at all.

use birchreach_peer_state::frame::{Keys, Refused, Side};

fn keys(ids: &[u32]) -> Keys {
    Keys::new(ids.iter().map(|id| (*id, format!("a secret with the number {id}").into_bytes())).collect())
        .unwrap()
}

#[test]
fn an_exchange_is_whole_or_nothing() {
    use birchreach_peer_state::exchange::{Exchange, MOST_PARTS, Step};
    let ends =
        || (Exchange::new(Side::Asker, keys(&[1]), [1; 16]), Exchange::new(Side::Donor, keys(&[1]), [2; 16]));
    let pass = |from: &mut Exchange, to: &mut Exchange, piece: usize| {
        let mut steps = Vec::new();
        for bytes in std::mem::take(&mut from.out).chunks(piece) {
            to.feed(bytes);
            while let Some(step) = to.step()? {
                steps.push(step);
            }
        }
        Ok::<_, Refused>(steps)
    };
    for piece in [1, 100, 1 << 20] {
        let (mut a, mut d) = ends();
        assert_eq!(pass(&mut a, &mut d, piece), Ok(vec![]));
        assert_eq!(pass(&mut d, &mut a, piece), Ok(vec![Step::Greeted]));
        let (theirs, ours) = (vec![vec![1; 40_000], vec![2; 3]], vec![vec![3; 10]]);
        a.tell(&theirs);
        assert_eq!(pass(&mut a, &mut d, piece), Ok(vec![Step::Whole(theirs)]));
        assert!(!d.over());
        d.tell(&ours);
        assert_eq!(pass(&mut d, &mut a, piece), Ok(vec![Step::Whole(ours)]));
        assert!(a.over() && d.over());
    }
    // A donor that speaks unasked, an asker that tells twice, or more than is taken.
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    d.tell(&[]);
    assert!(pass(&mut d, &mut a, 1 << 20).is_err());
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    pass(&mut d, &mut a, 100).unwrap();
    a.tell(&[]);
    pass(&mut a, &mut d, 100).unwrap();
    a.tell(&[vec![1]]);
    assert_eq!(pass(&mut a, &mut d, 100), Err(Refused::Order));
    let (mut a, mut d) = ends();
    pass(&mut a, &mut d, 100).unwrap();
    pass(&mut d, &mut a, 100).unwrap();
    (0..2).for_each(|_| a.tell(&vec![vec![1]; MOST_PARTS]));
    // A frame that is spoilt ends it, and nothing of it is taken.
    a.out[100] ^= 1;
    assert!(pass(&mut a, &mut d, 1 << 20).is_err());
}
