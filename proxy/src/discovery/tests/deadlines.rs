//! Timing of polls: the next poll after a failed one must be answered within the notification deadline, and first polls must be
//! spread over the drain grace.

use super::super::backoff::{Backoff, MAX_OVERLOAD_WAIT_MICROS, MAX_WAIT_MICROS};
use super::super::error::{HttpFault, PollError};
use super::super::watch::{
    CONNECT_TIMEOUT_MICROS, EndpointWatch, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use super::{LARGEST_FLEET_SIZE, polling_backoff, settings};
use birchreach::{EndpointDiscovery, Micros};

/// The response to a poll from revision 41 when nothing has changed.
const NO_CHANGES: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"rev\":41,\"all\":false,\"targets\":[]}";

fn request(watch: &mut EndpointWatch) -> String {
    String::from_utf8(watch.next_request()).unwrap()
}

/// The wait, the connect and the poll must together fit into the deadline after any error and any number of consecutive failures.
#[test]
fn after_any_failed_poll_the_list_arrives_before_the_notification_deadline() {
    // Given a hundred consecutive polls that fail with random errors
    let errors = [
        PollError::Overloaded,
        PollError::NoSocket,
        PollError::ConnectionRefused,
        PollError::ConnectTimeout,
        PollError::Unresponsive,
        PollError::Closed,
        PollError::Reset,
        PollError::Status(500),
        PollError::Truncated,
        PollError::TooLong,
        PollError::InvalidHttp(HttpFault::Head),
        PollError::InvalidList("x".into()),
    ];
    for proxies in [1, 2, 5, 48, 100, 300, LARGEST_FLEET_SIZE, 1_000] {
        for discovery in [EndpointDiscovery::Pushed, EndpointDiscovery::Polled] {
            for seed in 0..50 {
                let mut backoff = Backoff::new(&settings(discovery, proxies, 2_000_000), seed);
                for failure in 0..100 {
                    let error = &errors[fastrand::Rng::with_seed(seed * 100 + failure).usize(..errors.len())];
                    // When discovery is reachable after the wait, then the response arrives within the deadline
                    let wait = backoff.wait_after(error);
                    // An overloaded discovery service is reachable, so that a connection is established at once.
                    let connect = if *error == PollError::Overloaded { 0 } else { CONNECT_TIMEOUT_MICROS };
                    assert!(
                        wait + connect + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS,
                        "{proxies} proxies, {error}: {wait}"
                    );
                }
            }
        }
    }
}

/// The poll after a failed one must not wait for a change. If that poll is unresponsive too, this is detected soon enough for one
/// more poll within the deadline.
#[test]
fn the_poll_after_a_failed_one_is_a_short_poll_with_a_short_timeout() {
    // Given a watch whose next poll waits for a change
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    let long_poll_timeout = watch.response_timeout();
    // When the poll fails, then the next one requests an immediate response, and times out soon
    watch.record_failure();
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 "));
    assert!(
        2 * watch.response_timeout() + MAX_WAIT_MICROS < NOTIFICATION_DEADLINE_MICROS
            && watch.response_timeout() < long_poll_timeout
    );
    // When that poll is answered, then the following one waits for a change again
    assert!(watch.feed(NO_CHANGES).unwrap().is_some());
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    assert_eq!(watch.response_timeout(), long_poll_timeout);
}

#[test]
fn the_first_poll_of_another_host_is_a_short_poll() {
    // Given a watch that has received a response, and whose next poll waits for a change
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    assert!(watch.feed(NO_CHANGES).unwrap().is_some());
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    // When discovery moves to another host, then the first poll of that host requests an immediate response
    watch.set_host("other".into());
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 HTTP/1.1\r\nHost: other\r\n"));
}

/// A proxy counts as notified of a change that a poll missed 6 s after the poll became unresponsive, or 2 s after the end of its
/// wait. The next poll must be sent before that.
#[test]
fn an_unresponsive_poll_is_retried_before_the_notification_deadline() {
    // Given polls that do not wait for a change, and polls that do
    for (revision, deadline) in [(None, 6_000_000), (Some(41), 22_000_000)] {
        let watch = EndpointWatch::new("agent".into(), revision);
        // When a poll is unresponsive, then the next one is sent before the deadline
        let repeated_at =
            watch.response_timeout() + polling_backoff(300, 7).wait_after(&PollError::Unresponsive);
        assert!(repeated_at <= deadline - 300_000, "{repeated_at} of {deadline}");
    }
}

/// The backoff of a proxy whose list is pushed to an agent that serves only this proxy.
fn pushed_backoff(seed: u64) -> Backoff {
    Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed)
}

