//! Attempts that are overdue, lost or cancelled: health checks, hedged requests and retries.

mod common;
use birchreach::*;
use common::*;

/// Settings that allow only one attempt of a request in flight, and health checks.
fn without_hedging() -> Settings {
    Settings { hedging_allowed: false, health_checks_allowed: true, ..settings() }
}

/// The number of attempts that these actions cancel.
fn cancel_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

#[test]
fn a_read_at_an_unresponsive_server_is_hedged_and_further_reads_avoid_the_server() {
    // Given a read in flight at a server that does not respond
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    let unresponsive = read.server();
    // When the attempt is overdue, then a hedged request goes to another server
    let hedged = servers_sent_to(&fixture.advance(400 * MILLISECOND));
    assert_eq!(hedged.len(), 1, "the settings allow hedged requests");
    assert_ne!(hedged[0], unresponsive);
    // When the other server has responded, then further reads avoid the unresponsive server
    fixture.complete_attempt(read.id, 1, hedged[0], AttemptOutcome::Ok);
    for _ in 0..3 {
        assert_ne!(fixture.request(ANY).servers(), [unresponsive]);
    }
}

/// Guards against attempts that count against the concurrency limit until the deadline of their client
/// although their responses are lost.
#[test]
fn lost_attempts_no_longer_count_against_the_concurrency_limit() {
    // Given a primary at its concurrency limit, and a queued write
    let mut fixture = RouterFixture::new(settings());
    let first = fixture.request(WRITE);
    assert_eq!(first.servers(), [PRIMARY], "the first write is sent at once");
    fixture.advance(2 * MILLISECOND);
    for _ in 1..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "the responses to these writes are lost");
        fixture.advance(2 * MILLISECOND);
    }
    let queued = fixture.request(WRITE);
    assert!(queued.servers().is_empty(), "the initial concurrency limit is reached");
    // When the primary responds to the first write, and then to the queued write that was sent after it
    let primary_status = status(Role::Primary, fixture.now);
    fixture.complete_attempt_with_status(first.id, 0, PRIMARY, AttemptOutcome::Ok, primary_status);
    fixture.complete_attempt_with_status(queued.id, 0, PRIMARY, AttemptOutcome::Ok, primary_status);
    // Then the earlier attempts count as lost after some time, and the primary gets further writes
    fixture.advance(1_500 * MILLISECOND);
    let sent = (0..3).filter(|_| fixture.request(WRITE).servers() == [PRIMARY]).count();
    assert_eq!(sent, 3);
}

/// Guards against databases that are left idle although they only have to transfer their responses, and
/// against requests that lose their deadline before anything is forwarded.
#[test]
fn an_arriving_response_does_not_count_against_the_concurrency_limit_and_keeps_its_deadline() {
    // Given a primary at its concurrency limit
    let mut fixture = RouterFixture::new(settings());
    let mut writes = Vec::new();
    for _ in 0..4 {
        writes.push(fixture.request(WRITE));
        fixture.advance(2 * MILLISECOND);
    }
    assert!(fixture.request(WRITE).servers().is_empty(), "the initial concurrency limit is reached");
    // When the responses to the writes begin to arrive, then the primary gets a further write
    for write in &writes {
        let (request, attempt) = (RequestId(write.id), AttemptNumber(0));
        fixture.handle(Event::ResponseArriving { request, attempt });
    }
    assert_eq!(fixture.request(WRITE).servers(), [PRIMARY]);
    // And each of the writes gets its final response at its deadline
    fixture.advance(60_000 * MILLISECOND);
    assert!(writes.iter().all(|write| final_response_count(&fixture, write.id) == 1));
}

/// Guards against cancelling a slow attempt whose server is alive: its retry would start from the beginning
/// and end too late.
#[test]
fn without_hedging_a_slow_attempt_at_a_responsive_server_is_not_cancelled() {
    // Given a read in flight, without hedging
    let mut fixture = RouterFixture::new(without_hedging());
    let read = fixture.request(ANY);
    let server = read.server();
    // When the read is overdue, then the router checks the health of the server and cancels nothing
    let actions = fixture.advance(400 * MILLISECOND);
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(server) }));
    assert_eq!(cancel_count(&actions), 0);
    // When the server responds to the health check, then the attempt stays in flight until its response
    // arrives
    fixture.complete_health_check(server, AttemptOutcome::Ok);
    assert_eq!(cancel_count(&fixture.advance(1_500 * MILLISECOND)), 0);
    assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(server)), "the server is not ejected");
    assert!(!is_rejected(&fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok)));
}

