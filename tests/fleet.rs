//! What many proxies do at the same time, each with little traffic: their sum counts.

mod common;
use birchreach::*;
use common::*;

#[test]
fn the_retry_budget_bounds_the_hedged_requests_of_all_proxies_together() {
    let hedged_requests = |proxies: u32| -> usize {
        let run_proxy = |fixture: &mut RouterFixture| {
            for _ in 0..40 {
                let ClientRequest { id, actions } = fixture.request(ANY);
                fixture.advance(100 * MILLISECOND);
                fixture.complete_attempt(id, 0, servers_sent_to(&actions)[0], AttemptOutcome::Ok);
            }
            // All servers stop answering: each proxy may spend the tokens that it has.
            for _ in 0..4 {
                fixture.request(ANY);
            }
            servers_sent_to(&fixture.advance(450 * MILLISECOND)).len()
        };
        fleet(proxies, |_| {}).iter_mut().map(run_proxy).sum()
    };
    assert!(hedged_requests(1) >= 3, "a single proxy hedges freely");
    let from_100_proxies = hedged_requests(100);
    assert!(from_100_proxies <= 200, "{from_100_proxies} hedged requests at once from 100 proxies");
}

#[test]
fn an_unresponsive_server_gets_a_bounded_number_of_retries_from_all_proxies() {
    let retries = |proxies: u32| -> usize {
        let run_proxy = |fixture: &mut RouterFixture| {
            let mut sent = 0;
            for tenth_of_second in 0..600 {
                let ClientRequest { id, actions } = fixture.request(ANY);
                for server in servers_sent_to(&actions) {
                    let is_unresponsive = server == REPLICA_1;
                    let outcome =
                        if is_unresponsive { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Ok };
                    let actions = fixture.complete_attempt(id, 0, server, outcome);
                    fixture.answer_sends(1, &actions);
                    // The first attempt of each proxy is no retry.
                    sent += usize::from(is_unresponsive && tenth_of_second >= 50);
                }
                fixture.now += 100 * MILLISECOND;
            }
            sent
        };
        fleet(proxies, |_| {}).iter_mut().map(run_proxy).sum()
    };
    // For 55 s, at most 20 per second from all proxies together.
    let from_400_proxies = retries(400);
    assert!((100..=1_100).contains(&from_400_proxies), "{from_400_proxies} retries from 400 proxies");
}

/// In a large fleet, most reads for which no replica is known to be fresh go to the primary without a position query.
/// Where the primary takes no more of them, a replica may still be fresh enough: they query.
#[test]
fn a_read_that_the_primary_does_not_take_queries_the_position_of_a_replica() {
    let settings = Settings { proxy_count: 100, health_checks_allowed: true, ..settings() };
    let mut fixture = RouterFixture::seeded(settings, 3);
    let mut count_queries = |latency: Micros| {
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
    };
    let while_in_time = count_queries(50 * MILLISECOND);
    assert!(while_in_time < 100, "{while_in_time} of 200 query while the primary takes them");
    let while_late = count_queries(900 * MILLISECOND);
    assert!(while_late > 140, "{while_late} of 200 query where it does not");
}
