//! The sum of the retries, hedged requests and position queries of many proxies with little traffic each.

mod common;
use birchreach::*;
use common::*;

/// Number of proxies in the largest supported fleet.
const LARGEST_FLEET_SIZE: u32 = 900;

/// Serves 40 reads of a proxy and then sends four reads that no server answers. Returns the number of hedged
/// requests that the proxy sends for these four reads.
fn hedged_requests_of(fixture: &mut RouterFixture) -> usize {
    for _ in 0..40 {
        fixture.serve(ANY, 100 * MILLISECOND);
    }
    for _ in 0..4 {
        fixture.request(ANY);
    }
    servers_sent_to(&fixture.advance(450 * MILLISECOND)).len()
}

/// The sum of [`hedged_requests_of`] over all proxies of a fleet.
fn hedged_requests_of_fleet(proxy_count: u32) -> usize {
    fleet(proxy_count, |_| {}).iter_mut().map(hedged_requests_of).sum()
}

#[test]
fn the_retry_budget_bounds_the_hedged_requests_of_all_proxies_together() {
    // When servers stop answering a fleet of one proxy, then this proxy may spend the entire budget
    assert!(hedged_requests_of_fleet(1) >= 3, "a single proxy hedges at least three of four reads");
    // When servers stop answering a fleet of 100 proxies, then each proxy may spend only its share
    let from_100_proxies = hedged_requests_of_fleet(100);
    assert!(from_100_proxies <= 200, "{from_100_proxies} hedged requests at once from 100 proxies");
}

/// Sends ten reads per second from a proxy for a minute while connections to the first replica fail. Returns
/// the number of attempts at that replica after the first 5 s. Earlier attempts do not count, because the
/// first attempt of each proxy is not a retry.
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
    // Then the server gets at most 20 retries per second for 55 s from all proxies together
    assert!((100..=1_100).contains(&from_400_proxies), "{from_400_proxies} retries from 400 proxies");
}

#[test]
fn an_unresponsive_server_gets_a_bounded_number_of_retries_from_the_largest_fleet() {
    // Given the largest supported fleet
    let mut proxies = fleet(LARGEST_FLEET_SIZE, |_| {});
    // When a server is unresponsive
    let sent: usize = proxies.iter_mut().map(retries_at_unresponsive_replica).sum();
    println!("{sent} retries from {LARGEST_FLEET_SIZE} proxies");
    // Then the server gets at most 20 retries per second for 55 s from all proxies together
    assert!((100..=1_100).contains(&sent), "{sent} retries from {LARGEST_FLEET_SIZE} proxies");
}

/// Sends 200 bounded reads. The primary answers each read that it gets after `latency`. Returns the number of
/// position queries.
fn position_queries(fixture: &mut RouterFixture, latency: Micros) -> usize {
    let mut queries = 0;
    for _ in 0..200 {
        let mut actions = fixture.request(BOUNDED).actions;
        queries += health_check_count(&actions);
        // The replicas do not report their positions. Reads that queried therefore go to the primary or
        // finish.
        for replica in [REPLICA_1, REPLICA_2] {
            actions.extend(fixture.complete_health_check(replica, AttemptOutcome::Error));
        }
        // A response may cause the router to send queued reads.
        while !servers_sent_to(&actions).is_empty() {
            fixture.now += latency;
            actions = fixture.answer_sends(0, &actions);
        }
        // After 20 s all pauses are over. Only the results of earlier reads can keep the next read away from
        // the primary.
        fixture.now += 20_000 * MILLISECOND;
    }
    queries
}

/// In a large fleet, most reads for which no replica is known to be fresh enough go to the primary without a
/// position query. If the primary accepts no more fallback reads, a replica may still be fresh enough, so the
/// reads query its position.
#[test]
fn a_read_that_must_not_fall_back_to_the_primary_queries_the_position_of_a_replica() {
    // Given a proxy of a large fleet to which no position is known
    let settings = Settings { proxy_count: 100, health_checks_allowed: true, ..settings() };
    let mut fixture = RouterFixture::with_seed(settings, 3);
    // When the primary answers in time, then most reads go to the primary without a query
    let while_in_time = position_queries(&mut fixture, 50 * MILLISECOND);
    assert!(while_in_time < 100, "{while_in_time} queries for 200 reads while the primary answers in time");
    // When the primary answers too late, then most reads query a position
    let while_late = position_queries(&mut fixture, 900 * MILLISECOND);
    assert!(while_late > 140, "{while_late} queries for 200 reads while the primary answers too late");
}

/// Creates a proxy of the largest supported fleet to which no position is known.
fn proxy_of_largest_fleet() -> RouterFixture {
    let settings = Settings { proxy_count: LARGEST_FLEET_SIZE, health_checks_allowed: true, ..settings() };
    RouterFixture::with_seed(settings, 3)
}

#[test]
fn in_the_largest_fleet_most_reads_go_to_a_primary_that_answers_in_time_without_a_query() {
    // When the primary answers in time, then most reads go to the primary without a query
    let queries = position_queries(&mut proxy_of_largest_fleet(), 50 * MILLISECOND);
    assert!(queries < 100, "{queries} queries for 200 reads while the primary answers in time");
}
