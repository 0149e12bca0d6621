//! Compatibility with the wire formats and the snapshot format of the previous release: recorded bytes are
//! read correctly, and the same bytes are written again. Each line of `recorded/bytes.txt` has a name and its
//! bytes in hexadecimal.

mod common;

use birchreach_peer_state::datagram::{DatagramCodec, OpenedDatagram};
use birchreach_peer_state::frame::{Key, Keys, Side};
use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange};
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};
use birchreach_peer_state::{
    Micros, ObservationSource, PeerState, Role, ServerIncarnation, TransferPart, snapshot,
};
use birchreach_test_support::recorded_bytes::{find_recorded, to_hex};
use common::{SECOND, with_list_of};

const REQUESTER_NONCE: [u8; 16] = [1; 16];
const PROVIDER_NONCE: [u8; 16] = [2; 16];

fn keys() -> Keys {
    let first = Key { id: 7, secret: b"a secret of the recorded bytes".to_vec() };
    let second = Key { id: 9, secret: vec![5; 16] };
    Keys::new(vec![first, second]).unwrap()
}

fn recorded(name: &str) -> Vec<u8> {
    find_recorded(include_str!("recorded/bytes.txt"), name)
}

/// Checks that the written bytes are the recorded ones.
fn assert_recorded(name: &str, written: &[u8]) {
    assert_eq!(to_hex(written), to_hex(&recorded(name)), "{name}");
}

/// A state with facts of every kind and from every source.
fn state() -> PeerState {
    let mut state = PeerState::new(0x0102_0304_0506_0708);
    state.add_listed_server("primary-1", ServerIncarnation { started_ms: 1_700_000_000_123, group: 0 });
    state.add_listed_server("replica-1", ServerIncarnation { started_ms: 0, group: 3 });
    state.add_listed_server("unknown", ServerIncarnation { started_ms: 5, group: 70_000 });
    state.record_role(100 * SECOND, "primary-1", Role::Primary, ObservationSource::ServedWrite);
    state.record_position(100 * SECOND, "primary-1", 99 * SECOND, SECOND, ObservationSource::LoadReport);
    state.record_health(101 * SECOND, "primary-1", false);
    state.record_role(90 * SECOND, "replica-1", Role::Replica, ObservationSource::EndpointList);
    state.record_position(95 * SECOND, "replica-1", -3, 7 * SECOND + 1, ObservationSource::ServerStatus);
    state.record_health(99 * SECOND, "replica-1", true);
    state.record_latency(99 * SECOND, "replica-1", 12_345);
    state.record_slow_start(98 * SECOND, "replica-1", 250);
    state
}

/// Checks that another proxy receives the facts of [`state`], older by `age` than at the export.
fn assert_received(part: &TransferPart, age: Micros) {
    let mut receiver = with_list_of(&state(), 2);
    receiver.apply_transfer(200 * SECOND, part);

    let primary = receiver.facts("primary-1").unwrap();
    let observation = primary.primary.unwrap();
    assert_eq!(
        (observation.age(200 * SECOND), observation.hop_count, observation.source),
        (2 * SECOND + age, 1, ObservationSource::ServedWrite)
    );
    assert_eq!(observation.observer, 0x0102_0304_0506_0708);
    assert_eq!(
        primary.position.map(|position| (position.value, position.source)),
        Some((99 * SECOND, ObservationSource::LoadReport))
    );
    assert_eq!(primary.suspect.map(|observation| observation.value), Some(false));

    let replica = receiver.facts("replica-1").unwrap();
    assert_eq!(
        (replica.position.map(|position| position.value), replica.lag.map(|observation| observation.value)),
        (Some(-3), Some(7_000_001))
    );
    assert_eq!(
        replica.replica.map(|observation| (observation.age(200 * SECOND), observation.source)),
        Some((12 * SECOND + age, ObservationSource::EndpointList))
    );
    assert_eq!(replica.suspect.map(|observation| observation.value), Some(true));
    assert_eq!(
        (
            replica.latency.map(|observation| observation.value),
            replica.slow_start_permille.map(|observation| observation.value)
        ),
        (Some(12_345), Some(250))
    );

    assert_eq!(receiver.facts("unknown"), None);
}

#[test]
fn the_frames_of_a_request_are_written_as_recorded() {
    let mut requester = StateRequester::new(keys(), REQUESTER_NONCE);

    assert_recorded("requester-hello", &std::mem::take(&mut requester.output));

    requester.feed(&recorded("provider-hello"));

    assert_eq!(requester.next_event(), Ok(None));
    assert_recorded("request", &requester.output);
}

