//! The chain from a failed poll to the new list stays within the notification deadline.

use super::super::backoff::{Backoff, MAX_OVERLOAD_WAIT_MICROS, MAX_WAIT_MICROS};
use super::super::error::{HttpFault, PollError};
use super::super::watch::{
    CONNECT_TIMEOUT_MICROS, EndpointWatch, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use super::{LARGEST_FLEET_SIZE, polling_backoff, settings};
use birchreach::{EndpointDiscovery, Micros};

/// The answer to a poll at revision 41 when nothing has changed.
const NO_CHANGES: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"rev\":41,\"all\":false,\"targets\":[]}";

/// The next request, as text.
fn request(watch: &mut EndpointWatch) -> String {
    String::from_utf8(watch.next_request()).unwrap()
}

/// Whatever failed, and however often: wait, connect, poll and response together end within the deadline.
#[test]
fn after_any_failed_poll_the_list_arrives_before_the_notification_deadline() {
    // Given polls that fail in any way, a hundred in a row
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
        for list in [EndpointDiscovery::Pushed, EndpointDiscovery::Polled] {
            for seed in 0..50 {
                let mut backoff = Backoff::new(&settings(list, proxies, 2_000_000), seed);
                for n in 0..100 {
                    let error = &errors[fastrand::Rng::with_seed(seed * 100 + n).usize(..errors.len())];
                    // When the wait is over and discovery can be reached, then the answer comes within the deadline
                    let wait = backoff.wait_after(error);
                    // An overloaded discovery was reached: its connection was established at once.
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

/// After a poll that failed the next one does not wait for a change: if it is unresponsive too that shows soon, and a further one fits
/// into the deadline.
#[test]
fn the_poll_after_a_failed_one_is_a_short_poll_with_a_short_timeout() {
    // Given a watch whose poll waits for a change
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    let long_poll_timeout = watch.response_timeout();
    // When it fails, then the next one asks for an answer at once, and times out soon
    watch.record_failure();
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 "));
    assert!(
        2 * watch.response_timeout() + MAX_WAIT_MICROS < NOTIFICATION_DEADLINE_MICROS
            && watch.response_timeout() < long_poll_timeout
    );
    // When this one is answered, then the next one waits for a change again
    assert!(watch.feed(NO_CHANGES).unwrap().is_some());
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    assert_eq!(watch.response_timeout(), long_poll_timeout);
}

#[test]
fn the_first_poll_of_another_host_is_a_short_poll() {
    // Given a watch that was answered, and whose polls wait for a change
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    assert!(watch.feed(NO_CHANGES).unwrap().is_some());
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    // When discovery has moved to another host, then that one is asked for an answer at once
    watch.set_host("other".into());
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 HTTP/1.1\r\nHost: other\r\n"));
}

/// The proxy counts as notified of what a poll missed 6 s after it became unresponsive, or 2 s after its wait: the next poll is sent
/// before.
#[test]
fn an_unresponsive_poll_is_retried_before_the_notification_deadline() {
    // Given polls without and with a wait for a change
    for (revision, deadline) in [(None, 6_000_000), (Some(41), 22_000_000)] {
        let watch = EndpointWatch::new("agent".into(), revision);
        // When one is unresponsive, then the next one is sent before the deadline
        let repeated_at =
            watch.response_timeout() + polling_backoff(300, 7).wait_after(&PollError::Unresponsive);
        assert!(repeated_at <= deadline - 300_000, "{repeated_at} of {deadline}");
    }
}

/// A backoff where lists are pushed, as with an agent of the proxy's own.
fn pushed_backoff(seed: u64) -> Backoff {
    Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed)
}

/// Watches of all proxies that are opened at one moment would time out together.
#[test]
fn the_first_poll_of_a_pushed_list_is_randomized_within_the_drain_grace() {
    // Given proxies to which lists are pushed, when they start
    let first: Vec<Micros> = (0..50).map(|seed| pushed_backoff(seed).initial_wait()).collect();
    // Then their first polls are spread within the grace
    assert!(first.iter().all(|at| *at <= 375_000));
    assert!(first.iter().max() > Some(&300_000) && first.iter().min() < Some(&75_000), "{first:?}");
}

/// An agent of the proxy's own answers: no poll waits for other proxies.
#[test]
fn a_pushed_list_is_polled_again_without_a_slot_for_each_proxy() {
    for seed in 0..50 {
        // Given a proxy to which lists are pushed
        let mut backoff = pushed_backoff(seed);
        // When polls are rejected
        let waits: Vec<Micros> = (0..10).map(|_| backoff.wait_after(&PollError::Overloaded)).collect();
        // Then each is repeated within the grace
        assert!(waits.iter().all(|wait| *wait <= 500_000), "{waits:?}");
    }
}

/// A discovery that can be reached again sends at once what was missed, and that must take effect within the grace: the next poll comes
/// within it, however long the outage was and however short the grace.
#[test]
fn after_an_outage_the_next_poll_comes_within_the_drain_grace() {
    for grace in [500_000, 2_000_000] {
        for seed in 0..200 {
            // Given a proxy that polls discovery
            let mut backoff = Backoff::new(&settings(EndpointDiscovery::Polled, 300, grace), seed);
            // When discovery cannot be reached, however often, then the next poll comes within the grace
            assert!((0..5_000).all(|_| backoff.wait_after(&PollError::ConnectionRefused) <= grace / 3));
        }
    }
}

/// After a mass restart each proxy has an old list: it must poll well before that list is no longer valid.
#[test]
fn the_first_poll_comes_within_the_drain_grace_for_any_number_of_proxies() {
    // Given proxies that start at once
    let first = |proxies| (0..500).map(|seed| polling_backoff(proxies, seed).initial_wait()).max();
    // When they are many, then the last one polls within the grace
    assert!(first(100) <= Some(1_500_000) && first(1_000) <= Some(1_500_000));
    assert!(first(LARGEST_FLEET_SIZE) <= Some(1_500_000));
    // When they are few, then it polls soon
    assert!(first(5) <= Some(240_000), "few proxies poll soon");
    // When there is a single one, then it does not wait at its start
    assert_eq!(first(1), Some(0));
}

/// Polls of 900 proxies that start at once must neither come late nor in bursts.
#[test]
fn first_polls_of_the_largest_fleet_are_spread_over_the_drain_grace() {
    for seed in 0..5 {
        // Given 900 proxies, each with a seed of its own
        let seeds = (0..LARGEST_FLEET_SIZE).map(|index| u64::from(index) + seed * 1_000);
        // When all start at once
        let first: Vec<Micros> =
            seeds.map(|seed| polling_backoff(LARGEST_FLEET_SIZE, seed).initial_wait()).collect();
        // Then all poll within the grace, and the polls are spread over it
        assert!(first.iter().all(|at| *at <= 1_500_000), "{first:?}");
        assert!(first.iter().max() > Some(&1_200_000) && first.iter().min() < Some(&300_000), "{first:?}");
        let in_first_half = first.iter().filter(|at| **at < 750_000).count();
        assert!((400..=500).contains(&in_first_half), "{in_first_half} of {LARGEST_FLEET_SIZE}");
    }
}

/// A rejected poll is repeated within the bound, and a reload changes the length of a round.
#[test]
fn a_reload_changes_the_number_of_proxies_in_a_round() {
    // Given one of many proxies, whose rejected polls are repeated within the bound
    let mut backoff = polling_backoff(300, 3);
    let longest = |backoff: &mut Backoff| (0..50).map(|_| backoff.wait_after(&PollError::Overloaded)).max();
    assert!((Some(1_000_000)..=Some(MAX_OVERLOAD_WAIT_MICROS)).contains(&longest(&mut backoff)));
    // When a reload says that there are two
    backoff.update_settings(&settings(EndpointDiscovery::Polled, 2, 2_000_000));
    backoff.reset();
    // Then rejected polls are repeated sooner
    assert!(longest(&mut backoff) <= Some(480_000));
}