/// An overdue read whose server has been checked.
struct OverdueRead {
    id: u64,
    server: u32,
    /// Actions of the timers that expired within 300 ms after the health check.
    actions: Vec<Action>,
}

/// Sends a read, lets it become overdue and completes the health check of its server with the given outcome.
fn read_with_health_check(fixture: &mut RouterFixture, outcome: AttemptOutcome) -> OverdueRead {
    let read = fixture.request(ANY);
    let server = read.server();
    fixture.advance(400 * MILLISECOND);
    fixture.complete_health_check(server, outcome);
    OverdueRead { id: read.id, server, actions: fixture.advance(300 * MILLISECOND) }
}

#[test]
fn an_overdue_read_is_cancelled_and_retried_elsewhere_when_the_health_check_of_its_server_times_out() {
    // Given an overdue read
    let mut fixture = RouterFixture::new(without_hedging());
    // When the health check of its server times out, then the attempt is cancelled and the server is ejected
    let read = read_with_health_check(&mut fixture, AttemptOutcome::Timeout);
    assert_eq!(cancel_count(&read.actions), 1);
    assert!(fixture.router.is_out_of_rotation(fixture.now, ServerId(read.server)));
    // When the cancellation is complete, then the read is retried at another server
    let actions = fixture.complete_attempt(read.id, 0, read.server, AttemptOutcome::Cancelled);
    let retried = servers_sent_to(&actions);
    assert_eq!(retried.len(), 1);
    assert_ne!(retried, [read.server]);
}

#[test]
fn an_overdue_read_is_not_cancelled_when_its_server_rejects_the_health_check() {
    for outcome in [AttemptOutcome::Overloaded, AttemptOutcome::Error, AttemptOutcome::Ineligible] {
        // Given an overdue read
        let mut fixture = RouterFixture::new(without_hedging());
        // When its server rejects the health check
        let read = read_with_health_check(&mut fixture, outcome);
        // Then the attempt is not cancelled, because a rejection shows that the server is alive
        assert_eq!(cancel_count(&read.actions), 0, "{outcome:?} is a response");
        assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(read.server)));
    }
}

#[test]
fn an_attempt_is_not_cancelled_because_of_a_health_check_that_failed_before_it_was_sent() {
    // Given a server whose health check timed out, and whose read the router therefore cancelled
    let mut fixture = RouterFixture::without_endpoints(without_hedging());
    fixture.set_endpoints(&ready_endpoints([PRIMARY, REPLICA_1]));
    let read = read_with_health_check(&mut fixture, AttemptOutcome::Timeout);
    assert_eq!((read.server, cancel_count(&read.actions)), (REPLICA_1, 1));
    // When the server's response arrives before the attempt is cancelled, so that the server is alive after
    // all
    fixture.complete_attempt(read.id, 0, REPLICA_1, AttemptOutcome::Ok);
    fixture.advance(1_000 * MILLISECOND);
    // Then a later overdue read at that server is not cancelled before another health check
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
    let actions = fixture.advance(700 * MILLISECOND);
    assert_eq!(cancel_count(&actions), 0, "no health check has ended since this attempt was sent");
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(REPLICA_1) }));
}

/// Sends a pair of reads every 10 ms for 120 ms and completes each read after 10 ms. Both replicas are
/// equally busy.
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
fn a_read_whose_response_was_lost_is_cancelled_and_retried() {
    // Given a read without a response, whose server has responded to requests that it received later
    let mut fixture = RouterFixture::new(without_hedging());
    let lost = fixture.request_with(ANY, |request| request.timeout = 20_000 * MILLISECOND);
    let server = lost.server();
    fixture.advance(10 * MILLISECOND);
    run_pairs_of_reads(&mut fixture);
    // When up to two seconds pass, then the read is cancelled, but its server is not ejected
    let mut cancelled = 0;
    for _ in 0..400 {
        cancelled += cancel_count(&fixture.advance(5 * MILLISECOND));
        if cancelled > 0 {
            break;
        }
    }
    assert_eq!(cancelled, 1);
    assert!(!fixture.router.is_out_of_rotation(fixture.now, ServerId(server)), "it responds to others");
    // When the cancellation is complete, then the read is retried
    let actions = fixture.complete_attempt(lost.id, 0, server, AttemptOutcome::Cancelled);
    assert_eq!(servers_sent_to(&actions).len(), 1, "{actions:?}");
}
