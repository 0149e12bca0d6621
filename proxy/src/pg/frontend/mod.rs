//! A client's connection: is fed what the client sends, hands out the client's commands one at a time, and holds what is to be
//! written.

mod messages;
mod replies;

use super::arrival_times::ArrivalTimes;
use super::codec::{DecodeError, Inbox, Severity};
use super::sqlstate::SqlState;
use super::statement::Statement;
use crate::outbox::Outbox;
use birchreach::Micros;

/// Undecoded input and unwritten output at most, beyond one message. A client that sends or reads too slowly waits.
const MAX_BUFFERED_BYTES: usize = 16 << 10;
/// Commands of one turn, so that a client that sends hundreds at once takes turns with the others.
const MAX_COMMANDS_PER_TURN: u32 = 32;
/// The message that ends a connection.
const TERMINATE_MESSAGE: &[u8] = b"X\0\0\0\x04";

#[derive(Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Ready,
    /// A statement was handed out, and its answer is owed.
    AnswerPending {
        is_write: bool,
    },
    /// After an error in the extended protocol, all is skipped until the next Sync.
    SkippingUntilSync,
    Over,
}

/// Why the protocol ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The client said that it ends.
    Terminate,
    /// The connection was opened for a cancel request.
    CancelRequest,
    /// The client wants another version of the protocol.
    UnsupportedVersion,
    /// A message is too long.
    MessageTooLong,
    /// The client sent what the protocol does not allow.
    Malformed,
}

impl EndReason {
    /// The word for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Terminate => "terminate",
            EndReason::CancelRequest => "cancel-request",
            EndReason::UnsupportedVersion => "version",
            EndReason::MessageTooLong => "too-long",
            EndReason::Malformed => "malformed",
        }
    }
}

/// What the client wants of the program.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientCommand {
    /// Run a statement, whose last byte arrived at this time.
    Run(Statement, Micros),
    /// Close the connection.
    Close(EndReason),
    /// Close the connection once the client has read the error that says why.
    CloseWithError(EndReason),
}

/// How decoding goes on after a message.
enum Progress {
    Continue,
    NeedsInput,
    Command(ClientCommand),
}

/// The state of the protocol on one connection.
pub struct Frontend {
    phase: Phase,
    inbox: Inbox,
    arrivals: ArrivalTimes,
    /// No more input is read: what has been read is answered, and nothing after it.
    reading_stopped: bool,
    /// What waits to be written.
    pub out: Outbox,
    /// Commands that this turn may still take.
    commands_left_in_turn: u32,
    /// Messages after the startup, since the beginning.
    commands_received: u64,
    /// The next message has not arrived in full.
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
    /// Takes bytes that were received.
    pub fn feed(&mut self, now: Micros, bytes: &[u8]) {
        self.arrivals.record(bytes.len(), now);
        self.inbox.feed(bytes);
    }

    /// More input is of use now. Little is read ahead of what is being answered.
    pub fn wants_input(&self) -> bool {
        let completes_message =
            self.accepts_messages() && self.awaiting_rest_of_message && !self.output_is_full();
        self.phase != Phase::Over
            && !self.reading_stopped
            && (self.inbox.len() < MAX_BUFFERED_BYTES || completes_message)
    }

    /// No more input is read from now on.
    pub fn stop_reading(&mut self) {
        self.reading_stopped = true;
    }

    /// Reading has stopped, and all that was read is answered, except for a message that did not arrive in full.
    pub fn all_input_answered(&self) -> bool {
        self.reading_stopped
            && self.accepts_messages()
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
            && matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() > 0
    }

    /// All that is left of the input is the message that ends the connection.
    pub fn only_terminate_left(&self) -> bool {
        self.inbox.unread() == TERMINATE_MESSAGE
    }

    /// A complete message after the startup has arrived, at any time.
    pub fn has_received_command(&self) -> bool {
        self.commands_received > 0
    }

    /// No message after the startup has arrived yet, or one has arrived in part.
    pub fn has_incomplete_message(&self) -> bool {
        let message_begun = self.inbox.len() > 0 && self.awaiting_rest_of_message;
        self.commands_received == 0 || (message_begun && !matches!(self.phase, Phase::AnswerPending { .. }))
    }

    /// The rest of a message took too long to arrive: the client is told so.
    pub fn fail_incomplete_message(&mut self) {
        self.fail(SqlState::PROTOCOL_VIOLATION, "no whole message in time");
    }

    /// Nothing was asked that is not answered in full.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() == 0
            && self.out.pending().is_empty()
    }

    /// The startup message has not arrived in full.
    pub fn is_in_startup(&self) -> bool {
        self.phase == Phase::Startup
    }

    /// The next command in the input. None while an answer is owed.
    pub fn next_command(&mut self, now: Micros) -> Option<ClientCommand> {
        while !self.output_is_full() && self.commands_left_in_turn > 0 {
            let progress = match self.phase {
                Phase::Startup => self.process_startup(now),
                Phase::Ready | Phase::SkippingUntilSync => self.process_message(now),
                Phase::AnswerPending { .. } | Phase::Over => return None,
            };
            match progress {
                Ok(Progress::Command(command)) => return Some(command),
                Ok(Progress::Continue) => {}
                Ok(Progress::NeedsInput) => {
                    self.awaiting_rest_of_message = true;
                    self.inbox.release_empty_buffer();
                    return None;
                }
                Err(error) => return Some(self.fail_decoding(error)),
            }
        }
        None
    }

    fn fail_decoding(&mut self, error: DecodeError) -> ClientCommand {
        let (code, reason) = match error {
            DecodeError::TooLong => (SqlState::LIMIT_EXCEEDED, EndReason::MessageTooLong),
            _ => (SqlState::PROTOCOL_VIOLATION, EndReason::Malformed),
        };
        self.fail(code, &error.to_string());
        ClientCommand::CloseWithError(reason)
    }

    fn fail(&mut self, code: SqlState, message: &str) {
        self.out.error(Severity::Fatal, code, message, None);
        self.phase = Phase::Over;
    }

    /// No answer is owed: messages are taken as they come.
    fn accepts_messages(&self) -> bool {
        matches!(self.phase, Phase::Startup | Phase::Ready | Phase::SkippingUntilSync)
    }

    fn output_is_full(&self) -> bool {
        self.out.pending().len() > MAX_BUFFERED_BYTES
    }

    /// When the last byte arrived that was taken of the input since so many bytes waited.
    fn take_arrival_time(&mut self, bytes_before: usize, now: Micros) -> Micros {
        let taken = bytes_before.saturating_sub(self.inbox.len());
        self.arrivals.consume(taken).unwrap_or(now)
    }
}
