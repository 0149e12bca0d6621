//! Many proxies that call one discovery of fixed capacity.

use super::super::backoff::{LONGEST_TURN, TURN};
use super::super::error::CallError;
use super::asked;
use birchreach::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A call that would wait longer for its turn finds no room.
const ROOM: Micros = 2_000_000;

/// When each of so many proxies, all started at once, holds the list; and the longest time between two calls of one.
fn told(proxies: usize, seed: u64) -> (Vec<Micros>, Micros) {
    let backoffs = (0..proxies).map(|n| asked(proxies as u32, seed * 1_000 + n as u64));
    let mut backoffs: Vec<_> = backoffs.collect();
    let first = backoffs.iter_mut().enumerate().map(|(n, backoff)| Reverse((backoff.first(), n)));
    let mut calls: BinaryHeap<_> = first.collect();
    let (mut free, mut longest) = (0, 0);
    let mut told = Vec::new();
    while let Some(Reverse((now, n))) = calls.pop() {
        let turn = now.max(free);
        if turn - now <= ROOM {
            free = turn + TURN;
            told.push(free);
        } else {
            let wait = backoffs[n].failed(&CallError::NoRoom);
            longest = longest.max(wait);
            calls.push(Reverse((now + wait, n)));
        }
    }
    told.sort_unstable();
    (told, longest)
}

/// Up to fifty proxies all hold the list within the time after which it counts as told. For more the capacity does not suffice:
/// it is used to the last turn, nobody is left out, and nobody waits longer than the bound between two calls.
#[test]
fn a_mass_restart_is_told_as_fast_as_discovery_can() {
    for seed in 1..=5 {
        for proxies in [1, 5, 20, 48, 100, 300] {
            let (told, longest) = told(proxies, seed);
            let last = told[told.len() - 1];
            let capacity = proxies as Micros * TURN;
            assert!(longest <= LONGEST_TURN);
            assert!(last <= capacity + capacity / 4 + LONGEST_TURN, "{proxies}: {last}");
            assert!(proxies > 50 || last < 6_000_000, "{proxies}: {last}");
        }
    }
}

/// 48 proxies that start at one moment: their calls must not come in crowds.
#[test]
fn a_herd_spreads_its_calls() {
    let mut backoffs: Vec<_> = (0..48).map(|seed| asked(48, seed)).collect();
    let most_in_a_second = |times: &[Micros]| {
        times.iter().map(|at| times.iter().filter(|t| (0..1_000_000).contains(&(*t - at))).count()).max()
    };
    // Half of them find no room: they fit into half a round, and a longer one if that was not enough.
    let mut again = |_: usize| -> Vec<Micros> {
        backoffs[..24].iter_mut().map(|backoff| backoff.failed(&CallError::NoRoom)).collect()
    };
    let (second, third) = (again(2), again(3));
    assert!(most_in_a_second(&second) < Some(26) && second.iter().all(|t| *t <= 1_440_000), "{second:?}");
    assert!(third.iter().any(|t| *t > 1_440_000) && third.iter().all(|t| *t <= 2_880_000), "{third:?}");
    // A connection that broke is another matter: the watch goes on if the call comes soon.
    assert!(backoffs.iter_mut().all(|backoff| backoff.failed(&CallError::Closed) <= 20_000));
    backoffs.iter_mut().for_each(|backoff| backoff.answered());
    assert!(backoffs.iter_mut().all(|backoff| backoff.failed(&CallError::NoRoom) <= 1_440_000));
}
