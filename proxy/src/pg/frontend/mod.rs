//! A client's connection: fed what the client sends, it hands out its commands one at a time and
//! holds what is to be written.

mod commands;
mod replies;

use super::arrivals::Arrivals;
use super::codec::{Inbox, Malformed};
use super::sqlstate;
use super::statement::Statement;
use crate::outbox::Outbox;
use birchreach::Micros;

/// Unread input and unwritten output at most, beyond one message: a slow or hasty client waits.
const AHEAD: usize = 16 << 10;

#[derive(Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Ready,
    /// An answer is owed.
    Busy {
        write: bool,
    },
    /// After an error in the extended protocol: nothing counts until the next Sync.
    UntilSync,
    Over,
}

/// The message with which a client takes its leave.
const TERMINATE: &[u8] = b"X\0\0\0\x04";

/// Commands taken in one turn: a client that sends hundreds at once takes turns with the others.
const TURN: u32 = 32;

/// What the client wants of the program.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// Run a statement, whose last byte came at this time.
    Run(Statement, Micros),
    /// Close, for this reason.
    Close(&'static str),
    /// Close once the client has been told why.
    CloseWithError(&'static str),
}

pub struct Frontend {
    phase: Phase,
    inbox: Inbox,
    arrivals: Arrivals,
    /// No more input is taken: what has been read is answered, and nothing behind it.
    last_call: bool,
    pub out: Outbox,
    /// Commands that this turn may still take, and those taken since the beginning.
    turn: u32,
    taken: u64,
    /// The message that comes next is not whole yet.
    waits: bool,
}

impl Default for Frontend {
    fn default() -> Self {
        Frontend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            arrivals: Arrivals::default(),
            last_call: false,
            out: Outbox::default(),
            turn: TURN,
            taken: 0,
            waits: true,
        }
    }
}

impl Frontend {
    pub fn feed(&mut self, now: Micros, bytes: &[u8]) {
        self.arrivals.came(bytes.len(), now);
        self.inbox.feed(bytes);
    }

    /// More input is of use now. Little is read ahead of what is being answered.
    pub fn hungry(&self) -> bool {
        let free = matches!(self.phase, Phase::Startup | Phase::Ready | Phase::UntilSync);
        self.phase != Phase::Over
            && !self.last_call
            && (self.inbox.len() < AHEAD || (free && self.waits && !self.clogged()))
    }

    /// No more input is read from now on.
    pub fn last_call(&mut self) {
        self.last_call = true;
    }

    /// All that was read before the last call is answered, but for a message that is not whole.
    pub fn finished(&self) -> bool {
        let free = matches!(self.phase, Phase::Startup | Phase::Ready | Phase::UntilSync);
        self.last_call && free && self.out.pending().is_empty() && (self.waits || self.inbox.len() == 0)
    }

    /// A new turn of the loop begins.
    pub fn turn(&mut self) {
        self.turn = TURN;
    }

    /// Commands wait for the next turn.
    pub fn exhausted(&self) -> bool {
        self.turn == 0 && matches!(self.phase, Phase::Ready | Phase::UntilSync) && self.inbox.len() > 0
    }

    /// All that is left of its input is the message with which a client takes its leave.
    pub fn said_goodbye(&self) -> bool {
        self.inbox.rest() == TERMINATE
    }

    /// A whole command has come, at any time.
    pub fn asked(&self) -> bool {
        self.taken > 0
    }

    /// Nothing whole was ever asked, or something is left unfinished.
    pub fn unfinished(&self) -> bool {
        self.taken == 0 || (self.inbox.len() > 0 && self.waits && !matches!(self.phase, Phase::Busy { .. }))
    }

    /// It took too long over something unfinished, and is told so.
    pub fn time_out(&mut self) {
        self.fatal(sqlstate::PROTOCOL_VIOLATION, "no whole message in time");
    }

    fn clogged(&self) -> bool {
        self.out.pending().len() > AHEAD
    }

    /// Nothing was asked that is not answered in full.
    pub fn idle(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::UntilSync)
            && self.inbox.len() == 0
            && self.out.pending().is_empty()
    }

    /// It has yet to say who it is.
    pub fn starting(&self) -> bool {
        self.phase == Phase::Startup
    }

    /// The next command, as far as the input goes; none while an answer is owed.
    pub fn next(&mut self, now: Micros) -> Option<ClientCommand> {
        while !self.clogged() && self.turn > 0 {
            let step = match self.phase {
                Phase::Startup => self.startup(now),
                Phase::Ready | Phase::UntilSync => self.command(now),
                Phase::Busy { .. } | Phase::Over => return None,
            };
            match step {
                Ok(Step::Command(wish)) => return Some(wish),
                Ok(Step::On) => {}
                Ok(Step::Wait) => {
                    self.waits = true;
                    self.inbox.shrink();
                    return None;
                }
                Err(Malformed::TooLong) => {
                    self.fatal(sqlstate::LIMIT_EXCEEDED, "the message is too long");
                    return Some(ClientCommand::CloseWithError("too-long"));
                }
                Err(Malformed::Bad(what)) => {
                    self.fatal(sqlstate::PROTOCOL_VIOLATION, what);
                    return Some(ClientCommand::CloseWithError("malformed"));
                }
            }
        }
        None
    }

    fn fatal(&mut self, code: &str, message: &str) {
        self.out.error("FATAL", code, message, None);
        self.phase = Phase::Over;
    }

    /// What has been taken of the input since so much of it waited: when the last byte of that came.
    fn arrived(&mut self, waited: usize, now: Micros) -> Micros {
        let taken = waited.saturating_sub(self.inbox.len());
        self.arrivals.take(taken).unwrap_or(now)
    }
}

enum Step {
    On,
    Wait,
    Command(ClientCommand),
}
