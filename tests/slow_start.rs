//! The slow-start budget of a server: how one proxy keeps to its part of it, and what the parts of many add up to.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_starting_server_gets_its_part_of_the_budget_and_no_burst() {
    let mut fixture = RouterFixture::new(settings());
    let count_sends_to_replica_1 = |fixture: &mut RouterFixture| {
        let mut count = 0;
        for turn in 0..300 {
            let ClientRequest { id, actions } = fixture.request(ANY);
            count += usize::from(servers_sent_to(&actions) == [REPLICA_1]);
            let server = servers_sent_to(&actions)[0];
            fixture.advance((4 + turn % 13) * MILLISECOND);
            fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
        }
        count
    };
    let at_full_capacity = count_sends_to_replica_1(&mut fixture);
    assert!(at_full_capacity > 90, "{at_full_capacity}");

    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].started_at = Some(fixture.now);
    fixture.set_endpoints(&endpoints);

    // It may have 2 x 0.2 of what a server with full capacity serves, of which a part is used.
    let in_slow_start = count_sends_to_replica_1(&mut fixture);
    assert!((10..=60).contains(&in_slow_start), "{in_slow_start}");
}

/// The budget must not depend on what other servers serve at that moment: with both replicas new there are none.
#[test]
fn a_fleet_that_is_mostly_in_slow_start_still_gets_its_budget() {
    let mut fixture = RouterFixture::new(settings());
    for _ in 0..1_000 {
        let ClientRequest { id, actions } = fixture.request(ANY);
        let server = servers_sent_to(&actions)[0];
        fixture.advance(10 * MILLISECOND);
        fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
    }
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].started_at = Some(fixture.now);
    endpoints[2].started_at = Some(fixture.now);
    fixture.set_endpoints(&endpoints);
    fixture.advance(4_000 * MILLISECOND);

    let mut sent = 0;
    for _ in 0..60 {
        let ClientRequest { id, actions } = fixture.request(ANY);
        for server in servers_sent_to(&actions) {
            sent += usize::from(server != PRIMARY);
            fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
        }
        fixture.advance(5 * MILLISECOND);
    }
    assert!(sent > 6, "{sent}");
}

#[test]
fn attempts_sent_at_full_capacity_do_not_count_against_the_budget_after_a_restart() {
    let mut fixture = RouterFixture::without_endpoints(settings());
    // The primary serves far more than the mean of all servers.
    let [primary, replica_1, replica_2] = ready(ALL_SERVERS);
    let in_other_group = |endpoint| Endpoint { group: GroupId(1), ..endpoint };
    fixture.set_endpoints(&[primary, in_other_group(replica_1), in_other_group(replica_2)]);
    for _ in 0..500 {
        let ClientRequest { id, .. } = fixture.request(WRITE);
        fixture.advance(5 * MILLISECOND);
        fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Ok);
        fixture.advance(5 * MILLISECOND);
    }

    // It refuses a connection at once: no process is running, and the next one begins with slow start.
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    assert_eq!(
        servers_sent_to(&fixture.advance(1_500 * MILLISECOND)),
        [PRIMARY],
        "the retry after its ejection"
    );
    fixture.complete_attempt(id, 1, PRIMARY, AttemptOutcome::Ok);

    let mut sent = 0;
    for _ in 0..100 {
        sent += fixture.request(WRITE).servers().len();
        sent += servers_sent_to(&fixture.advance(10 * MILLISECOND)).len();
    }
    assert!(sent > 0, "it takes work again");
}

/// Tells a proxy that a replica has started at this time.
fn list_started_replica(fixture: &mut RouterFixture, started_at: Micros) {
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].started_at = Some(started_at);
    fixture.set_endpoints(&endpoints);
}

#[test]
fn a_starting_server_does_not_get_a_request_from_each_of_600_proxies() {
    let mut sent = 0;
    for fixture in &mut fleet(600, |_| {}) {
        let started_at = fixture.now;
        list_started_replica(fixture, started_at);
        fixture.advance(500 * MILLISECOND);
        let servers = fixture.request(ANY).servers();
        sent += servers.iter().filter(|server| **server == REPLICA_1).count();
    }
    assert!(sent <= 3, "{sent} sends to a server with a fifth of its capacity, within one overload window");
}

#[test]
fn a_starting_server_is_not_starved_by_budgets_of_less_than_one_token() {
    let mut sent = 0;
    for fixture in &mut fleet(600, |_| {}) {
        let started_at = fixture.now + 13_000 * MILLISECOND;
        // One request per second for each proxy.
        for second in 0..26 {
            if second == 13 {
                list_started_replica(fixture, started_at);
            }
            let ClientRequest { id, actions } = fixture.request(ANY);
            let server = servers_sent_to(&actions)[0];
            fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
            sent += usize::from(second >= 13 && server == REPLICA_1);
            fixture.advance(1_000 * MILLISECOND);
        }
    }
    // A third of 600 requests per second is 200, of which it gets a fifth at first and all in the end.
    assert!((200..2_600).contains(&sent), "{sent} sends in its slow-start window");
}

#[test]
fn a_server_that_refused_a_connection_is_in_slow_start_before_the_endpoint_list_says_so() {
    let sends_after_connect_failure = |connect_time: Micros| {
        let mut sent = 0;
        for fixture in &mut fleet(100, |_| {}) {
            // Each proxy sees the failure with its first request to the server; then the server is back.
            let id = loop {
                let ClientRequest { id, actions } = fixture.request(ANY);
                match servers_sent_to(&actions)[0] {
                    REPLICA_1 => break id,
                    other => drop(fixture.complete_attempt(id, 0, other, AttemptOutcome::Ok)),
                }
            };
            fixture.now += connect_time;
            let actions = fixture.complete_attempt(id, 0, REPLICA_1, AttemptOutcome::ConnectFailed);
            fixture.answer_sends(1, &actions);
            fixture.advance(5_100 * MILLISECOND);
            let servers = fixture.request(ANY).servers();
            sent += servers.iter().filter(|server| **server == REPLICA_1).count();
        }
        sent
    };
    let after_timeout = sends_after_connect_failure(250 * MILLISECOND);
    assert!(after_timeout > 20, "the network may cause a timeout: {after_timeout} of 100");
    // As nothing has been served yet, one from all proxies in each overload window, of which three have passed.
    let after_refusal = sends_after_connect_failure(MILLISECOND);
    assert!(after_refusal <= 10, "refused at once: {after_refusal} of 100");
}
