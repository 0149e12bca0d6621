//! Selection of providers, the wait of a start for an answer, and the rate of refreshes.

mod common;

use birchreach_peer_state::Micros;
use birchreach_peer_state::request_scheduler::{RequestOutcome, RequestScheduler, RequestSettings};
use common::{MILLISECOND, SECOND};

fn scheduler(providers: &[&str]) -> RequestScheduler {
    let providers = providers.iter().map(ToString::to_string).collect();
    RequestScheduler::new(RequestSettings { providers, ..RequestSettings::default() }, 0)
}

#[test]
fn a_start_without_providers_does_not_wait() {
    assert!(scheduler(&[]).is_startup_complete());
}

#[test]
fn a_start_waits_for_one_complete_answer() {
    // Given a start with the maximum number of requests in flight.
    let mut scheduler = scheduler(&["a", "b", "c", "d"]);
    let requested = scheduler.due_requests(0);
    assert!(requested.len() == 3 && !scheduler.is_startup_complete());
    assert!(scheduler.due_requests(MILLISECOND).is_empty());

    // When one answer is complete, then the start does not wait for the others.
    scheduler.record_outcome(5 * MILLISECOND, &requested[0], RequestOutcome::Complete(vec!["e".into()]));
    assert!(scheduler.is_startup_complete());
}

#[test]
fn a_start_without_an_answer_waits_until_its_timeout() {
    let mut scheduler = scheduler(&["a", "b"]);
    assert_eq!(scheduler.due_requests(0).len(), 2);
    assert_eq!(scheduler.next_change(0), 300 * MILLISECOND);

    scheduler.due_requests(300 * MILLISECOND);

    assert!(scheduler.is_startup_complete());
}

#[test]
fn a_start_does_not_wait_after_all_providers_have_failed() {
    let mut scheduler = scheduler(&["a", "b"]);

    for provider in scheduler.due_requests(0) {
        scheduler.record_outcome(2 * MILLISECOND, &provider, RequestOutcome::Failed);
    }

    assert!(scheduler.is_startup_complete());
}

/// A scheduled outcome of a request.
struct PendingOutcome {
    at: Micros,
    provider: String,
    outcome: RequestOutcome,
}

/// A random outcome. `None` if the provider sends nothing.
fn random_outcome(rng: &mut fastrand::Rng) -> Option<RequestOutcome> {
    match rng.u8(0..4) {
        0 => Some(RequestOutcome::Complete((0..100).map(|number| format!("x{number}")).collect())),
        1 => Some(RequestOutcome::Busy(rng.i64(0..SECOND))),
        2 => Some(RequestOutcome::Failed),
        _ => None,
    }
}

/// Random providers answer, fail, are busy or send nothing. The scheduler keeps sending requests, and never
/// more than the expected number.
#[test]
fn refreshes_continue_at_a_bounded_rate() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let providers = ["a", "b", "c", "d"];
        let mut scheduler = scheduler(&providers[..rng.usize(1..5)]);
        let (mut now, mut requests) = (0, 0);
        let mut pending: Vec<PendingOutcome> = Vec::new();

        while now < 600 * SECOND {
            for provider in scheduler.due_requests(now) {
                requests += 1;
                if let Some(outcome) = random_outcome(&mut rng) {
                    let at = now + rng.i64(0..100 * MILLISECOND);
                    pending.push(PendingOutcome { at, provider, outcome });
                }
            }

            pending.sort_by_key(|pending| pending.at);
            let next_outcome_at = pending.first().map_or(Micros::MAX, |pending| pending.at);
            let next_change = scheduler.next_change(now);
            assert!(next_change > now, "seed {seed}: the next change at {next_change} is not after {now}");
            now = next_outcome_at.min(next_change).max(now);
            if next_outcome_at <= now {
                let PendingOutcome { at, provider, outcome } = pending.remove(0);
                scheduler.record_outcome(at, &provider, outcome);
            }
        }

        assert!(scheduler.is_startup_complete());
        assert!((20..3_000).contains(&requests), "seed {seed}: {requests} requests in ten minutes");
    }
}
