//! What passes on a link: a donor's parts into what is known, and what is known to an asker, within the donor's budget.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::super::timer_events::TimerEvent;
use super::state_transfer::StateTransfer;
use birchreach::Micros;
use birchreach_peer_state::provider::Admission;
use birchreach_peer_state::request_scheduler::RequestOutcome;
use birchreach_peer_state::transfer_protocol::{StateRequester, StateSender, TransferEvent};
use mio::net::TcpStream;

/// What is read at once.
const PIECE: usize = 16 << 10;
/// What a part is taken for in the budget before its length is known.
const PART: usize = 16 << 10;

/// How a link went on.
pub(super) enum Next {
    Waits,
    Over(&'static str),
    Refused(String),
}

/// What a donor says.
pub(super) fn listen(
    context: &mut EventLoopContext,
    machine: &mut StateRequester,
    donor: &str,
    asked_at: Micros,
    lessons: &mut StateTransfer,
) -> Next {
    loop {
        match machine.next_event() {
            Ok(None) => return Next::Waits,
            Ok(Some(TransferEvent::Part(told))) => {
                // The decisions hear of positions; who is said to be a primary is asked.
                let learnt = lessons.peer_knowledge.borrow_mut().hear(context.now, asked_at, &told);
                for (uid, report) in learnt.reports {
                    context.core.record_remote_position(context.now, &uid, report);
                }
                learnt.ask.iter().for_each(|uid| context.core.check_role(context.now, uid));
            }
            Ok(Some(TransferEvent::Complete(named))) => {
                lessons.joiner.record_outcome(context.now, donor, RequestOutcome::Complete(named));
                return Next::Over("heard");
            }
            Ok(Some(TransferEvent::Busy(wait))) => {
                lessons.joiner.record_outcome(context.now, donor, RequestOutcome::Busy(wait));
                return Next::Over("heard");
            }
            Err(refused) => return Next::Refused(refused.to_string()),
        }
    }
}

/// What an asker is told.
pub(super) fn tell(
    context: &mut EventLoopContext,
    machine: &mut StateSender,
    serving: &mut bool,
    lessons: &mut StateTransfer,
    (key, serial): (usize, u64),
) -> Next {
    match machine.receive_request() {
        Err(refused) => return Next::Refused(refused.to_string()),
        Ok(false) => {}
        Ok(true) => match lessons.donor.admit(context.now) {
            Admission::Busy(wait) => machine.send_busy(wait),
            Admission::Serve => {
                *serving = true;
                machine.start_sending(
                    lessons.peer_knowledge.borrow().knowledge.export_facts(context.now),
                    &lessons.named,
                );
            }
        },
    }
    if machine.is_sending() && machine.output.is_empty() {
        match lessons.donor.take_send_budget(context.now, PART) {
            Ok(()) => drop(machine.send_next_part()),
            Err(at) => context.timers.set(at, TimerEvent::GossipSend { key, serial }),
        }
    }
    Next::Waits
}

/// Reads what there is, a piece at once.
pub(super) fn take(
    stream: &mut TcpStream,
    context: &mut EventLoopContext,
    mut feed: impl FnMut(&[u8]),
) -> Result<bool, stream::Ended> {
    if stream.peer_addr().is_err() {
        return Ok(true);
    }
    let most = PIECE.min(context.scratch.len());
    stream::read(stream, &mut context.scratch[..most], |bytes| {
        feed(bytes);
        true
    })
}
