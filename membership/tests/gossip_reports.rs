//! Gossiped reports: nearly all members receive each report, the newest report is accepted once, and the number of
//! stored reports is bounded.

use birchreach_membership::faults::{Fault, run_with_fault};
use birchreach_membership::{GossipReports, LIFETIME_INTERVALS, MAX_REPORT_BYTES, Micros};
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const CHANNEL: u8 = 7;
/// Maximum number of stored reports over all origins. Equals the private constant of the crate.
const MAX_REPORTS: usize = 16_384;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}

/// Returns the next datagram to the only other member.
fn next_datagram(reports: &mut GossipReports, now: Micros) -> Option<Vec<u8>> {
    reports.encode_gossip(now, &[address(1)]).map(|outgoing| outgoing.payload)
}

#[test]
fn reports_reach_nearly_all_members() {
    for (count, seed) in [(5, 1), (40, 2), (300, 3)] {
        let mut members: Vec<GossipReports> = (0..count)
            .map(|index| GossipReports::new(index as u64 + 1, seed * 1_000 + index as u64))
            .collect();
        let interval = GossipReports::renewal_interval(count);
        let (mut received, mut datagrams) = (0, 0);
        for (index, member) in members.iter_mut().enumerate() {
            member.publish(0, 1, vec![index as u8; 110]);
        }

        for now in (0..interval).step_by(50_000) {
            for index in 0..count {
                let others: Vec<SocketAddr> =
                    (0..count).filter(|other| *other != index).map(address).collect();
                let Some(outgoing) = members[index].encode_gossip(now, &others) else { continue };
                datagrams += 1;
                let to = (0..count).find(|other| address(*other) == outgoing.recipient).unwrap();
                received += members[to].apply_gossip(now, count, |_| true, &outgoing.payload).unwrap().len();
            }
        }

        let fraction = received as f64 / (count * (count - 1)) as f64;
        let rate = datagrams as f64 / count as f64 / (interval as f64 / 1e6);
        assert!(
            fraction > 0.98,
            "{count} members: fraction {fraction} of the reports received in one interval"
        );
        assert!(rate <= 20.5, "{count} members: {rate} datagrams per second and member");
    }
}

/// The newer of two reports is accepted once. The older report is not accepted after it.
fn check_newest_report_is_accepted_once() -> Result<(), String> {
    // Given two reports of the same member.
    let (mut sender, mut receiver) = (GossipReports::new(1, 1), GossipReports::new(2, 2));
    sender.publish(0, CHANNEL, b"first".to_vec());
    let first = next_datagram(&mut sender, 0).ok_or("nothing sent")?;
    sender.publish(SECOND, CHANNEL, b"second".to_vec());
    let second = next_datagram(&mut sender, SECOND).ok_or("nothing sent")?;
    let mut receive =
        |now, bytes: &[u8]| receiver.apply_gossip(now, 2, |_| true, bytes).map_err(|error| error.to_string());

    // When the second report arrives, then it is accepted.
    let new = receive(SECOND, &second)?;
    let is_second = |report: &birchreach_membership::ReceivedReport| {
        report.payload == b"second" && report.origin == 1 && report.sequence == 2
    };
    if new.len() != 1 || !is_second(&new[0]) {
        return Err(format!("the second report was not accepted: {new:?}"));
    }

    // When the second report arrives again, or the first arrives late, then neither is accepted.
    for bytes in [&second, &first, &second] {
        let again = receive(SECOND + 1, bytes)?;
        if !again.is_empty() {
            return Err(format!("a duplicate or older report was accepted: {again:?}"));
        }
    }
    Ok(())
}

#[test]
fn the_newest_report_is_accepted_once() {
    check_newest_report_is_accepted_once().unwrap();

    let with_fault = run_with_fault(Fault::DuplicatesAccepted, check_newest_report_is_accepted_once);
    assert!(with_fault.is_err(), "the check passed although DuplicatesAccepted was injected");
}

#[test]
fn ages_accumulate_over_hops_and_reports_expire() {
    let (mut first, mut second, mut third) =
        (GossipReports::new(1, 1), GossipReports::new(2, 2), GossipReports::new(3, 3));

    // When a report is received half a second after its publication by a process with another clock.
    first.publish(0, CHANNEL, b"data".to_vec());
    let sent = next_datagram(&mut first, SECOND / 2).unwrap();
    let clock = 500 * SECOND;
    let received = second.apply_gossip(clock, 3, |_| true, &sent).unwrap();

    // Then the age of the report is at least half a second.
    assert!((SECOND / 2..SECOND).contains(&received[0].age), "{received:?}");

    // When the report is forwarded two seconds later, then its age has grown by two seconds.
    let forwarded = next_datagram(&mut second, clock + 2 * SECOND).unwrap();
    let received = third.apply_gossip(0, 3, |_| true, &forwarded).unwrap();
    assert!((5 * SECOND / 2..3 * SECOND).contains(&received[0].age), "{received:?}");

    // When the report has expired, then it is not forwarded.
    let lifetime = GossipReports::renewal_interval(3) * LIFETIME_INTERVALS;
    assert_eq!(next_datagram(&mut third, lifetime), None, "an expired report was forwarded");
}

#[test]
fn a_report_whose_origin_is_not_a_member_is_not_stored() {
    let (mut sender, mut receiver) = (GossipReports::new(1, 1), GossipReports::new(4, 4));
    sender.publish(0, CHANNEL, b"data".to_vec());
    let sent = next_datagram(&mut sender, SECOND / 2).unwrap();

    let received = receiver.apply_gossip(0, 3, |origin| origin != 1, &sent).unwrap();

    assert!(received.is_empty());
    assert_eq!(receiver.len(), 0);
}

#[test]
fn a_report_that_is_too_long_is_not_sent() {
    let mut sender = GossipReports::new(1, 1);

    sender.publish(0, 1, vec![7; MAX_REPORT_BYTES + 1]);

    assert!(next_datagram(&mut sender, 0).is_none());
}

/// Returns a datagram with one report.
fn valid_datagram() -> Vec<u8> {
    let mut sender = GossipReports::new(1, 1);
    sender.publish(0, 1, vec![7; 300]);
    next_datagram(&mut sender, 0).unwrap()
}

#[test]
fn stored_reports_are_bounded_when_datagrams_are_corrupted() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut receiver = GossipReports::new(2, 2);
    let valid = valid_datagram();

    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let is_member = rng.bool();
        let _ = receiver.apply_gossip(0, 2, |_| is_member, &bytes);
    }

    assert!(receiver.len() <= MAX_REPORTS);
}

#[test]
fn malformed_datagrams_change_nothing() {
    let valid = valid_datagram();
    let mut receiver = GossipReports::new(3, 3);

    for length in 1..valid.len() {
        let result = receiver.apply_gossip(0, 2, |_| true, &valid[..length]);
        assert!(result.is_err(), "a datagram truncated to {length} bytes was accepted");
    }

    assert!(receiver.is_empty());
}

#[test]
fn stored_reports_of_many_members_are_bounded() {
    let mut receiver = GossipReports::new(9, 2);
    receiver.publish(0, 1, b"own".to_vec());

    for origin in 10..20_010u64 {
        let mut sender = GossipReports::new(origin, 1);
        sender.publish(0, 1, b"x".to_vec());
        let bytes = next_datagram(&mut sender, 0).unwrap();
        receiver.apply_gossip(0, 2, |_| true, &bytes).unwrap();
    }

    assert!(receiver.len() <= MAX_REPORTS, "{} reports are stored", receiver.len());
    assert!(next_datagram(&mut receiver, 0).is_some());
}
