//! Rules that every request relies on: one final answer, no write run twice, no stale read.

mod common;
use birchreach::*;
use common::*;

/// Number of final answers by the router for this request.
fn final_answer_count(fixture: &RouterFixture, id: u64) -> usize {
    let is_final_answer = |action: &Action| match action {
        Action::Reject { request, .. } | Action::Fail { request } => request.0 == id,
        _ => false,
    };
    fixture.history.iter().filter(|timed| is_final_answer(&timed.action)).count()
}

#[test]
fn a_request_for_a_group_without_members_is_rejected_in_time() {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let ClientRequest { id, .. } = fixture.request(ANY);
    let deadline = fixture.now + 2_000 * MILLISECOND;
    fixture.advance(3_000 * MILLISECOND);

    assert_eq!(final_answer_count(&fixture, id), 1);
    let rejection = fixture.history.iter().find(|timed| matches!(timed.action, Action::Reject { .. }));
    assert!(rejection.is_some_and(|timed| timed.at <= deadline));
    assert_eq!(fixture.router.open_request_count(), 0);
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.advance(2_000 * MILLISECOND);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Timeout);
    assert_eq!(final_answer_count(&fixture, id), 1);

    fixture.advance(5_000 * MILLISECOND);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Ok);
    assert_eq!(final_answer_count(&fixture, id), 1);
    let sends = fixture.history.iter().filter(|timed| matches!(timed.action, Action::Send { .. }));
    assert_eq!(sends.count(), 1);
}

#[test]
fn a_request_that_is_not_idempotent_and_may_have_run_fails_and_is_never_retried() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Timeout,
        AttemptOutcome::Cancelled,
    ] {
        let mut fixture = RouterFixture::new(settings());
        let ClientRequest { id, .. } = fixture.request(WRITE);
        let actions = fixture.complete_attempt(id, 0, PRIMARY, outcome);
        assert!(is_failed(&actions) && !is_rejected(&actions), "{outcome:?}");
        assert!(servers_sent_to(&fixture.advance(3_000 * MILLISECOND)).is_empty());
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_the_window_only() {
    let mut settings = settings();
    settings.classes[WRITE as usize] = class(Consistency::Write, with_idempotency_key());

    let mut fixture = RouterFixture::new(settings.clone());
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.advance(200 * MILLISECOND);
    let mut actions = fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Error);
    actions.extend(fixture.advance(100 * MILLISECOND));
    assert_eq!(servers_sent_to(&actions), [PRIMARY], "inside");

    let mut fixture = RouterFixture::new(settings);
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.now += 600 * MILLISECOND;
    let mut actions = fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Error);
    actions.extend(fixture.advance(1_000 * MILLISECOND));
    assert!(servers_sent_to(&actions).is_empty(), "outside");
    assert!(is_failed(&actions) && !is_rejected(&actions), "outside");
}

#[test]
fn without_hedging_a_request_never_has_two_attempts_in_flight() {
    let mut settings = settings();
    settings.hedging_allowed = false;
    let mut fixture = RouterFixture::new(settings);
    let ClientRequest { id, actions } = fixture.request(ANY);
    let first = servers_sent_to(&actions)[0];

    let actions = fixture.advance(1_000 * MILLISECOND);
    assert!(servers_sent_to(&actions).is_empty());
    assert!(actions.contains(&Action::Cancel { request: RequestId(id), attempt: AttemptNo(0) }));

    let actions = fixture.complete_attempt(id, 0, first, AttemptOutcome::Cancelled);
    assert_eq!(servers_sent_to(&actions).len(), 1);
    assert_ne!(servers_sent_to(&actions)[0], first);
}

#[test]
fn an_old_load_report_of_a_primary_yields_to_a_newer_status_that_it_is_none() {
    let mut fixture = RouterFixture::new(settings());
    let report_position = fixture.now - 10 * MILLISECOND;
    let ClientRequest { id, .. } = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now - 900 * MILLISECOND);
    let outcome = AttemptOutcome::Ineligible;
    fixture.complete_attempt_with_status(id, 0, PRIMARY, outcome, replica_status);

    let report = LoadReport { position: Some(report_position), role: Some(Role::Primary) };
    fixture.handle(Event::HealthCheckCompleted {
        server: ServerId(PRIMARY),
        outcome: AttemptOutcome::Ok,
        load_report: Some(report),
    });
    fixture.advance(400 * MILLISECOND);
    let servers = fixture.request(BOUNDED).servers();
    assert!(!servers.contains(&PRIMARY), "that would be a stale read");
}

