//! Simulations of many proxies that poll one discovery service of fixed capacity.

use super::super::backoff::{MAX_OVERLOAD_WAIT_MICROS, POLL_SLOT_MICROS};
use super::super::error::PollError;
use super::{LARGEST_FLEET_SIZE, polling_backoff};
use birchreach::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Discovery rejects polls that would wait longer than this for their slot.
const QUEUE_LIMIT_MICROS: Micros = 2_000_000;

struct RestartResult {
    /// The times at which the proxies received the list, in ascending order.
    notified_at: Vec<Micros>,
    /// The longest wait of any proxy after a rejected poll.
    longest_wait: Micros,
}

/// Simulates the simultaneous start of this number of proxies.
fn simulate_restart(proxies: usize, seed: u64) -> RestartResult {
    let backoffs = (0..proxies).map(|index| polling_backoff(proxies as u32, seed * 1_000 + index as u64));
    let mut backoffs: Vec<_> = backoffs.collect();
    let first =
        backoffs.iter_mut().enumerate().map(|(index, backoff)| Reverse((backoff.initial_wait(), index)));
    let mut polls: BinaryHeap<_> = first.collect();
    let (mut free_at, mut longest_wait) = (0, 0);
    let mut notified_at = Vec::new();
    while let Some(Reverse((now, index))) = polls.pop() {
        let slot = now.max(free_at);
        if slot - now <= QUEUE_LIMIT_MICROS {
            free_at = slot + POLL_SLOT_MICROS;
            notified_at.push(free_at);
        } else {
            let wait = backoffs[index].wait_after(&PollError::Overloaded);
            longest_wait = longest_wait.max(wait);
            polls.push(Reverse((now + wait, index)));
        }
    }
    notified_at.sort_unstable();
    RestartResult { notified_at, longest_wait }
}

/// Up to fifty proxies must all have the list within the notification deadline. For more proxies the capacity does not suffice.
/// It must then be used to the last slot, every proxy must receive the list, and no wait between two polls may exceed the bound.
#[test]
fn after_a_mass_restart_all_proxies_are_notified_at_the_capacity_of_discovery() {
    for seed in 1..=5 {
        for proxies in [1, 5, 20, 48, 100, 300, LARGEST_FLEET_SIZE as usize] {
            // Given a number of proxies, when all start simultaneously
            let RestartResult { notified_at, longest_wait } = simulate_restart(proxies, seed);
            // Then no wait exceeds the bound, and the last proxy receives the list as soon as the capacity allows
            let last = notified_at[notified_at.len() - 1];
            let capacity = proxies as Micros * POLL_SLOT_MICROS;
            assert!(longest_wait <= MAX_OVERLOAD_WAIT_MICROS);
            assert!(last <= capacity + capacity / 4 + MAX_OVERLOAD_WAIT_MICROS, "{proxies}: {last}");
            assert!(proxies > 50 || last < 6_000_000, "{proxies}: {last}");
        }
    }
}

/// The largest number of polls within one second.
fn max_polls_in_one_second(times: &[Micros]) -> Option<usize> {
    times.iter().map(|at| times.iter().filter(|time| (0..1_000_000).contains(&(*time - at))).count()).max()
}

/// Guards against bursts of polls after 48 proxies have started simultaneously and discovery has rejected half of them.
#[test]
fn rejected_polls_are_spread_over_a_round_that_doubles() {
    // Given proxies that start simultaneously, half of which are rejected
    let mut backoffs: Vec<_> = (0..48).map(|seed| polling_backoff(48, seed)).collect();
    let mut rejected = || -> Vec<Micros> {
        backoffs[..24].iter_mut().map(|backoff| backoff.wait_after(&PollError::Overloaded)).collect()
    };
    // When the polls are rejected once, then the next polls are spread over half a round
    let second = rejected();
    assert!(
        max_polls_in_one_second(&second) < Some(26) && second.iter().all(|time| *time <= 1_440_000),
        "{second:?}"
    );
    // When they are rejected again, then the next polls are spread over half of a longer round
    let third = rejected();
    assert!(
        third.iter().any(|time| *time > 1_440_000) && third.iter().all(|time| *time <= 2_880_000),
        "{third:?}"
    );
    // When connections are closed, then all proxies poll again soon, as the watch continues if the next poll comes soon
    assert!(backoffs.iter_mut().all(|backoff| backoff.wait_after(&PollError::Closed) <= 20_000));
    // When the proxies have received a response, then the round has its initial length again
    backoffs.iter_mut().for_each(|backoff| backoff.reset());
    assert!(backoffs.iter_mut().all(|backoff| backoff.wait_after(&PollError::Overloaded) <= 1_440_000));
}