/// Guards against simultaneous time-outs: if all proxies open their watches at the same time, the watches also time out at the
/// same time.
#[test]
fn the_first_poll_of_a_pushed_list_is_randomized_within_the_drain_grace() {
    // Given proxies with pushed lists, when they start
    let first: Vec<Micros> = (0..50).map(|seed| pushed_backoff(seed).initial_wait()).collect();
    // Then their first polls are spread over the drain grace
    assert!(first.iter().all(|at| *at <= 375_000));
    assert!(first.iter().max() > Some(&300_000) && first.iter().min() < Some(&75_000), "{first:?}");
}

/// With pushed lists the agent serves only this proxy, so that polls need not wait for other proxies.
#[test]
fn a_pushed_list_is_polled_again_without_a_slot_for_each_proxy() {
    for seed in 0..50 {
        // Given a proxy with pushed lists
        let mut backoff = pushed_backoff(seed);
        // When polls are rejected
        let waits: Vec<Micros> = (0..10).map(|_| backoff.wait_after(&PollError::Overloaded)).collect();
        // Then each is repeated within the drain grace
        assert!(waits.iter().all(|wait| *wait <= 500_000), "{waits:?}");
    }
}

/// When discovery is reachable again it immediately sends the changes that the proxy missed. These must take effect within the
/// drain grace, so the next poll must come within it, for any length of the outage and any grace.
#[test]
fn after_an_outage_the_next_poll_comes_within_the_drain_grace() {
    for grace in [500_000, 2_000_000] {
        for seed in 0..200 {
            // Given a proxy with polled lists
            let mut backoff = Backoff::new(&settings(EndpointDiscovery::Polled, 300, grace), seed);
            // When discovery is unreachable for any number of polls, then each wait is at most a third of the drain grace
            assert!((0..5_000).all(|_| backoff.wait_after(&PollError::ConnectionRefused) <= grace / 3));
        }
    }
}

/// After a mass restart each proxy has an old list, and must poll well before that list becomes invalid.
#[test]
fn the_first_poll_comes_within_the_drain_grace_for_any_number_of_proxies() {
    // Given proxies that start simultaneously
    let first = |proxies| (0..500).map(|seed| polling_backoff(proxies, seed).initial_wait()).max();
    // When there are many proxies, then the last one polls within the drain grace
    assert!(first(100) <= Some(1_500_000) && first(1_000) <= Some(1_500_000));
    assert!(first(LARGEST_FLEET_SIZE) <= Some(1_500_000));
    // When there are few proxies, then the last one polls soon
    assert!(first(5) <= Some(240_000), "with few proxies the first polls come soon");
    // When there is a single proxy, then it polls without a wait
    assert_eq!(first(1), Some(0));
}

/// The first polls of 900 proxies that start simultaneously must come neither late nor in bursts.
#[test]
fn first_polls_of_the_largest_fleet_are_spread_over_the_drain_grace() {
    for seed in 0..5 {
        // Given 900 proxies with different seeds
        let seeds = (0..LARGEST_FLEET_SIZE).map(|index| u64::from(index) + seed * 1_000);
        // When all start simultaneously
        let first: Vec<Micros> =
            seeds.map(|seed| polling_backoff(LARGEST_FLEET_SIZE, seed).initial_wait()).collect();
        // Then all poll within the drain grace, and the polls are spread over it
        assert!(first.iter().all(|at| *at <= 1_500_000), "{first:?}");
        assert!(first.iter().max() > Some(&1_200_000) && first.iter().min() < Some(&300_000), "{first:?}");
        let in_first_half = first.iter().filter(|at| **at < 750_000).count();
        assert!((400..=500).contains(&in_first_half), "{in_first_half} of {LARGEST_FLEET_SIZE}");
    }
}

/// The number of proxies in the settings determines the length of a round, and thus the wait after a rejected poll.
#[test]
fn a_reload_changes_the_number_of_proxies_in_a_round() {
    // Given one of 300 proxies, which repeats rejected polls after at most the longest wait
    let mut backoff = polling_backoff(300, 3);
    let longest = |backoff: &mut Backoff| (0..50).map(|_| backoff.wait_after(&PollError::Overloaded)).max();
    assert!((Some(1_000_000)..=Some(MAX_OVERLOAD_WAIT_MICROS)).contains(&longest(&mut backoff)));
    // When a reload changes the number of proxies to two
    backoff.update_settings(&settings(EndpointDiscovery::Polled, 2, 2_000_000));
    backoff.reset();
    // Then the proxy repeats rejected polls sooner
    assert!(longest(&mut backoff) <= Some(480_000));
}
