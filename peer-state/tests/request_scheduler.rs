//! Which providers get a request, how long a start waits, and that refreshes go on at a bounded rate.

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
    // Given a start that has sent as many requests as it sends at once.
    let mut scheduler = scheduler(&["a", "b", "c", "d"]);
    let requested = scheduler.due_requests(0);
    assert!(requested.len() == 3 && !scheduler.is_startup_complete());
    assert!(scheduler.due_requests(MILLISECOND).is_empty());

    // When one answer is complete, then the start waits no longer.
    scheduler.record_outcome(5 * MILLISECOND, &requested[0], RequestOutcome::Complete(vec!["e".into()]));
    assert!(scheduler.is_startup_complete());
}

#[test]
fn a_start_without_an_answer_waits_for_its_timeout() {
    let mut scheduler = scheduler(&["a", "b"]);
    assert_eq!(scheduler.due_requests(0).len(), 2);
    assert_eq!(scheduler.next_change(0), 300 * MILLISECOND);

    scheduler.due_requests(300 * MILLISECOND);

    assert!(scheduler.is_startup_complete());
}

#[test]
fn a_start_does_not_wait_once_all_providers_failed() {
    let mut scheduler = scheduler(&["a", "b"]);

    for provider in scheduler.due_requests(0) {
        scheduler.record_outcome(2 * MILLISECOND, &provider, RequestOutcome::Failed);
    }

    assert!(scheduler.is_startup_complete());
}

/// An outcome that is still to come.
struct Pending {
    at: Micros,
    provider: String,
    outcome: RequestOutcome,
}

fn draw_outcome(rng: &mut fastrand::Rng) -> Option<RequestOutcome> {
    match rng.u8(0..4) {
        0 => Some(RequestOutcome::Complete((0..100).map(|number| format!("x{number}")).collect())),
        1 => Some(RequestOutcome::Busy(rng.i64(0..SECOND))),
        2 => Some(RequestOutcome::Failed),
        _ => None,
    }
}

/// Providers from a seed that answer, fail, are busy or send nothing.
#[test]
fn refreshes_go_on_at_a_bounded_rate() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let providers = ["a", "b", "c", "d"];
        let mut scheduler = scheduler(&providers[..rng.usize(1..5)]);
        let (mut now, mut requests) = (0, 0);
        let mut pending: Vec<Pending> = Vec::new();

        while now < 600 * SECOND {
            for provider in scheduler.due_requests(now) {
                requests += 1;
                if let Some(outcome) = draw_outcome(&mut rng) {
                    let at = now + rng.i64(0..100 * MILLISECOND);
                    pending.push(Pending { at, provider, outcome });
                }
            }

            pending.sort_by_key(|pending| pending.at);
            let due = pending.first().map_or(Micros::MAX, |pending| pending.at);
            let next = scheduler.next_change(now);
            assert!(next > now, "seed {seed}: it wakes without end");
            now = due.min(next).max(now);
            if due <= now {
                let Pending { at, provider, outcome } = pending.remove(0);
                scheduler.record_outcome(at, &provider, outcome);
            }
        }

        assert!(scheduler.is_startup_complete());
        assert!((20..3_000).contains(&requests), "seed {seed}: {requests} requests in ten minutes");
    }
}