#[test]
fn unexpected_events_are_ignored() {
    let mut fixture = RouterFixture::new(settings());
    fixture.complete_attempt(77, 3, REPLICA_1, AttemptOutcome::Ok);
    fixture.complete_attempt(77, 3, 999, AttemptOutcome::Error);
    fixture.handle(Event::ClientDisconnected { request: RequestId(5_000) });
    fixture.handle(Event::ResponseStarted { request: RequestId(5_000), attempt: AttemptNo(0) });
    fixture.handle(Event::Timer { id: 12 });
    fixture.complete_health_check(999, AttemptOutcome::Timeout);
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].weight = f64::NAN;
    endpoints[2].weight = 0.0;
    fixture.set_endpoints(&endpoints);

    assert!(is_rejected(&fixture.request(99).actions), "a class that does not exist");
    assert_eq!(fixture.request(ANY).servers().len(), 1);
    let ClientRequest { id, .. } = fixture.request_with(ANY, |request| request.timeout = -5);
    fixture.advance(MILLISECOND);
    assert_eq!(final_answer_count(&fixture, id), 1);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut fixture = RouterFixture::new(settings());
        for index in 0..200 {
            let ClientRequest { id, actions } = fixture.request(index % 4);
            if let Some(server) = servers_sent_to(&actions).first() {
                fixture.advance(7 * MILLISECOND);
                let outcome = if index % 5 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
                fixture.complete_attempt(id, 0, *server, outcome);
            }
        }
        fixture.history
    };
    assert_eq!(run(), run());
}

#[test]
fn a_strong_read_is_tried_at_other_members_only_where_they_reject_it() {
    for (stale_reads, is_tried) in [(StaleReadPolicy::Served, false), (StaleReadPolicy::Rejected, true)] {
        let mut settings = settings();
        settings.stale_reads = stale_reads;
        settings.classes[ANY as usize] = class(Consistency::Strong, Idempotency::Idempotent);
        let mut fixture = RouterFixture::new(settings);
        let ClientRequest { id, actions } = fixture.request(ANY);
        assert_eq!(servers_sent_to(&actions), [PRIMARY]);

        // The server turns out not to be primary; a replica that does not check would answer with stale data.
        let replica_status = status(Role::Replica, fixture.now);
        let outcome = AttemptOutcome::Ineligible;
        let mut actions = fixture.complete_attempt_with_status(id, 0, PRIMARY, outcome, replica_status);
        actions.extend(fixture.advance(500 * MILLISECOND));
        assert_eq!(!servers_sent_to(&actions).is_empty(), is_tried, "{stale_reads:?}");
    }
}

#[test]
fn a_request_that_reached_no_server_is_rejected_at_half_of_its_timeout_and_not_much_before() {
    // No connection can be made, or there is no server.
    for servers in [&[PRIMARY][..], &[]] {
        let mut fixture = RouterFixture::without_endpoints(settings());
        let endpoints = servers.iter().map(|id| endpoint(*id, EndpointState::Ready));
        fixture.set_endpoints(&endpoints.collect::<Vec<_>>());
        let ClientRequest { id, actions } = fixture.request(WRITE);
        for _ in servers_sent_to(&actions) {
            fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::ClosedBeforeExecution);
            fixture.set_endpoints(&[]);
        }
        assert!(!is_rejected(&fixture.advance(900 * MILLISECOND)));
        assert!(is_rejected(&fixture.advance(100 * MILLISECOND)));
    }

    // A request that a server rejected has reached it.
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Overloaded);
    fixture.set_endpoints(&[]);
    assert!(!is_rejected(&fixture.advance(1_200 * MILLISECOND)));
}
