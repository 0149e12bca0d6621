//! Attempts that are overdue, lost or cancelled.

mod common;
use birchreach::*;
use common::*;

/// Settings under which a request may have only one attempt in flight.
fn without_hedging() -> Settings {
    Settings { hedging_allowed: false, health_checks_allowed: true, ..settings() }
}

/// The number of cancellations among these actions.
fn cancel_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

#[test]
fn a_server_that_answers_nothing_is_avoided_and_its_read_hedged() {
    // Given a read at a server that does not answer
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    let unresponsive = read.server();
    // When its attempt is overdue, then the read is sent to another server too
    let hedged = servers_sent_to(&fixture.advance(400 * MILLISECOND));
    assert_eq!(hedged.len(), 1, "one hedged request, which the settings allow");
    assert_ne!(hedged[0], unresponsive);
    // When that has answered, then further reads avoid the first
    fixture.complete_attempt(read.id, 1, hedged[0], AttemptOutcome::Ok);
    for _ in 0..3 {
        assert_ne!(fixture.request(ANY).servers(), [unresponsive]);
    }
}

/// Attempts whose answers are lost must not occupy the concurrency limit until the clients' deadline.
#[test]
fn lost_attempts_no_longer_count_against_the_concurrency_limit() {
    // Given a primary that is at its concurrency limit, and a write that is queued for it
    let mut fixture = RouterFixture::new(settings());
    let first = fixture.request(WRITE);
    assert_eq!(first.servers(), [PRIMARY], "the answer is lost");
    fixture.advance(2 * MILLISECOND);
    for _ in 1..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "each of these is lost");
        fixture.advance(2 * MILLISECOND);
    }
    let queued = fixture.request(WRITE);
    assert!(queued.servers().is_empty(), "the initial limit is reached");
    // When the first write is answered, and so is the queued one, which was sent then
    let answer = status(Role::Primary, fixture.now);
    fixture.complete_attempt_with_status(first.id, 0, PRIMARY, AttemptOutcome::Ok, answer);
    fixture.complete_attempt_with_status(queued.id, 0, PRIMARY, AttemptOutcome::Ok, answer);
    // Then the server is alive, and what was sent before counts as lost after a while
    fixture.advance(1_500 * MILLISECOND);
    let sent = (0..3).filter(|_| fixture.request(WRITE).servers() == [PRIMARY]).count();
    assert_eq!(sent, 3);
}

/// A cancelled request would start again from the beginning and end too late.
#[test]
fn without_hedging_a_slow_attempt_at_a_server_that_responds_is_not_cancelled() {
    // Given a read
    let mut fixture = RouterFixture::new(without_hedging());
    let read = fixture.request(ANY);
    let server = read.server();
    // When it is overdue, then its server is checked first
    let actions = fixture.advance(400 * MILLISECOND);
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(server) }));
    assert_eq!(cancel_count(&actions), 0);
    // When the server responds to the health check, then the read goes on until it is answered
    fixture.complete_health_check(server, AttemptOutcome::Ok);
    assert_eq!(cancel_count(&fixture.advance(1_500 * MILLISECOND)), 0);
    assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(server)), "nor is the server ejected");
    assert!(!is_rejected(&fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok)));
}

/// A read that is overdue.
struct OverdueRead {
    id: u64,
    server: u32,
    /// What the router did after the health check of the server.
    actions: Vec<Action>,
}

/// Sends a read that becomes overdue, and whose server is then checked with this outcome.
fn read_with_health_check(fixture: &mut RouterFixture, outcome: AttemptOutcome) -> OverdueRead {
    let read = fixture.request(ANY);
    let server = read.server();
    fixture.advance(400 * MILLISECOND);
    fixture.complete_health_check(server, outcome);
    OverdueRead { id: read.id, server, actions: fixture.advance(300 * MILLISECOND) }
}

#[test]
fn a_server_that_does_not_answer_a_health_check_either_loses_its_read() {
    // Given a read that is overdue
    let mut fixture = RouterFixture::new(without_hedging());
    // When the health check of its server times out, then the read is cancelled and the server ejected
    let read = read_with_health_check(&mut fixture, AttemptOutcome::Timeout);
    assert_eq!(cancel_count(&read.actions), 1);
    assert!(fixture.router.is_out_of_rotation(fixture.now, ServerId(read.server)));
    // When the attempt has been cancelled, then the read goes to another server
    let actions = fixture.complete_attempt(read.id, 0, read.server, AttemptOutcome::Cancelled);
    let retried = servers_sent_to(&actions);
    assert_eq!(retried.len(), 1);
    assert_ne!(retried, [read.server]);
}

#[test]
fn a_server_that_rejects_a_health_check_is_alive_and_keeps_its_read() {
    for outcome in [AttemptOutcome::Overloaded, AttemptOutcome::Error, AttemptOutcome::Ineligible] {
        // Given a read that is overdue
        let mut fixture = RouterFixture::new(without_hedging());
        // When its server rejects the health check
        let read = read_with_health_check(&mut fixture, outcome);
        // Then the read goes on
        assert_eq!(cancel_count(&read.actions), 0, "{outcome:?} is a response");
        assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(read.server)));
    }
}

#[test]
fn a_health_check_that_failed_before_an_attempt_was_sent_says_nothing_of_it() {
    // Given a server whose health check timed out, so that the router cancels its read
    let mut fixture = RouterFixture::without_endpoints(without_hedging());
    fixture.set_endpoints(&ready([PRIMARY, REPLICA_1]));
    let read = read_with_health_check(&mut fixture, AttemptOutcome::Timeout);
    assert_eq!((read.server, cancel_count(&read.actions)), (REPLICA_1, 1));
    // When the server is alive after all: its answer came just before the attempt was cancelled
    fixture.complete_attempt(read.id, 0, REPLICA_1, AttemptOutcome::Ok);
    fixture.advance(1_000 * MILLISECOND);
    // Then a later read that is overdue is not cancelled before another health check
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
    let actions = fixture.advance(700 * MILLISECOND);
    assert_eq!(cancel_count(&actions), 0, "no health check since this attempt was sent");
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(REPLICA_1) }));
}

/// Sends two reads at a time and answers both after 10 ms, for 120 ms. Both replicas are equally busy.
fn run_pairs_of_reads(fixture: &mut RouterFixture) {
    for _ in 0..12 {
        let reads = [fixture.request(ANY), fixture.request(ANY)];
        fixture.advance(10 * MILLISECOND);
        for read in reads {
            fixture.complete_attempt(read.id, 0, read.server(), AttemptOutcome::Ok);
        }
    }
}

#[test]
fn a_read_whose_answer_was_lost_is_cancelled_and_retried() {
    // Given a read without an answer, whose server answers what it was sent later
    let mut fixture = RouterFixture::new(without_hedging());
    let lost = fixture.request_with(ANY, |request| request.timeout = 20_000 * MILLISECOND);
    let server = lost.server();
    fixture.advance(10 * MILLISECOND);
    run_pairs_of_reads(&mut fixture);
    // When up to two seconds pass, then it is cancelled, but its server is not ejected
    let mut cancelled = 0;
    for _ in 0..400 {
        cancelled += cancel_count(&fixture.advance(5 * MILLISECOND));
        if cancelled > 0 {
            break;
        }
    }
    assert_eq!(cancelled, 1);
    assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(server)), "it answers others");
    // When the attempt has been cancelled, then the read is retried
    let actions = fixture.complete_attempt(lost.id, 0, server, AttemptOutcome::Cancelled);
    assert_eq!(servers_sent_to(&actions).len(), 1, "{actions:?}");
}
