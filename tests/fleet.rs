//! What many proxies do at the same time, each with little traffic: their sum counts.

mod common;
use birchreach::*;
use common::*;

/// Proxies of the largest fleet that the program has to serve.
const LARGEST_FLEET_SIZE: u32 = 900;

/// Serves 40 reads of a proxy, then all servers stop answering. Returns the number of hedged requests that
/// the proxy sends for four further reads.
fn hedged_requests_of(fixture: &mut RouterFixture) -> usize {
    for _ in 0..40 {
        fixture.serve(ANY, 100 * MILLISECOND);
    }
    for _ in 0..4 {
        fixture.request(ANY);
    }
    servers_sent_to(&fixture.advance(450 * MILLISECOND)).len()
}

/// The same for a whole fleet.
fn hedged_requests_of_fleet(proxies: u32) -> usize {
    fleet(proxies, |_| {}).iter_mut().map(hedged_requests_of).sum()
}

#[test]
fn the_retry_budget_bounds_the_hedged_requests_of_all_proxies_together() {
    // When servers stop answering a single proxy, then it may spend all tokens that it has
    assert!(hedged_requests_of_fleet(1) >= 3, "a single proxy hedges freely");
    // When they stop answering 100 proxies, then each may spend only a part
    let from_100_proxies = hedged_requests_of_fleet(100);
    assert!(from_100_proxies <= 200, "{from_100_proxies} hedged requests at once from 100 proxies");
}

/// Sends ten reads per second from a proxy for a minute, while connections to the first replica fail. Returns
/// the number of attempts there after the first 5 s: the first attempt of each proxy is no retry.
fn retries_at_unresponsive_replica(fixture: &mut RouterFixture) -> usize {
    let mut sent = 0;
    for tenth_of_second in 0..600 {
        let read = fixture.request(ANY);
        for server in read.servers() {
            let is_unresponsive = server == REPLICA_1;
            let outcome = if is_unresponsive { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Ok };
            let actions = fixture.complete_attempt(read.id, 0, server, outcome);
            fixture.answer_sends(1, &actions);
            sent += usize::from(is_unresponsive && tenth_of_second >= 50);
        }
        fixture.now += 100 * MILLISECOND;
    }
    sent
}

#[test]
fn an_unresponsive_server_gets_a_bounded_number_of_retries_from_all_proxies() {
    // Given 400 proxies
    let mut proxies = fleet(400, |_| {});
    // When a server is unresponsive
    let from_400_proxies: usize = proxies.iter_mut().map(retries_at_unresponsive_replica).sum();
    // Then it gets, for 55 s, at most 20 retries per second from all proxies together
    assert!((100..=1_100).contains(&from_400_proxies), "{from_400_proxies} retries from 400 proxies");
}

#[test]
fn an_unresponsive_server_gets_a_bounded_number_of_retries_from_the_largest_fleet() {
    // Given the largest fleet
    let mut proxies = fleet(LARGEST_FLEET_SIZE, |_| {});
    // When a server is unresponsive
    let sent: usize = proxies.iter_mut().map(retries_at_unresponsive_replica).sum();
    println!("{sent} retries from {LARGEST_FLEET_SIZE} proxies");
    // Then it gets, for 55 s, at most 20 retries per second from all proxies together
    assert!((100..=1_100).contains(&sent), "{sent} retries from {LARGEST_FLEET_SIZE} proxies");
}

/// Sends 200 bounded reads, each of which the primary answers after this time if it gets it. Returns the
/// number of position queries.
fn position_queries(fixture: &mut RouterFixture, latency: Micros) -> usize {
    let mut queries = 0;
    for _ in 0..200 {
        let mut actions = fixture.request(BOUNDED).actions;
        queries += health_check_count(&actions);
        // No replica tells its position: reads that queried go to the primary too, or are finished.
        for replica in [REPLICA_1, REPLICA_2] {
            actions.extend(fixture.complete_health_check(replica, AttemptOutcome::Error));
        }
        // An answer may cause queued reads to be sent.
        while !servers_sent_to(&actions).is_empty() {
            fixture.now += latency;
            actions = fixture.answer_sends(0, &actions);
        }
        // All pauses are over: only the outcome of the last reads keeps the next ones away.
        fixture.now += 20_000 * MILLISECOND;
    }
    queries
}

/// In a large fleet, most reads for which no replica is known to be fresh go to the primary without a
/// position query. Where the primary takes no more of them, a replica may still be fresh enough: they query.
#[test]
fn a_read_that_the_primary_does_not_take_queries_the_position_of_a_replica() {
    // Given a proxy of a large fleet, which knows no position
    let settings = Settings { proxy_count: 100, health_checks_allowed: true, ..settings() };
    let mut fixture = RouterFixture::with_seed(settings, 3);
    // When the primary answers in time, then most reads go there without a query
    let while_in_time = position_queries(&mut fixture, 50 * MILLISECOND);
    assert!(while_in_time < 100, "{while_in_time} of 200 query while the primary takes them");
    // When it answers too late, then most reads query
    let while_late = position_queries(&mut fixture, 900 * MILLISECOND);
    assert!(while_late > 140, "{while_late} of 200 query where it does not");
}

/// A proxy of the largest fleet, which knows no position.
fn proxy_of_largest_fleet() -> RouterFixture {
    let settings = Settings { proxy_count: LARGEST_FLEET_SIZE, health_checks_allowed: true, ..settings() };
    RouterFixture::with_seed(settings, 3)
}

#[test]
fn in_the_largest_fleet_most_reads_go_to_the_primary_without_a_query_while_it_takes_them() {
    // When the primary answers in time, then most reads go there without a query
    let queries = position_queries(&mut proxy_of_largest_fleet(), 50 * MILLISECOND);
    assert!(queries < 100, "{queries} of 200 query while the primary takes them");
}
