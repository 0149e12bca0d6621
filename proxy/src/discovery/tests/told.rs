//! The chain from a failed call to the list held stays under the time after which a change counts as told.

use super::super::backoff::{Backoff, LONGEST_TURN, LONGEST_WAIT};
use super::super::error::CallError;
use super::super::watch::{ANSWER, CONNECT, TOLD, Watch};
use super::{asked, settings};
use birchreach::{EndpointDiscovery, Micros};

fn call(watch: &mut Watch) -> String {
    String::from_utf8(watch.call()).unwrap()
}

/// Whatever failed, and however often: wait, connect, call and answer together end before what discovery had counts as told.
#[test]
fn after_any_failure_the_list_is_held_within_the_time_for_any_number_of_proxies() {
    let errors = [
        CallError::NoRoom,
        CallError::NoSocket,
        CallError::Connect,
        CallError::ConnectTimeout,
        CallError::Silent,
        CallError::Closed,
        CallError::Reset,
        CallError::Status(500),
        CallError::CutShort,
        CallError::TooLong,
        CallError::Http("x"),
        CallError::List("x".into()),
    ];
    for proxies in [1, 2, 5, 48, 100, 300, 1_000] {
        for list in [EndpointDiscovery::Pushed, EndpointDiscovery::Polled] {
            for seed in 0..50 {
                let mut backoff = Backoff::new(&settings(list, proxies, 2_000_000), seed);
                for n in 0..100 {
                    let error = &errors[fastrand::Rng::with_seed(seed * 100 + n).usize(..errors.len())];
                    let wait = backoff.failed(error);
                    // Where there is no room discovery was reached, and its connection came up at once.
                    let connect = if *error == CallError::NoRoom { 0 } else { CONNECT };
                    assert!(wait + connect + ANSWER < TOLD, "{proxies} proxies, {error}: {wait}");
                }
            }
        }
    }
}

/// After a call that failed the next one does not wait for news: if it stays silent too that shows soon, and a further one fits
/// into the time.
#[test]
fn the_call_after_a_failed_one_is_answered_at_once_or_given_up_soon() {
    let mut watch = Watch::new("agent".into(), Some(41));
    assert!(call(&mut watch).contains("?from=41&hold_ms=20000 "));
    let held = watch.patience();
    watch.failed();
    assert!(call(&mut watch).contains("?from=41&hold_ms=0 "));
    assert!(2 * watch.patience() + LONGEST_WAIT < TOLD && watch.patience() < held);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"rev\":41,\"all\":false,\"targets\":[]}";
    assert!(watch.feed(answer).unwrap().is_some());
    assert!(call(&mut watch).contains("?from=41&hold_ms=20000 "));
    assert_eq!(watch.patience(), held);
    // Elsewhere the first answer comes at once as well.
    watch.moved("other".into());
    assert!(call(&mut watch).contains("?from=41&hold_ms=0 HTTP/1.1\r\nHost: other\r\n"));
}

/// What a silent call missed counts as told 6 s after it fell silent, or 2 s after its wait: the next one is out before.
#[test]
fn a_silent_call_is_made_again_before_what_it_missed_counts_as_told() {
    for (rev, told) in [(None, 6_000_000), (Some(41), 22_000_000)] {
        let watch = Watch::new("agent".into(), rev);
        let again = watch.patience() + asked(300, 7).failed(&CallError::Silent);
        assert!(again <= told - 300_000, "{again} of {told}");
    }
}

/// Where lists are pushed an agent of the proxy's own answers at no cost: no call waits for other proxies. The first one is spread
/// within the grace all the same: watches of all proxies that open at one moment would fall silent together.
#[test]
fn a_pushed_list_is_asked_for_again_at_once_and_first_at_a_time_of_its_own() {
    let first: Vec<Micros> = (0..50)
        .map(|seed| Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed).first())
        .collect();
    assert!(first.iter().all(|at| *at <= 375_000));
    assert!(first.iter().max() > Some(&300_000) && first.iter().min() < Some(&75_000), "{first:?}");
    for seed in 0..50 {
        let mut backoff = Backoff::new(&settings(EndpointDiscovery::Pushed, 300, 500_000), seed);
        let waits: Vec<Micros> = (0..10).map(|_| backoff.failed(&CallError::NoRoom)).collect();
        assert!(waits.iter().all(|wait| *wait <= 500_000), "{waits:?}");
    }
}

/// Discovery back after an outage tells at once what was missed, and that counts: the next call is never as far off as
/// the grace in which it has to bind, however long the outage was and however short the grace.
#[test]
fn after_an_outage_of_any_length_the_next_call_comes_within_the_grace() {
    for grace in [500_000, 2_000_000] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(&settings(EndpointDiscovery::Polled, 300, grace), seed);
            assert!((0..5_000).all(|_| backoff.failed(&CallError::Connect) <= grace / 3));
        }
    }
}

/// After a mass restart each proxy holds an old list: it must have asked well before that list may bind no more.
#[test]
fn the_first_call_comes_within_the_grace_however_many_proxies_there_are() {
    let first = |proxies| (0..500).map(|seed| asked(proxies, seed).first()).max();
    assert!(first(100) <= Some(1_500_000) && first(1_000) <= Some(1_500_000));
    assert!(first(5) <= Some(240_000), "few proxies call as soon as they did");
    // One proxy alone waits for nobody at its start.
    assert_eq!(first(1), Some(0));
}

/// A call for which there was no room comes again within the bound, and other settings change whose turn it is.
#[test]
fn a_reload_changes_how_many_proxies_take_turns() {
    let mut backoff = asked(300, 3);
    let longest = |backoff: &mut Backoff| (0..50).map(|_| backoff.failed(&CallError::NoRoom)).max();
    assert!((Some(1_000_000)..=Some(LONGEST_TURN)).contains(&longest(&mut backoff)));
    backoff.settings(&settings(EndpointDiscovery::Polled, 2, 2_000_000));
    backoff.answered();
    assert!(longest(&mut backoff) <= Some(480_000));
}
