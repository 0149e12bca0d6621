//! Invalid or unusual input: no panic, no request without an answer, no false proof of a position.

mod common;
use birchreach::*;
use common::*;

#[test]
fn an_empty_endpoint_list_queues_requests_and_answers_them_in_time() {
    // Given an endpoint list without a server
    let mut fixture = RouterFixture::without_endpoints(settings());
    fixture.set_endpoints(&[]);
    // When a write arrives, then it is queued
    let write = fixture.request(WRITE);
    assert!(write.servers().is_empty());
    // When its timeout has passed, then it has been rejected
    let actions = fixture.advance(2_000 * MILLISECOND);
    assert!(is_rejected(&actions), "request {}", write.id);
    assert_eq!(fixture.router.open_request_count(), 0);
}

#[test]
fn a_server_listed_in_two_groups_belongs_to_the_last() {
    // Given an endpoint list that has a server in two groups
    let mut fixture = RouterFixture::without_endpoints(settings());
    let in_other_group = Endpoint { group: GroupId(1), ..endpoint(REPLICA_1, EndpointState::Ready) };
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[primary, replica, in_other_group]);
    // When reads of the first group arrive, then none goes to that server
    for _ in 0..10 {
        let read = fixture.request(ANY);
        assert_eq!(read.servers(), [PRIMARY], "never a server of another group");
        fixture.complete_attempt(read.id, 0, PRIMARY, AttemptOutcome::Ok);
    }
    // When a read of the other group arrives, then it does
    let read = fixture.request_with(ANY, |request| request.group = GroupId(1));
    assert_eq!(read.servers(), [REPLICA_1]);
}

#[test]
fn a_position_from_the_far_future_proves_nothing_beyond_the_present() {
    // Given a replica that reported a position an hour ahead of the present
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, -3_600_000 * MILLISECOND);
    // When more time has passed than a bounded read may lag, then the primary gets the read
    fixture.advance(400 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [PRIMARY], "400 ms later it is too old for 300 ms");
}

/// Settings in which numbers are zero, or no numbers.
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
fn zero_proxies_count_as_one_and_extreme_settings_do_not_panic() {
    // Given a router with extreme settings
    let mut fixture = RouterFixture::new(extreme_settings());
    // When requests of classes that exist and of some that do not arrive
    for class in 0..9 {
        let request = fixture.request(class);
        fixture.complete_attempt(request.id, 0, PRIMARY, AttemptOutcome::Ok);
    }
    fixture.advance(5_000 * MILLISECOND);
    // Then all of them are finished
    assert_eq!(fixture.router.open_request_count(), 0);
}

/// Guards against an initial value of 0 that stands for "in the past".
#[test]
fn a_clock_below_zero_is_as_good_as_any_other() {
    // Given a router whose clock is below zero, and servers that are all draining
    let mut fixture = RouterFixture::starting_at(-1_000_000 * MILLISECOND, settings(), 1);
    fixture.set_endpoints(&ALL_SERVERS.map(|id| endpoint(id, EndpointState::Draining)));
    // When a write arrives
    fixture.request(WRITE);
    // Then it is tried again soon
    let delay_of = |timed: &TimedAction| match timed.action {
        Action::Timer { delay, .. } => Some(delay),
        _ => None,
    };
    let delay = fixture.history.iter().find_map(delay_of).expect("a timer");
    assert!(delay <= 200 * MILLISECOND, "it is tried again soon, not after {delay} us");
}

#[test]
fn a_slow_start_window_shorter_than_the_overload_window_does_not_panic() {
    // Given such settings, and a group whose servers are all in slow start
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
    // Then the servers get some of them
    assert!(sent > 0, "servers in slow start get work where a group has no others");
}

/// If the lower position counted, the replica would appear to lag and attract the reads that any server may
/// answer, two at a time.
#[test]
fn a_reported_position_that_goes_back_is_ignored() {
    // Given two fresh replicas, of which the second then reports a position far behind
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 90_000 * MILLISECOND);
    // When reads arrive that any server may answer, then the first two go to one replica each
    let mut servers = [ANY, ANY, ANY].map(|class| fixture.request(class).server());
    servers[..2].sort();
    assert_eq!(servers[..2], [REPLICA_1, REPLICA_2], "one each");
    // When a bounded read arrives, then it is sent
    let bounded = fixture.request(BOUNDED).servers();
    assert_eq!(bounded.len(), 1, "the position that was proven still holds");
}
