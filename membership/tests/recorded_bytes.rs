//! Compatibility with the payloads of the previous release. Members still read the recorded payloads, and still write
//! the same bytes. Each line of `recorded/payloads.txt` has the name of a payload and its bytes in hexadecimal.

use birchreach_membership::{
    GossipReports, Membership, MembershipSettings, Micros, OutgoingPayload, ReceivedReport, ViewState,
};
use birchreach_test_support::recorded_bytes::{find_recorded, to_hex};
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn recorded(name: &str) -> Vec<u8> {
    find_recorded(include_str!("recorded/payloads.txt"), name)
}

/// Asserts that these bytes equal the recorded payload.
fn assert_recorded(name: &str, written: &[u8]) {
    assert_eq!(to_hex(written), to_hex(&recorded(name)), "{name}");
}

fn address(index: usize) -> SocketAddr {
    match index {
        0 => "10.0.0.1:7000".parse().unwrap(),
        _ => "[2001:db8::2]:7001".parse().unwrap(),
    }
}

fn member(index: usize, now: Micros) -> Membership {
    let settings = MembershipSettings {
        name: ["proxy-a", "proxy-b"][index].into(),
        address: address(index),
        incarnation: 0x1000_0000_0000_0001 + index as u64,
        epoch: 1_700_000_000_000 + index as u64,
        rng_seed: index as u64 + 1,
        seed_addresses: vec![address(0)],
        configured_members: 2,
    };
    Membership::new(settings, now)
}

/// The second member joins the first. Each receives the recorded payloads of the other for five seconds.
#[test]
fn a_join_and_the_gossip_after_it_are_written_and_read_as_recorded() {
    // When each member receives the recorded payloads of the other, then both write the recorded payloads.
    let mut members = [member(0, 0), member(1, 0)];
    let incarnations = [0, 1].map(|index| members[index].identity().incarnation);
    let mut sent = 0;
    for now in (0..5 * SECOND).step_by(100_000) {
        for index in [1, 0] {
            members[index].step(now);
            while let Some(OutgoingPayload { recipient, payload }) = members[index].next_payload() {
                assert_eq!(recipient, address(1 - index));
                let name = format!("gossip-{sent}-from-{index}");
                assert_recorded(&name, &payload);
                members[1 - index].receive(now, incarnations[index], &recorded(&name)).unwrap();
                sent += 1;
            }
        }
    }
    assert!(sent > 30, "{sent} payloads");

    // Then both have the same settled view.
    for member in &members {
        assert_eq!(member.view().member_count, 2);
        assert_recorded("digest-of-two", &member.view().digest.to_be_bytes());
        assert!(matches!(member.view().state, ViewState::Settled { .. }));
    }

    // When the second member leaves, then the first has no other members.
    members[1].leave(5 * SECOND);
    let leaving = members[1].next_payload().unwrap().payload;
    assert_recorded("goodbye", &leaving);
    members[0].receive(5 * SECOND, incarnations[1], &recorded("goodbye")).unwrap();
    assert_eq!(members[0].members().count(), 0);
}

#[test]
fn a_full_exchange_is_written_and_read_as_recorded() {
    // When a member exports its view, then the part equals the recorded payload.
    let (mut first, second) = (member(0, 0), member(1, 0));
    let parts = second.export_members();
    assert_eq!(parts.len(), 1);
    assert_recorded("exchange", &parts[0]);

    // When the other member imports the part, then it knows both members.
    first.import_members(SECOND, &[recorded("exchange")]).unwrap();
    let members: Vec<_> = first.members().cloned().collect();
    assert_eq!(members, [second.identity().clone()]);
    assert_eq!(first.identity().name, "proxy-a");
    assert_recorded("exchange-of-two", &first.export_members().concat());
}

#[test]
fn reports_are_written_and_read_as_recorded() {
    // When reports are published, then the datagram equals the recorded payload.
    let (mut sender, mut receiver) = (GossipReports::new(0x2122_2324_2526_2728, 1), GossipReports::new(2, 2));
    sender.publish(0, 1, b"first channel".to_vec());
    sender.publish(SECOND, 200, vec![0, 255, 7]);
    let payload = sender.encode_gossip(SECOND + 1, &[address(0)]).unwrap().payload;
    assert_recorded("reports", &payload);

    // When another member reads the datagram, then it receives both reports.
    let mut new_reports = receiver.apply_gossip(9 * SECOND, 2, |_| true, &recorded("reports")).unwrap();
    new_reports.sort_by_key(|report| report.channel);
    let report = |channel, age, payload: &[u8]| ReceivedReport {
        channel,
        origin: 0x2122_2324_2526_2728,
        sequence: 1,
        age,
        payload: payload.to_vec(),
    };
    assert_eq!(new_reports, [report(1, 1_001_000, b"first channel"), report(200, 1_000, &[0, 255, 7])]);
}
