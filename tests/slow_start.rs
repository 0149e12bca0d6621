//! The slow-start budget of a server: the share of a single proxy, and the sum of the shares of many proxies.

mod common;
use birchreach::*;
use common::*;

/// Passes an endpoint list in which the first replica started at `started_at` to the router.
fn list_started_replica(fixture: &mut RouterFixture, started_at: Micros) {
    let endpoints = endpoints_with_change(REPLICA_1, |replica| replica.started_at = Some(started_at));
    fixture.set_endpoints(&endpoints);
}

/// Passes an endpoint list in which both replicas have just started to the router.
fn list_both_replicas_started(fixture: &mut RouterFixture) {
    let [primary, replica_1, replica_2] = ready_endpoints(ALL_SERVERS);
    let started_at = Some(fixture.now);
    fixture.set_endpoints(&[
        primary,
        Endpoint { started_at, ..replica_1 },
        Endpoint { started_at, ..replica_2 },
    ]);
}

/// Serves 300 reads one after the other. Returns the number of reads that the first replica got.
fn reads_at_replica_1(fixture: &mut RouterFixture) -> usize {
    let mut count = 0;
    for index in 0..300 {
        let server = fixture.serve(ANY, (4 + index % 13) * MILLISECOND);
        count += usize::from(server == REPLICA_1);
    }
    count
}

#[test]
fn a_starting_server_gets_reads_within_its_budget_and_no_burst() {
    // Given a replica at full capacity, which gets its share of the reads
    let mut fixture = RouterFixture::new(settings());
    let at_full_capacity = reads_at_replica_1(&mut fixture);
    assert!(at_full_capacity > 90, "{at_full_capacity} of 300 reads");
    // When the replica restarts
    let now = fixture.now;
    list_started_replica(&mut fixture, now);
    // Then its load may be 2 x 0.2 of the throughput at full capacity, of which the budget uses a fraction
    let in_slow_start = reads_at_replica_1(&mut fixture);
    assert!((10..=60).contains(&in_slow_start), "{in_slow_start} of 300 reads");
}

/// Sends 60 reads within 300 ms and answers each immediately. Returns the number of reads sent to replicas.
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

/// Guards against a budget that depends on the current throughput of other servers: if both replicas are in
/// slow start, no other replica serves reads.
#[test]
fn replicas_get_reads_while_both_are_in_slow_start() {
    // Given a router that has measured the throughput of its servers
    let mut fixture = RouterFixture::new(settings());
    for _ in 0..1_000 {
        fixture.serve(ANY, 10 * MILLISECOND);
    }
    // When both replicas restart, and reads arrive some seconds later
    list_both_replicas_started(&mut fixture);
    fixture.advance(4_000 * MILLISECOND);
    let sent = reads_at_replicas(&mut fixture);
    // Then the replicas get some of the reads
    assert!(sent > 6, "{sent} of 60 reads");
}

/// Creates a router whose primary serves 100 writes per second, far more than the mean of all servers.
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
fn attempts_sent_before_a_restart_do_not_count_against_the_slow_start_budget() {
    // Given a busy primary
    let mut fixture = fixture_with_busy_primary();
    // When the primary refuses a connection, which shows that no process is running, and a new process begins
    // with slow start
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    let retried = servers_sent_to(&fixture.advance(1_500 * MILLISECOND));
    assert_eq!(retried, [PRIMARY], "the write is retried after the ejection of the primary");
    fixture.complete_attempt(write.id, 1, PRIMARY, AttemptOutcome::Ok);
    // Then the primary gets some of the following writes
    let mut sent = 0;
    for _ in 0..100 {
        sent += fixture.request(WRITE).servers().len();
        sent += servers_sent_to(&fixture.advance(10 * MILLISECOND)).len();
    }
    assert!(sent > 0, "the primary gets writes again");
}

/// The number of times that the first replica occurs in `servers`.
fn replica_1_count(servers: &[u32]) -> usize {
    servers.iter().filter(|server| **server == REPLICA_1).count()
}

#[test]
fn a_starting_server_gets_a_request_from_only_a_few_of_600_proxies() {
    // Given 600 proxies, and a server that the endpoint list reports as just started
    let mut sent = 0;
    for fixture in &mut fleet(600, |_| {}) {
        let started_at = fixture.now;
        list_started_replica(fixture, started_at);
        // When each of them has a read within the same overload window
        fixture.advance(500 * MILLISECOND);
        sent += replica_1_count(&fixture.request(ANY).servers());
    }
    // Then only a few requests go to that server
    assert!(sent <= 3, "{sent} attempts at a server with a fifth of its capacity, in one overload window");
}

/// Sends a read per second from one proxy for 13 s before the first replica starts and for 13 s afterwards.
/// Returns the number of reads that the replica gets after its start.
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
fn a_starting_server_gets_requests_from_600_proxies_with_budgets_below_one_token() {
    // Given 600 proxies, each with one request per second and a share of the budget below one token
    let mut proxies = fleet(600, |_| {});
    // When a server starts
    let sent: usize = proxies.iter_mut().map(reads_at_starting_replica).sum();
    // Then the server gets a fifth of its normal load at first and all of it at the end. Its normal load is a
    // third of 600 requests per second
    assert!((200..2_600).contains(&sent), "{sent} attempts in the slow-start window");
}

/// Sends reads until the first replica gets one, and answers the others. Returns the id of the read in flight
/// at the first replica.
fn read_at_replica_1(fixture: &mut RouterFixture) -> u64 {
    loop {
        let read = fixture.request(ANY);
        match read.server() {
            REPLICA_1 => return read.id,
            other => drop(fixture.complete_attempt(read.id, 0, other, AttemptOutcome::Ok)),
        }
    }
}

/// Lets the first connection of each of 100 proxies to the first replica fail after `connect_time`. Returns
/// the number of proxies that send a read to that replica 5.1 s later.
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
fn a_server_that_refused_a_connection_is_in_slow_start_before_the_endpoint_list_reports_its_start() {
    // When a connection times out, which the network may cause, then the server gets its normal number of
    // reads after its ejection
    let after_timeout = sends_after_connect_failure(250 * MILLISECOND);
    assert!(after_timeout > 20, "{after_timeout} of 100 proxies sent a read after a connection timeout");
    // When a connection is refused immediately, then the server is in slow start. No request has been served
    // yet, so that the server gets one read from all proxies together in each overload window. Three overload
    // windows have passed
    let after_refusal = sends_after_connect_failure(MILLISECOND);
    assert!(after_refusal <= 10, "{after_refusal} of 100 proxies sent a read after a refused connection");
}