#[test]
fn the_frames_of_an_answer_are_written_as_recorded() {
    // Given a sender whose Hello is the recorded one.
    let mut sender = StateSender::new(keys(), PROVIDER_NONCE);
    assert_recorded("provider-hello", &std::mem::take(&mut sender.output));

    // When the sender receives the recorded request, then it accepts the request.
    sender.feed(&recorded("requester-hello"));
    sender.feed(&recorded("request"));
    assert_eq!(sender.receive_request(), Ok(true));

    // When the state is sent, then each frame is the recorded one.
    sender.start_sending(state().export_facts(102 * SECOND), &["127.0.0.1:7001".into(), "[::1]:7002".into()]);
    assert!(sender.send_next_part().is_some());
    assert_recorded("part", &std::mem::take(&mut sender.output));
    assert!(sender.send_next_part().is_some());
    assert_recorded("last", &std::mem::take(&mut sender.output));
    assert!(sender.is_finished());
}

#[test]
fn a_recorded_answer_is_read() {
    let mut requester = StateRequester::new(keys(), REQUESTER_NONCE);

    for name in ["provider-hello", "part", "last"] {
        requester.feed(&recorded(name));
    }

    let Ok(Some(TransferEvent::Part(part))) = requester.next_event() else { panic!("no part") };
    assert_received(&part, 0);
    let named_providers = vec!["127.0.0.1:7001".to_string(), "[::1]:7002".to_string()];
    assert_eq!(requester.next_event(), Ok(Some(TransferEvent::Complete(named_providers))));
    assert!(requester.is_finished());
}

#[test]
fn a_busy_answer_is_written_and_read_as_recorded() {
    // Given a sender that has received a request.
    let mut sender = StateSender::new(keys(), PROVIDER_NONCE);
    sender.output.clear();
    sender.feed(&recorded("requester-hello"));
    sender.feed(&recorded("request"));
    assert_eq!(sender.receive_request(), Ok(true));

    // When the sender rejects it as busy, then the answer is the recorded one.
    sender.send_busy(1_234_567);
    assert_recorded("busy", &sender.output);

    // When a requester reads the answer, then it returns the time to retry after.
    let mut requester = StateRequester::new(keys(), REQUESTER_NONCE);
    requester.feed(&recorded("provider-hello"));
    requester.feed(&recorded("busy"));
    assert_eq!(requester.next_event(), Ok(Some(TransferEvent::Busy(1_234_000))));
}

#[test]
fn a_full_exchange_is_written_and_read_as_recorded() {
    // Given two sides of an exchange.
    let (mut requester, mut provider) = (
        FullExchange::new(Side::Requester, keys(), REQUESTER_NONCE),
        FullExchange::new(Side::Provider, keys(), PROVIDER_NONCE),
    );
    let (request, answer) = (vec![b"first".to_vec(), vec![0, 255]], vec![vec![1, 2, 3]]);

    // Then each side writes the recorded Hello.
    assert_recorded("requester-hello", &std::mem::take(&mut requester.output));
    assert_recorded("provider-hello", &std::mem::take(&mut provider.output));

    // When the requester sends its parts, then the frames are the recorded ones.
    requester.feed(&recorded("provider-hello"));
    assert_eq!(requester.next_event(), Ok(Some(ExchangeEvent::Connected)));
    requester.send_parts(&request);
    assert_recorded("exchange-requester", &std::mem::take(&mut requester.output));

    // When the provider reads these frames and sends its parts, then its frames are the recorded ones.
    provider.feed(&recorded("requester-hello"));
    provider.feed(&recorded("exchange-requester"));
    assert_eq!(provider.next_event(), Ok(Some(ExchangeEvent::Complete(request))));
    provider.send_parts(&answer);
    assert_recorded("exchange-provider", &std::mem::take(&mut provider.output));

    // When the requester reads the provider's frames, then the exchange is complete at both sides.
    requester.feed(&recorded("exchange-provider"));
    assert_eq!(requester.next_event(), Ok(Some(ExchangeEvent::Complete(answer))));
    assert!(requester.is_finished() && provider.is_finished());
}

#[test]
fn datagrams_are_written_and_read_as_recorded() {
    let mut sender = DatagramCodec::new(keys(), 0x1112_1314_1516_1718);
    let mut receiver = DatagramCodec::new(keys(), 1);

    for (name, payload) in [("datagram-1", &b"payload"[..]), ("datagram-2", &[])] {
        assert_recorded(name, &sender.seal(payload).unwrap());
        let opened = OpenedDatagram { sender_incarnation: 0x1112_1314_1516_1718, payload };
        assert_eq!(receiver.open(0, &recorded(name)), Ok(opened), "{name}");
    }
}

#[test]
fn a_snapshot_is_written_and_read_as_recorded() {
    assert_recorded("snapshot", &snapshot::write(&state(), 102 * SECOND, 1_700_000_500_000));

    let part = snapshot::read(&recorded("snapshot"), 1_700_000_503_000).unwrap();

    assert_received(&part, 3 * SECOND);
}

#[test]
fn the_hashes_of_names_are_as_recorded() {
    let hasher = keys().name_hasher(b"purpose");

    assert_recorded("number", &hasher.hash(3, b"name").to_be_bytes());
    assert_eq!(hasher.key_id, 7);
}
