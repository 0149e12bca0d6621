//! Bytes that proxies send each other and that rest in a file, recorded from the release before: they are read as they were, and
//! the same are written again. `recorded/bytes.txt` holds them, a name and its bytes in hexadecimal on each line.

use birchreach_peer_state::datagram::DatagramCodec;
use birchreach_peer_state::frame::{Keys, Side};
use birchreach_peer_state::full_exchange::{ExchangeEvent, FullExchange};
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};
use birchreach_peer_state::{
    Micros, ObservationSource, PeerState, Role, ServerIncarnation, TransferPart, snapshot,
};

const SECOND: Micros = 1_000_000;
const ASKER_NONCE: [u8; 16] = [1; 16];
const DONOR_NONCE: [u8; 16] = [2; 16];

fn keys() -> Keys {
    Keys::new(vec![(7, b"a secret of the recorded bytes".to_vec()), (9, vec![5; 16])]).unwrap()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn recorded(name: &str) -> Vec<u8> {
    let lines = include_str!("recorded/bytes.txt").lines();
    let line = lines.filter_map(|line| line.split_once(' ')).find(|(other, _)| *other == name);
    let digits = line.unwrap_or_else(|| panic!("{name} is not recorded")).1;
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

/// What was written now is what was recorded.
fn assert_recorded(name: &str, written: &[u8]) {
    assert_eq!(hex(written), hex(&recorded(name)), "{name}");
}

/// Every kind of fact and every source.
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

/// The facts of [`state`] as another proxy holds them, given `age` since they were told.
fn assert_received(told: &TransferPart, age: Micros) {
    let mut receiver = PeerState::new(2);
    state().listed_servers().for_each(|(uid, listed)| receiver.add_listed_server(uid, listed.clone()));
    receiver.apply_transfer(200 * SECOND, told);
    let primary = receiver.facts("primary-1").unwrap();
    let seen = primary.primary.unwrap();
    assert_eq!(
        (seen.age(200 * SECOND), seen.hop_count, seen.source),
        (2 * SECOND + age, 1, ObservationSource::ServedWrite)
    );
    assert_eq!(seen.observer, 0x0102_0304_0506_0708);
    assert_eq!(
        primary.position.map(|s| (s.value, s.source)),
        Some((99 * SECOND, ObservationSource::LoadReport))
    );
    assert_eq!(primary.suspect.map(|s| s.value), Some(false));
    let replica = receiver.facts("replica-1").unwrap();
    assert_eq!(
        (replica.position.map(|s| s.value), replica.lag.map(|s| s.value)),
        (Some(-3), Some(7_000_001))
    );
    assert_eq!(
        replica.replica.map(|s| (s.age(200 * SECOND), s.source)),
        Some((12 * SECOND + age, ObservationSource::EndpointList))
    );
    assert_eq!(replica.suspect.map(|s| s.value), Some(true));
    assert_eq!(
        (replica.latency.map(|s| s.value), replica.slow_start_permille.map(|s| s.value)),
        (Some(12_345), Some(250))
    );
    assert_eq!(receiver.facts("unknown"), None);
}

#[test]
fn the_requests_frames_are_written_as_recorded() {
    let mut asker = StateRequester::new(keys(), ASKER_NONCE);
    assert_recorded("asker-hello", &std::mem::take(&mut asker.output));
    asker.feed(&recorded("donor-hello"));
    assert_eq!(asker.next_event(), Ok(None));
    assert_recorded("ask", &asker.output);
}

#[test]
fn the_answers_frames_are_written_as_recorded() {
    let mut teller = StateSender::new(keys(), DONOR_NONCE);
    assert_recorded("donor-hello", &std::mem::take(&mut teller.output));
    teller.feed(&recorded("asker-hello"));
    teller.feed(&recorded("ask"));
    assert_eq!(teller.receive_request(), Ok(true));
    teller.start_sending(state().export_facts(102 * SECOND), &["127.0.0.1:7001".into(), "[::1]:7002".into()]);
    assert!(teller.send_next_part().is_some());
    assert_recorded("part", &std::mem::take(&mut teller.output));
    assert!(teller.send_next_part().is_some());
    assert_recorded("last", &std::mem::take(&mut teller.output));
    assert!(teller.is_finished());
}

#[test]
fn a_recorded_answer_is_read() {
    let mut asker = StateRequester::new(keys(), ASKER_NONCE);
    for name in ["donor-hello", "part", "last"] {
        asker.feed(&recorded(name));
    }
    let Ok(Some(TransferEvent::Part(told))) = asker.next_event() else { panic!("no part") };
    assert_received(&told, 0);
    let named = vec!["127.0.0.1:7001".to_string(), "[::1]:7002".to_string()];
    assert_eq!(asker.next_event(), Ok(Some(TransferEvent::Complete(named))));
    assert!(asker.is_finished());
}

#[test]
fn a_busy_answer_is_written_and_read_as_recorded() {
    let mut teller = StateSender::new(keys(), DONOR_NONCE);
    teller.output.clear();
    teller.feed(&recorded("asker-hello"));
    teller.feed(&recorded("ask"));
    assert_eq!(teller.receive_request(), Ok(true));
    teller.send_busy(1_234_567);
    assert_recorded("busy", &teller.output);
    let mut asker = StateRequester::new(keys(), ASKER_NONCE);
    asker.feed(&recorded("donor-hello"));
    asker.feed(&recorded("busy"));
    assert_eq!(asker.next_event(), Ok(Some(TransferEvent::Busy(1_234_000))));
}

#[test]
fn a_full_exchange_is_written_and_read_as_recorded() {
    let (mut asker, mut donor) = (
        FullExchange::new(Side::Requester, keys(), ASKER_NONCE),
        FullExchange::new(Side::Provider, keys(), DONOR_NONCE),
    );
    let (asked, answered) = (vec![b"first".to_vec(), vec![0, 255]], vec![vec![1, 2, 3]]);
    assert_recorded("asker-hello", &std::mem::take(&mut asker.output));
    assert_recorded("donor-hello", &std::mem::take(&mut donor.output));
    asker.feed(&recorded("donor-hello"));
    assert_eq!(asker.next_event(), Ok(Some(ExchangeEvent::Connected)));
    asker.send_parts(&asked);
    assert_recorded("exchange-asker", &std::mem::take(&mut asker.output));
    donor.feed(&recorded("asker-hello"));
    donor.feed(&recorded("exchange-asker"));
    assert_eq!(donor.next_event(), Ok(Some(ExchangeEvent::Complete(asked))));
    donor.send_parts(&answered);
    assert_recorded("exchange-donor", &std::mem::take(&mut donor.output));
    asker.feed(&recorded("exchange-donor"));
    assert_eq!(asker.next_event(), Ok(Some(ExchangeEvent::Complete(answered))));
    assert!(asker.is_finished() && donor.is_finished());
}

#[test]
fn datagrams_are_written_and_read_as_recorded() {
    let mut sender = DatagramCodec::new(keys(), 0x1112_1314_1516_1718);
    let mut receiver = DatagramCodec::new(keys(), 1);
    for (name, payload) in [("datagram-1", &b"payload"[..]), ("datagram-2", &[])] {
        assert_recorded(name, &sender.seal(payload).unwrap());
        assert_eq!(receiver.open(0, &recorded(name)), Ok((0x1112_1314_1516_1718, payload)), "{name}");
    }
}

#[test]
fn a_snapshot_is_written_and_read_as_recorded() {
    assert_recorded("snapshot", &snapshot::write(&state(), 102 * SECOND, 1_700_000_500_000));
    let told = snapshot::read(&recorded("snapshot"), 1_700_000_503_000).unwrap();
    assert_received(&told, 3 * SECOND);
}

#[test]
fn the_numbers_of_names_are_as_recorded() {
    let hasher = keys().name_hasher(b"purpose");
    assert_recorded("number", &hasher.hash(3, b"name").to_be_bytes());
    assert_eq!(hasher.key_id, 7);
}
