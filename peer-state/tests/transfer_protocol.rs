//! A state transfer over frames delivers the complete state, or is rejected.

mod common;

use birchreach_peer_state::frame::FrameError;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};
use birchreach_peer_state::{ObservationSource, PeerState, ServerIncarnation, advice};
use common::{MILLISECOND, SECOND, keys, with_list_of};

const SERVERS: u32 = 1000;

fn long_name(number: u32) -> String {
    format!("server-with-a-long-name-{number}")
}

/// A state with the positions of a thousand servers.
fn state() -> PeerState {
    let mut state = PeerState::new(1);
    for number in 0..SERVERS {
        state.add_listed_server(&long_name(number), ServerIncarnation { started_ms: 0, group: number / 5 });
        let position = 99 * SECOND + i64::from(number);
        let source = ObservationSource::ServerStatus;
        state.record_position(100 * SECOND, &long_name(number), position, SECOND, source);
    }
    state
}

fn connection() -> (StateRequester, StateSender) {
    (StateRequester::new(keys(&[1]), [1; 16]), StateSender::new(keys(&[1]), [2; 16]))
}

/// Removes up to `max` bytes from the front of an output and returns them.
fn take(output: &mut Vec<u8>, max: usize) -> Vec<u8> {
    let length = output.len().min(max);
    output.drain(..length).collect()
}

#[test]
fn a_transfer_sends_all_facts_in_parts_whatever_the_sizes_of_reads() {
    let provider = state();

    for read_bytes in [1, 1000, 1 << 20] {
        let mut receiver = with_list_of(&provider, 2);
        let (mut requester, mut sender) = connection();
        let mut named_providers = None;
        let mut parts = 0;

        for _ in 0..1_000_000 {
            sender.feed(&take(&mut requester.output, read_bytes));
            if sender.receive_request().unwrap() {
                sender.start_sending(provider.export_facts(100 * SECOND), &["127.0.0.1:1".into()]);
            }
            if sender.output.is_empty() {
                parts += usize::from(sender.send_next_part().is_some());
            }
            requester.feed(&take(&mut sender.output, read_bytes));
            while let Some(event) = requester.next_event().unwrap() {
                match event {
                    TransferEvent::Part(part) => receiver.apply_transfer(99 * SECOND, &part),
                    TransferEvent::Complete(providers) => named_providers = Some(providers),
                    TransferEvent::Busy(_) => panic!("the sender did not reject the request"),
                }
            }
            if requester.is_finished() {
                break;
            }
        }

        assert_eq!(named_providers, Some(vec!["127.0.0.1:1".to_string()]));
        assert_eq!((parts, receiver.servers().count()), (9, SERVERS as usize));
        let last = advice::position(&receiver, &long_name(SERVERS - 1)).unwrap();
        assert_eq!(last.value, 99 * SECOND + 999);
    }
}

#[test]
fn a_requester_without_the_key_receives_nothing() {
    // Given a requester with another key.
    let mut unauthorized = StateRequester::new(keys(&[3]), [1; 16]);
    let (_, mut sender) = connection();

    // When it sends Hello, then the sender rejects it, and the requester rejects the sender's Hello.
    sender.feed(&unauthorized.output);
    assert_eq!(sender.receive_request(), Err(FrameError::UnknownKey));
    unauthorized.feed(&sender.output);
    assert_eq!(unauthorized.next_event(), Err(FrameError::UnknownKey));
}

#[test]
fn a_rejected_requester_receives_the_time_to_retry_after() {
    // Given a sender that has received a request.
    let (mut requester, mut sender) = connection();
    sender.feed(&std::mem::take(&mut requester.output));
    assert_eq!(sender.receive_request(), Ok(false));
    requester.feed(&std::mem::take(&mut sender.output));
    assert_eq!(requester.next_event(), Ok(None));
    sender.feed(&std::mem::take(&mut requester.output));
    assert_eq!(sender.receive_request(), Ok(true));

    // When the sender rejects it as busy.
    sender.send_busy(1500 * MILLISECOND);
    requester.feed(&std::mem::take(&mut sender.output));

    // Then the requester receives the time to retry after, and both sides have finished.
    assert_eq!(requester.next_event(), Ok(Some(TransferEvent::Busy(1500 * MILLISECOND))));
    assert!(requester.is_finished() && sender.is_finished());
}
