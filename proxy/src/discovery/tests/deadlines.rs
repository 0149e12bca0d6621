//! The chain from a failed poll to the new list stays within the notification deadline.

use super::super::backoff::{Backoff, MAX_OVERLOAD_WAIT_MICROS, MAX_WAIT_MICROS};
use super::super::error::{HttpFault, PollError};
use super::super::watch::{
    CONNECT_TIMEOUT_MICROS, EndpointWatch, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use super::{polling_backoff, settings};
use birchreach::{EndpointDiscovery, Micros};

/// The next request, as text.
fn request(watch: &mut EndpointWatch) -> String {
    String::from_utf8(watch.next_request()).unwrap()
}

/// Whatever failed, and however often: wait, connect, poll and response together end within the deadline.
#[test]
fn after_any_failure_the_list_comes_within_the_deadline_for_any_number_of_proxies() {
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
    for proxies in [1, 2, 5, 48, 100, 300, 1_000] {
        for list in [EndpointDiscovery::Pushed, EndpointDiscovery::Polled] {
            for seed in 0..50 {
                let mut backoff = Backoff::new(&settings(list, proxies, 2_000_000), seed);
                for n in 0..100 {
                    let error = &errors[fastrand::Rng::with_seed(seed * 100 + n).usize(..errors.len())];
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
fn the_poll_after_a_failed_one_is_answered_at_once_or_times_out_soon() {
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    let long_poll_timeout = watch.response_timeout();
    watch.record_failure();
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 "));
    assert!(
        2 * watch.response_timeout() + MAX_WAIT_MICROS < NOTIFICATION_DEADLINE_MICROS
            && watch.response_timeout() < long_poll_timeout
    );
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"rev\":41,\"all\":false,\"targets\":[]}";
    assert!(watch.feed(response).unwrap().is_some());
    assert!(request(&mut watch).contains("?from=41&hold_ms=20000 "));
    assert_eq!(watch.response_timeout(), long_poll_timeout);
    // Another host answers the first poll at once as well.
    watch.set_host("other".into());
    assert!(request(&mut watch).contains("?from=41&hold_ms=0 HTTP/1.1\r\nHost: other\r\n"));
}

/// The proxy counts as notified of what a poll missed 6 s after it became unresponsive, or 2 s after its wait: the next poll is sent
/// before.
#[test]
fn an_unresponsive_poll_is_repeated_before_the_notification_deadline() {
    for (revision, deadline) in [(None, 6_000_000), (Some(41), 22_000_000)] {
        let watch = EndpointWatch::new("agent".into(), revision);
        let repeated_at =
            watch.response_timeout() + polling_backoff(300, 7).wait_after(&PollError::Unresponsive);
        assert!(repeated_at <= deadline - 300_000, "{repeated_at} of {deadline}");
    }
}

/// Where lists are pushed an agent of the proxy's own answers: no poll waits for other proxies. The first one is spread within the
/// grace all the same: watches of all proxies that are opened at one moment would time out together.
#[test]
fn a_pushed_list_is_polled_again_at_once_and_first_at_a_random_time() {
    let first: Vec<Micros> = (0..50)
        .map(|seed| Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed).initial_wait())
        .collect();
    assert!(first.iter().all(|at| *at <= 375_000));
    assert!(first.iter().max() > Some(&300_000) && first.iter().min() < Some(&75_000), "{first:?}");
    for seed in 0..50 {
        let mut backoff = Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed);
        let waits: Vec<Micros> = (0..10).map(|_| backoff.wait_after(&PollError::Overloaded)).collect();
        assert!(waits.iter().all(|wait| *wait <= 500_000), "{waits:?}");
    }
}

/// A discovery that can be reached again sends at once what was missed, and that must take effect within the grace: the next poll comes
/// within it, however long the outage was and however short the grace.
#[test]
fn after_an_outage_of_any_length_the_next_poll_comes_within_the_grace() {
    for grace in [500_000, 2_000_000] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(&settings(EndpointDiscovery::Polled, 300, grace), seed);
            assert!((0..5_000).all(|_| backoff.wait_after(&PollError::ConnectionRefused) <= grace / 3));
        }
    }
}

/// After a mass restart each proxy has an old list: it must poll well before that list is no longer valid.
#[test]
fn the_first_poll_comes_within_the_grace_however_many_proxies_there_are() {
    let first = |proxies| (0..500).map(|seed| polling_backoff(proxies, seed).initial_wait()).max();
    assert!(first(100) <= Some(1_500_000) && first(1_000) <= Some(1_500_000));
    assert!(first(5) <= Some(240_000), "few proxies poll soon");
    // A single proxy does not wait at its start.
    assert_eq!(first(1), Some(0));
}

/// A rejected poll is repeated within the bound, and a reload changes the length of a round.
#[test]
fn a_reload_changes_how_many_proxies_share_a_round() {
    let mut backoff = polling_backoff(300, 3);
    let longest = |backoff: &mut Backoff| (0..50).map(|_| backoff.wait_after(&PollError::Overloaded)).max();
    assert!((Some(1_000_000)..=Some(MAX_OVERLOAD_WAIT_MICROS)).contains(&longest(&mut backoff)));
    backoff.update_settings(&settings(EndpointDiscovery::Polled, 2, 2_000_000));
    backoff.reset();
    assert!(longest(&mut backoff) <= Some(480_000));
}
