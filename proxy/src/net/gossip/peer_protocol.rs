//! The steps of a state transfer. A requester merges the parts that a provider sends into its own state. A provider sends its
//! state in parts, within its send budget.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::{LinkKey, LinkSerial};
use super::super::timer_events::TimerEvent;
use super::close_reason::{LinkCloseReason, LinkProgress};
use super::state_transfer::StateTransfer;
use birchreach::Micros;
use birchreach_peer_state::provider::Admission;
use birchreach_peer_state::request_scheduler::RequestOutcome;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};

/// The number of bytes taken from the send budget for each part, whose length is not known in advance.
const PART_BUDGET_BYTES: usize = 16 << 10;

/// Identifies a link by the key of its slot and by a serial, which distinguishes it from earlier links in that slot.
#[derive(Clone, Copy)]
pub(super) struct LinkId {
    pub(super) key: LinkKey,
    pub(super) serial: LinkSerial,
}

/// Merges the parts that a provider has sent, and records the outcome of the request when the answer is complete.
pub(super) fn receive_state(
    context: &mut EventLoopContext,
    requester: &mut StateRequester,
    provider: &str,
    requested_at: Micros,
    transfer: &mut StateTransfer,
) -> LinkProgress {
    loop {
        let outcome = match requester.next_event() {
            Ok(None) => return LinkProgress::Continue,
            Ok(Some(TransferEvent::Part(part))) => {
                let hints = transfer.peer_state.borrow_mut().apply_transfer(context.now, requested_at, &part);
                for position in hints.positions {
                    context.core.record_remote_position(context.now, &position.uid, position.report);
                }
                hints.primary_candidates.iter().for_each(|uid| context.core.check_role(context.now, uid));
                continue;
            }
            Ok(Some(TransferEvent::Complete(providers))) => RequestOutcome::Complete(providers),
            Ok(Some(TransferEvent::Busy(retry_after))) => RequestOutcome::Busy(retry_after),
            Err(error) => return LinkProgress::Close(LinkCloseReason::Frame(error)),
        };
        transfer.requests.record_outcome(context.now, provider, outcome);
        return LinkProgress::Close(LinkCloseReason::Received);
    }
}

/// Admits or rejects a request once it has arrived, and appends the next part of the answer to the output if the send budget
/// allows it. Otherwise sets a timer for the time at which the budget does.
pub(super) fn answer_request(
    context: &mut EventLoopContext,
    sender: &mut StateSender,
    admitted: &mut bool,
    transfer: &mut StateTransfer,
    link: LinkId,
) -> LinkProgress {
    match sender.receive_request() {
        Err(error) => return LinkProgress::Close(LinkCloseReason::Frame(error)),
        Ok(false) => {}
        Ok(true) => match transfer.provider.admit(context.now) {
            Admission::Busy(retry_after) => sender.send_busy(retry_after),
            Admission::Serve => {
                *admitted = true;
                let state = transfer.peer_state.borrow();
                sender.start_sending(state.state.export_facts(context.now), &transfer.named_providers);
            }
        },
    }
    if sender.is_sending() && sender.output.is_empty() {
        match transfer.provider.take_send_budget(context.now, PART_BUDGET_BYTES) {
            Ok(()) => drop(sender.send_next_part()),
            Err(at) => context.timers.set(at, TimerEvent::GossipSend(link.key, link.serial)),
        }
    }
    LinkProgress::Continue
}
