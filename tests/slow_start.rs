//! The slow-start budget of a server: how one proxy keeps to its part of it, and what the parts of many add
//! up to.

mod common;
use birchreach::*;
use common::*;

/// Tells a proxy that the first replica has started at this time.
fn list_started_replica(fixture: &mut RouterFixture, started_at: Micros) {
    let endpoints = endpoints_with_change(REPLICA_1, |replica| replica.started_at = Some(started_at));
    fixture.set_endpoints(&endpoints);
}

/// Tells a proxy that both replicas have just started.
fn list_both_replicas_started(fixture: &mut RouterFixture) {
    let [primary, replica_1, replica_2] = ready_endpoints(ALL_SERVERS);
    let started_at = Some(fixture.now);
    fixture.set_endpoints(&[
        primary,
        Endpoint { started_at, ..replica_1 },
        Endpoint { started_at, ..replica_2 },
    ]);
}

/// Sends 300 reads one after the other. Returns the number of them that go to the first replica.
fn reads_at_replica_1(fixture: &mut RouterFixture) -> usize {
    let mut count = 0;
    for turn in 0..300 {
        let server = fixture.serve(ANY, (4 + turn % 13) * MILLISECOND);
        count += usize::from(server == REPLICA_1);
    }
    count
}

#[test]
fn a_starting_server_gets_its_part_of_the_budget_and_no_burst() {
    // Given a replica that gets its part of the reads
    let mut fixture = RouterFixture::new(settings());
    let at_full_capacity = reads_at_replica_1(&mut fixture);
    assert!(at_full_capacity > 90, "{at_full_capacity}");
    // When it restarts
    let now = fixture.now;
    list_started_replica(&mut fixture, now);
    // Then it may have 2 x 0.2 of what a server with full capacity serves, of which a part is used
    let in_slow_start = reads_at_replica_1(&mut fixture);
    assert!((10..=60).contains(&in_slow_start), "{in_slow_start}");
}

/// Sends 60 reads within 300 ms, each answered at once. Returns the number of them that go to replicas.
fn reads_at_replicas(fixture: &mut RouterFixture) -> usize {
    let mut sent = 0;
    for _ in 0..60 {
        let read = fixture.request(ANY);
        for server in read.servers() {
            sent += usize::from(server != PRIMARY);
            fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok);
        }
        fixture.advance(5 * MILLISECOND);
    }
    sent
}

/// The budget must not depend on what other servers serve at that moment: with both replicas new there are
/// none.
#[test]
fn a_fleet_that_is_mostly_in_slow_start_still_gets_its_budget() {
    // Given a router that knows what its servers serve
    let mut fixture = RouterFixture::new(settings());
    for _ in 0..1_000 {
        fixture.serve(ANY, 10 * MILLISECOND);
    }
    // When both replicas restart, and reads arrive some seconds later
    list_both_replicas_started(&mut fixture);
    fixture.advance(4_000 * MILLISECOND);
    let sent = reads_at_replicas(&mut fixture);
    // Then the replicas get some of the reads
    assert!(sent > 6, "{sent}");
}

/// A router whose primary serves 100 writes per second, far more than the mean of all servers.
fn fixture_with_busy_primary() -> RouterFixture {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let [primary, replica_1, replica_2] = ready_endpoints(ALL_SERVERS);
    let in_other_group = |endpoint| Endpoint { group: GroupId(1), ..endpoint };
    fixture.set_endpoints(&[primary, in_other_group(replica_1), in_other_group(replica_2)]);
    for _ in 0..500 {
        fixture.serve(WRITE, 5 * MILLISECOND);
        fixture.advance(5 * MILLISECOND);
    }
    fixture
}

#[test]
fn attempts_sent_at_full_capacity_do_not_count_against_the_budget_after_a_restart() {
    // Given a busy primary
    let mut fixture = fixture_with_busy_primary();
    // When it refuses a connection at once: no process is running, and the next one begins with slow start
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    let retried = servers_sent_to(&fixture.advance(1_500 * MILLISECOND));
    assert_eq!(retried, [PRIMARY], "the retry after its ejection");
    fixture.complete_attempt(write.id, 1, PRIMARY, AttemptOutcome::Ok);
    // Then it gets some of the writes that follow
    let mut sent = 0;
    for _ in 0..100 {
        sent += fixture.request(WRITE).servers().len();
        sent += servers_sent_to(&fixture.advance(10 * MILLISECOND)).len();
    }
    assert!(sent > 0, "it takes work again");
}

