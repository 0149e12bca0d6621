//! Attempts that are overdue, lost or cancelled.

mod common;
use birchreach::*;
use common::*;

/// Settings under which a request may have only one attempt in flight.
fn without_hedging() -> Settings {
    Settings { hedging_allowed: false, health_checks_allowed: true, ..settings() }
}

fn cancel_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

#[test]
fn a_server_that_answers_nothing_is_avoided_and_its_read_hedged() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, actions } = fixture.request(ANY);
    let unresponsive = servers_sent_to(&actions)[0];

    let hedged = servers_sent_to(&fixture.advance(400 * MILLISECOND));
    assert_eq!(hedged.len(), 1, "one hedged request, which the settings allow");
    assert_ne!(hedged[0], unresponsive);

    fixture.complete_attempt(id, 1, hedged[0], AttemptOutcome::Ok);
    for _ in 0..3 {
        assert_ne!(fixture.request(ANY).servers(), [unresponsive]);
    }
}

/// Attempts whose answers are lost must not occupy the concurrency limit until the clients' deadline.
#[test]
fn lost_attempts_no_longer_count_against_the_concurrency_limit() {
    let mut fixture = RouterFixture::new(settings());
    for _ in 0..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "each of these is lost");
        fixture.advance(2 * MILLISECOND);
    }
    assert!(fixture.request(WRITE).servers().is_empty(), "the initial limit is reached");

    let (first, queued) = (1, 5);
    let now = fixture.now;
    let answer = status(Role::Primary, now);
    fixture.complete_attempt_with_status(first, 0, PRIMARY, AttemptOutcome::Ok, answer);
    // The queued write was sent and is answered: the server is alive, and what was sent before is lost.
    fixture.complete_attempt_with_status(queued, 0, PRIMARY, AttemptOutcome::Ok, answer);

    fixture.advance(1_500 * MILLISECOND);
    let sent = (0..3).filter(|_| fixture.request(WRITE).servers() == [PRIMARY]).count();
    assert_eq!(sent, 3);
}

/// A cancelled request would start again from the beginning and end too late.
#[test]
fn without_hedging_a_slow_attempt_at_a_server_that_responds_is_not_cancelled() {
    let mut fixture = RouterFixture::new(without_hedging());
    let ClientRequest { id, actions } = fixture.request(ANY);
    let server = servers_sent_to(&actions)[0];

    let actions = fixture.advance(400 * MILLISECOND);
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(server) }));
    assert_eq!(cancel_count(&actions), 0);

    fixture.complete_health_check(server, AttemptOutcome::Ok);
    assert_eq!(cancel_count(&fixture.advance(1_500 * MILLISECOND)), 0);
    assert!(!fixture.router.is_avoided(fixture.now, ServerId(server)), "nor is the server ejected");
    assert!(!is_rejected(&fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok)));
}

#[test]
fn a_server_that_does_not_answer_a_health_check_either_loses_its_read() {
    let mut fixture = RouterFixture::new(without_hedging());
    let ClientRequest { id, actions } = fixture.request(ANY);
    let server = servers_sent_to(&actions)[0];
    fixture.advance(400 * MILLISECOND);
    fixture.complete_health_check(server, AttemptOutcome::Timeout);

    let actions = fixture.advance(300 * MILLISECOND);
    assert_eq!(cancel_count(&actions), 1);
    assert!(fixture.router.is_avoided(fixture.now, ServerId(server)));

    let retried = servers_sent_to(&fixture.complete_attempt(id, 0, server, AttemptOutcome::Cancelled));
    assert_eq!(retried.len(), 1);
    assert_ne!(retried, [server]);
}

/// A read whose server is then checked with this outcome. Returns its id, the server and the actions some time later.
fn read_with_health_check(fixture: &mut RouterFixture, outcome: AttemptOutcome) -> (u64, u32, Vec<Action>) {
    let ClientRequest { id, actions } = fixture.request(ANY);
    let server = servers_sent_to(&actions)[0];
    fixture.advance(400 * MILLISECOND);
    fixture.complete_health_check(server, outcome);
    (id, server, fixture.advance(300 * MILLISECOND))
}

#[test]
fn a_server_that_rejects_a_health_check_is_alive_and_keeps_its_read() {
    for outcome in [AttemptOutcome::Overloaded, AttemptOutcome::Error, AttemptOutcome::Ineligible] {
        let mut fixture = RouterFixture::new(without_hedging());
        let (_, server, actions) = read_with_health_check(&mut fixture, outcome);
        assert_eq!(cancel_count(&actions), 0, "{outcome:?} is a response");
        assert!(!fixture.router.is_avoided(fixture.now, ServerId(server)));
    }
}

#[test]
fn a_health_check_that_failed_before_an_attempt_was_sent_says_nothing_of_it() {
    let mut fixture = RouterFixture::without_endpoints(without_hedging());
    fixture.set_endpoints(&ready([PRIMARY, REPLICA_1]));
    let (id, server, actions) = read_with_health_check(&mut fixture, AttemptOutcome::Timeout);
    assert_eq!((server, cancel_count(&actions)), (REPLICA_1, 1));

    // The server is alive after all: the answer came just before the attempt was cancelled.
    fixture.complete_attempt(id, 0, REPLICA_1, AttemptOutcome::Ok);
    fixture.advance(1_000 * MILLISECOND);

    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
    let actions = fixture.advance(700 * MILLISECOND);
    assert_eq!(cancel_count(&actions), 0, "no health check since this attempt was sent");
    assert!(actions.contains(&Action::HealthCheck { server: ServerId(REPLICA_1) }));
}

#[test]
fn a_read_whose_answer_was_lost_is_cancelled_and_retried() {
    let mut fixture = RouterFixture::new(without_hedging());
    let ClientRequest { id: lost, actions } =
        fixture.request_with(ANY, |request| request.timeout = 20_000 * MILLISECOND);
    let server = servers_sent_to(&actions)[0];
    fixture.advance(10 * MILLISECOND);
    // The server answers what it was sent later; the other replica is as busy.
    for _ in 0..12 {
        let requests = [fixture.request(ANY), fixture.request(ANY)];
        fixture.advance(10 * MILLISECOND);
        for ClientRequest { id, actions } in requests {
            fixture.complete_attempt(id, 0, servers_sent_to(&actions)[0], AttemptOutcome::Ok);
        }
    }

    let mut cancelled = 0;
    for _ in 0..400 {
        cancelled += cancel_count(&fixture.advance(5 * MILLISECOND));
        if cancelled > 0 {
            break;
        }
    }
    assert_eq!(cancelled, 1);
    assert!(!fixture.router.is_avoided(fixture.now, ServerId(server)), "it answers others");

    let actions = fixture.complete_attempt(lost, 0, server, AttemptOutcome::Cancelled);
    assert_eq!(servers_sent_to(&actions).len(), 1, "{actions:?}");
}
