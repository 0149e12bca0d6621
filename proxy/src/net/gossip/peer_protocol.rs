//! What passes on a link: a donor's parts into what is known, and what is known to an asker, within the donor's budget.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream;
use super::super::timer_events::TimerEvent;
use super::state_transfer::StateTransfer;
use birchreach::Micros;
use birchreach_peer_state::donor::Verdict;
use birchreach_peer_state::frame::Nonce;
use birchreach_peer_state::join::End;
use birchreach_peer_state::talk::{Asker, Heard, Teller};
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
    machine: &mut Asker,
    donor: &str,
    asked_at: Micros,
    lessons: &mut StateTransfer,
) -> Next {
    loop {
        match machine.heard() {
            Ok(None) => return Next::Waits,
            Ok(Some(Heard::Part(told))) => {
                // The decisions hear of positions; who is said to be a primary is asked.
                let learnt = lessons.peer_knowledge.borrow_mut().hear(context.now, asked_at, &told);
                for (uid, report) in learnt.reports {
                    context.core.record_remote_position(context.now, &uid, report);
                }
                learnt.ask.iter().for_each(|uid| context.core.check_role(context.now, uid));
            }
            Ok(Some(Heard::Whole(named))) => {
                lessons.joiner.ended(context.now, donor, End::Whole(named));
                return Next::Over("heard");
            }
            Ok(Some(Heard::Busy(wait))) => {
                lessons.joiner.ended(context.now, donor, End::Busy(wait));
                return Next::Over("heard");
            }
            Err(refused) => return Next::Refused(refused.to_string()),
        }
    }
}

/// What an asker is told.
pub(super) fn tell(
    context: &mut EventLoopContext,
    machine: &mut Teller,
    serving: &mut bool,
    lessons: &mut StateTransfer,
    (key, serial): (usize, u64),
) -> Next {
    match machine.asked() {
        Err(refused) => return Next::Refused(refused.to_string()),
        Ok(false) => {}
        Ok(true) => match lessons.donor.asked(context.now) {
            Verdict::Busy(wait) => machine.put_off(wait),
            Verdict::Serve => {
                *serving = true;
                machine.tell(lessons.peer_knowledge.borrow().knowledge.tell(context.now), &lessons.named);
            }
        },
    }
    if machine.telling() && machine.out.is_empty() {
        match lessons.donor.may_send(context.now, PART) {
            Ok(()) => drop(machine.part()),
            Err(at) => context.timers.set(at, TimerEvent::GossipSend(key, serial)),
        }
    }
    Next::Waits
}

pub(super) fn nonce() -> Result<Nonce, &'static str> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(|_| "no-random-numbers")?;
    Ok(nonce)
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
