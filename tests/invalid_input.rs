//! Invalid or unusual input causes no panic, leaves no request without a response and proves no false
//! position.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_request_is_queued_while_the_endpoint_list_is_empty_and_is_rejected_within_its_timeout() {
    // Given an endpoint list without a server
    let mut fixture = RouterFixture::without_endpoints(settings());
    fixture.set_endpoints(&[]);
    // When a write arrives, then the write is queued
    let write = fixture.request(WRITE);
    assert!(write.servers().is_empty());
    // When its timeout has passed, then the write has been rejected
    let actions = fixture.advance(2_000 * MILLISECOND);
    assert!(is_rejected(&actions), "request {} was not rejected", write.id);
    assert_eq!(fixture.router.open_request_count(), 0);
}

#[test]
fn a_server_that_is_listed_in_two_groups_belongs_to_the_group_listed_last() {
    // Given an endpoint list that names a server in two groups
    let mut fixture = RouterFixture::without_endpoints(settings());
    let in_other_group = Endpoint { group: GroupId(1), ..endpoint(REPLICA_1, EndpointState::Ready) };
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[primary, replica, in_other_group]);
    // When reads of the first group arrive, then none goes to that server
    for _ in 0..10 {
        let read = fixture.request(ANY);
        assert_eq!(read.servers(), [PRIMARY], "the other server belongs to the other group");
        fixture.complete_attempt(read.id, 0, PRIMARY, AttemptOutcome::Ok);
    }
    // When a read of the other group arrives, then that server gets the read
    let read = fixture.request_with(ANY, |request| request.group = GroupId(1));
    assert_eq!(read.servers(), [REPLICA_1]);
}

#[test]
fn a_position_in_the_future_counts_as_the_time_of_its_report() {
    // Given a replica that reported a position one hour in the future
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, -3_600_000 * MILLISECOND);
    // When more time has passed than the staleness bound of a bounded read, then the primary gets the read
    fixture.advance(400 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [PRIMARY], "the position is 400 ms old, the bound is 300 ms");
}

/// Settings in which numbers are zero or NaN. A proxy count of 0 counts as 1.
fn extreme_settings() -> Settings {
    let mut settings =
        Settings { proxy_count: 0, slow_start_window: 0, overload_window: 0, max_attempts: 0, ..settings() };
    for class in &mut settings.classes {
        class.latency_objective = 0;
        class.priority_weight = f64::NAN;
    }
    settings
}

#[test]
fn extreme_settings_cause_no_panic_and_leave_no_request_open() {
    // Given a router with extreme settings
    let mut fixture = RouterFixture::new(extreme_settings());
    // When requests of known and unknown classes arrive
    for class in 0..9 {
        let request = fixture.request(class);
        fixture.complete_attempt(request.id, 0, PRIMARY, AttemptOutcome::Ok);
    }
    fixture.advance(5_000 * MILLISECOND);
    // Then all requests are finished
    assert_eq!(fixture.router.open_request_count(), 0);
}

/// Guards against an initial instant of 0 that is meant to lie in the past.
#[test]
fn a_write_is_retried_soon_on_a_clock_below_zero() {
    // Given a router whose clock is below zero, and servers that are all draining
    let mut fixture = RouterFixture::starting_at(-1_000_000 * MILLISECOND, settings(), 1);
    fixture.set_endpoints(&ALL_SERVERS.map(|id| endpoint(id, EndpointState::Draining)));
    // When a write arrives
    fixture.request(WRITE);
    // Then the timer of its next attempt expires soon
    let delay_of = |timed: &TimedAction| match timed.action {
        Action::Timer { delay, .. } => Some(delay),
        _ => None,
    };
    let delay = fixture.history.iter().find_map(delay_of).expect("a timer");
    assert!(delay <= 200 * MILLISECOND, "the timer expires only after {delay} us");
}

#[test]
fn a_slow_start_window_shorter_than_the_overload_window_causes_no_panic() {
    // Given a slow-start window shorter than the overload window, and a group whose servers are all in slow
    // start
    let mut fixture = RouterFixture::without_endpoints(Settings {
        slow_start_window: 1_000 * MILLISECOND,
        overload_window: 1_500 * MILLISECOND,
        ..settings()
    });
    let started_at = Some(fixture.now);
    let endpoints = ready_endpoints([PRIMARY, REPLICA_1]).map(|endpoint| Endpoint { started_at, ..endpoint });
    fixture.set_endpoints(&endpoints);
    // When reads arrive
    let mut sent = 0;
    for _ in 0..20 {
        sent += fixture.request(ANY).servers().len();
        sent += servers_sent_to(&fixture.advance(100 * MILLISECOND)).len();
    }
    // Then the servers get some of the reads
    assert!(sent > 0, "servers in slow start get reads if their group has no others");
}

/// Guards against a replica that appears to lag after an older position was reported. Such a replica would
/// get the first two reads without a freshness requirement.
#[test]
fn a_reported_position_before_an_earlier_one_is_ignored() {
    // Given two fresh replicas, of which the second then reports a position that lags by 90 s
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 90_000 * MILLISECOND);
    // When reads without a freshness requirement arrive, then the first two go to different replicas
    let mut servers = [ANY, ANY, ANY].map(|class| fixture.request(class).server());
    servers[..2].sort();
    assert_eq!(servers[..2], [REPLICA_1, REPLICA_2], "each replica gets one read");
    // When a bounded read arrives, then it is sent to a server
    let bounded = fixture.request(BOUNDED).servers();
    assert_eq!(bounded.len(), 1, "the higher position is still valid");
}
