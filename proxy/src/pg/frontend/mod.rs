//! A client's connection: fed what the client sends, it hands out its commands one at a time and
//! holds what is to be written.

mod commands;
mod replies;

use super::arrivals::ArrivalTimes;
use super::codec::{DecodeError, Inbox};
use super::sqlstate;
use super::statement::Statement;
use crate::outbox::Outbox;
use birchreach::Micros;

/// Unread input and unwritten output at most, beyond one message: a slow or hasty client waits.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

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
const TERMINATE_MESSAGE: &[u8] = b"X\0\0\0\x04";

/// Commands taken in one turn: a client that sends hundreds at once takes turns with the others.
const MAX_COMMANDS_PER_TURN: u32 = 32;

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
    arrivals: ArrivalTimes,
    /// No more input is taken: what has been read is answered, and nothing behind it.
    reading_stopped: bool,
    pub out: Outbox,
    /// Commands that this turn may still take, and those taken since the beginning.
    commands_left_in_turn: u32,
    commands_received: u64,
    /// The message that comes next is not whole yet.
    awaiting_rest_of_message: bool,
}

impl Default for Frontend {
    fn default() -> Self {
        Frontend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            arrivals: ArrivalTimes::default(),
            reading_stopped: false,
            out: Outbox::default(),
            commands_left_in_turn: MAX_COMMANDS_PER_TURN,
            commands_received: 0,
            awaiting_rest_of_message: true,
        }
    }
}

impl Frontend {
    pub fn feed(&mut self, now: Micros, bytes: &[u8]) {
        self.arrivals.record(bytes.len(), now);
        self.inbox.feed(bytes);
    }

    /// More input is of use now. Little is read ahead of what is being answered.
    pub fn wants_input(&self) -> bool {
        let free = matches!(self.phase, Phase::Startup | Phase::Ready | Phase::UntilSync);
        self.phase != Phase::Over
            && !self.reading_stopped
            && (self.inbox.len() < MAX_BUFFERED_BYTES
                || (free && self.awaiting_rest_of_message && !self.output_is_full()))
    }

    /// No more input is read from now on.
    pub fn stop_reading(&mut self) {
        self.reading_stopped = true;
    }

    /// All that was read before the last call is answered, but for a message that is not whole.
    pub fn all_input_answered(&self) -> bool {
        let free = matches!(self.phase, Phase::Startup | Phase::Ready | Phase::UntilSync);
        self.reading_stopped
            && free
            && self.out.pending().is_empty()
            && (self.awaiting_rest_of_message || self.inbox.len() == 0)
    }

    /// A new turn of the loop begins.
    pub fn start_turn(&mut self) {
        self.commands_left_in_turn = MAX_COMMANDS_PER_TURN;
    }

    /// Commands wait for the next turn.
    pub fn commands_deferred(&self) -> bool {
        self.commands_left_in_turn == 0
            && matches!(self.phase, Phase::Ready | Phase::UntilSync)
            && self.inbox.len() > 0
    }

    /// All that is left of its input is the message with which a client takes its leave.
    pub fn only_terminate_left(&self) -> bool {
        self.inbox.unread() == TERMINATE_MESSAGE
    }

    /// A whole command has come, at any time.
    pub fn has_received_command(&self) -> bool {
        self.commands_received > 0
    }

    /// Nothing whole was ever asked, or something is left unfinished.
    pub fn has_incomplete_message(&self) -> bool {
        self.commands_received == 0
            || (self.inbox.len() > 0
                && self.awaiting_rest_of_message
                && !matches!(self.phase, Phase::Busy { .. }))
    }

    /// It took too long over something unfinished, and is told so.
    pub fn fail_incomplete_message(&mut self) {
        self.fail(sqlstate::PROTOCOL_VIOLATION, "no whole message in time");
    }

    fn output_is_full(&self) -> bool {
        self.out.pending().len() > MAX_BUFFERED_BYTES
    }

    /// Nothing was asked that is not answered in full.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::UntilSync)
            && self.inbox.len() == 0
            && self.out.pending().is_empty()
    }

    /// It has yet to say who it is.
    pub fn is_in_startup(&self) -> bool {
        self.phase == Phase::Startup
    }

    /// The next command, as far as the input goes; none while an answer is owed.
    pub fn next_command(&mut self, now: Micros) -> Option<ClientCommand> {
        while !self.output_is_full() && self.commands_left_in_turn > 0 {
            let step = match self.phase {
                Phase::Startup => self.process_startup(now),
                Phase::Ready | Phase::UntilSync => self.process_message(now),
                Phase::Busy { .. } | Phase::Over => return None,
            };
            match step {
                Ok(Progress::Command(wish)) => return Some(wish),
                Ok(Progress::Continue) => {}
                Ok(Progress::NeedsInput) => {
                    self.awaiting_rest_of_message = true;
                    self.inbox.release_empty_buffer();
                    return None;
                }
                Err(DecodeError::TooLong) => {
                    self.fail(sqlstate::LIMIT_EXCEEDED, "the message is too long");
                    return Some(ClientCommand::CloseWithError("too-long"));
                }
                Err(DecodeError::Malformed(what)) => {
                    self.fail(sqlstate::PROTOCOL_VIOLATION, what);
                    return Some(ClientCommand::CloseWithError("malformed"));
                }
            }
        }
        None
    }

    fn fail(&mut self, code: &str, message: &str) {
        self.out.error("FATAL", code, message, None);
        self.phase = Phase::Over;
    }

    /// What has been taken of the input since so much of it waited: when the last byte of that came.
    fn take_arrival_time(&mut self, waited: usize, now: Micros) -> Micros {
        let taken = waited.saturating_sub(self.inbox.len());
        self.arrivals.consume(taken).unwrap_or(now)
    }
}

enum Progress {
    Continue,
    NeedsInput,
    Command(ClientCommand),
}