/// The number of these servers that are the first replica.
fn replica_1_count(servers: &[u32]) -> usize {
    servers.iter().filter(|server| **server == REPLICA_1).count()
}

#[test]
fn a_starting_server_does_not_get_a_request_from_each_of_600_proxies() {
    // Given 600 proxies that know of a server that has just started
    let mut sent = 0;
    for fixture in &mut fleet(600, |_| {}) {
        let started_at = fixture.now;
        list_started_replica(fixture, started_at);
        // When each of them has a read within the same overload window
        fixture.advance(500 * MILLISECOND);
        sent += replica_1_count(&fixture.request(ANY).servers());
    }
    // Then only a few go to that server
    assert!(sent <= 3, "{sent} sends to a server with a fifth of its capacity, within one overload window");
}

/// Sends a read per second from one proxy, for 13 s before the first replica starts and for 13 s from then
/// on. Returns the number of reads that it gets after its start.
fn reads_at_starting_replica(fixture: &mut RouterFixture) -> usize {
    let started_at = fixture.now + 13_000 * MILLISECOND;
    let mut sent = 0;
    for second in 0..26 {
        if second == 13 {
            list_started_replica(fixture, started_at);
        }
        let read = fixture.request(ANY);
        let server = read.server();
        fixture.complete_attempt(read.id, 0, server, AttemptOutcome::Ok);
        sent += usize::from(second >= 13 && server == REPLICA_1);
        fixture.advance(1_000 * MILLISECOND);
    }
    sent
}

#[test]
fn a_starting_server_is_not_starved_by_budgets_of_less_than_one_token() {
    // Given 600 proxies, each with one request per second and a part of the budget below one token
    let mut proxies = fleet(600, |_| {});
    // When a server starts
    let sent: usize = proxies.iter_mut().map(reads_at_starting_replica).sum();
    // Then of its usual third of 600 requests per second it gets a fifth at first and all in the end
    assert!((200..2_600).contains(&sent), "{sent} sends in its slow-start window");
}

/// Sends reads until one goes to the first replica. Returns the id of that one; the others are answered.
fn read_at_replica_1(fixture: &mut RouterFixture) -> u64 {
    loop {
        let read = fixture.request(ANY);
        match read.server() {
            REPLICA_1 => return read.id,
            other => drop(fixture.complete_attempt(read.id, 0, other, AttemptOutcome::Ok)),
        }
    }
}

/// The number of 100 proxies that send a read to the first replica 5.1 s after their first request to it
/// ended without a connection, after this time.
fn sends_after_connect_failure(connect_time: Micros) -> usize {
    let mut sent = 0;
    for fixture in &mut fleet(100, |_| {}) {
        let read = read_at_replica_1(fixture);
        fixture.now += connect_time;
        let actions = fixture.complete_attempt(read, 0, REPLICA_1, AttemptOutcome::ConnectFailed);
        fixture.answer_sends(1, &actions);
        fixture.advance(5_100 * MILLISECOND);
        sent += replica_1_count(&fixture.request(ANY).servers());
    }
    sent
}

#[test]
fn a_server_that_refused_a_connection_is_in_slow_start_before_the_endpoint_list_says_so() {
    // When the connection to a server timed out, then it gets reads as usual once it is back
    let after_timeout = sends_after_connect_failure(250 * MILLISECOND);
    assert!(after_timeout > 20, "the network may cause a timeout: {after_timeout} of 100");
    // When it was refused at once, then the server is in slow start. As nothing has been served yet, it gets
    // one read from all proxies in each overload window, of which three have passed
    let after_refusal = sends_after_connect_failure(MILLISECOND);
    assert!(after_refusal <= 10, "refused at once: {after_refusal} of 100");
}
