//! Overload and failures: the queue at the concurrency limits, and servers that reject or fail their requests.

mod common;
use birchreach::*;
use common::*;

/// Sends reads until all replicas are at their concurrency limits. Returns the ids of those in flight and their
/// servers; the last read is queued.
fn fill_to_limits(fixture: &mut RouterFixture) -> Vec<(u64, u32)> {
    let mut in_flight = Vec::new();
    loop {
        let ClientRequest { id, actions } = fixture.request(ANY);
        match servers_sent_to(&actions).first() {
            Some(server) => in_flight.push((id, *server)),
            None => return in_flight,
        }
    }
}

/// In order of arrival, requests would be started that can no longer be answered in time.
#[test]
fn at_all_limits_a_read_is_queued_and_the_newest_goes_first() {
    let mut fixture = RouterFixture::new(settings());
    let in_flight = fill_to_limits(&mut fixture);
    let ClientRequest { id: newest, actions } = fixture.request(ANY);
    assert!(servers_sent_to(&actions).is_empty() && !is_rejected(&actions));

    let (id, server) = in_flight[0];
    let actions = fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
    let is_newest = |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == newest);
    assert!(actions.iter().any(is_newest));
}

#[test]
fn a_queued_read_is_rejected_while_a_retry_may_help_instead_of_started_too_late() {
    let mut settings = settings();
    settings.classes[ANY as usize].late_weight_fraction = 0.0;
    let mut fixture = RouterFixture::new(settings);
    fill_to_limits(&mut fixture);
    let ClientRequest { id, .. } = fixture.request(ANY);
    let requested_at = fixture.now;
    fixture.advance(1_000 * MILLISECOND);

    let is_rejection = |action: &Action| matches!(action, Action::Reject { request, .. } if request.0 == id);
    let rejection = fixture.history.iter().find(|timed| is_rejection(&timed.action));
    let rejected_at = rejection.unwrap().at;
    assert!(
        rejected_at < requested_at + 500 * MILLISECOND,
        "before the latency objective, not at it: {}",
        rejected_at - requested_at
    );
}

/// An overloaded server has nothing in flight and looks idle: it would attract every read.
#[test]
fn an_overloaded_server_gets_no_reads_for_a_while() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, actions } = fixture.request(ANY);
    let overloaded = servers_sent_to(&actions)[0];
    fixture.advance(5 * MILLISECOND);
    let actions = fixture.complete_attempt(id, 0, overloaded, AttemptOutcome::Overloaded);

    let other = if overloaded == REPLICA_1 { REPLICA_2 } else { REPLICA_1 };
    assert_eq!(servers_sent_to(&actions), [other]);
    assert_eq!(fixture.request(ANY).servers(), [other]);
}

#[test]
fn a_server_that_fails_its_requests_at_once_stops_attracting_reads() {
    let mut fixture = RouterFixture::new(settings());
    let mut failures = 0;
    for _ in 0..40 {
        let ClientRequest { id, actions } = fixture.request(ANY);
        let mut server = servers_sent_to(&actions)[0];
        let mut attempt = 0;
        fixture.advance(5 * MILLISECOND);
        while server == REPLICA_1 {
            failures += 1;
            let actions = fixture.complete_attempt(id, attempt, REPLICA_1, AttemptOutcome::Error);
            attempt += 1;
            server = servers_sent_to(&actions)[0];
        }
        fixture.advance(5 * MILLISECOND);
        fixture.complete_attempt(id, attempt, server, AttemptOutcome::Ok);
    }
    assert!(failures <= 5, "{failures}");
}
