//! The protocol on a client's connection. It is fed the bytes that the client sends, returns the client's commands one at a time,
//! and holds the output.

mod messages;
mod replies;

use super::arrival_times::ArrivalTimes;
use super::codec::{DecodeError, Inbox, Severity};
use super::sqlstate::SqlState;
use super::statement::Statement;
use crate::outbox::Outbox;
use birchreach::Micros;

/// The limit on undecoded input and on unwritten output, beyond one message. Above it no more of the client's input is processed.
const MAX_BUFFERED_BYTES: usize = 16 << 10;
/// The most commands in one turn, so that a client that sends hundreds at once does not starve the others.
const MAX_COMMANDS_PER_TURN: u32 = 32;
/// The message that ends a connection.
const TERMINATE_MESSAGE: &[u8] = b"X\0\0\0\x04";

/// What the connection waits for.
#[derive(Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    /// The next command.
    Ready,
    /// The answer to a statement that was returned as a command.
    AnswerPending {
        is_write: bool,
    },
    /// The next Sync, after an error in the extended protocol: messages before it are skipped.
    SkippingUntilSync,
    /// Nothing: the connection is to be closed.
    Closed,
}

/// Why the protocol ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The client sent Terminate.
    Terminate,
    /// The connection was opened for a cancel request.
    CancelRequest,
    /// The client requests another version of the protocol.
    UnsupportedVersion,
    /// A message is too long.
    MessageTooLong,
    /// The client violated the protocol.
    Malformed,
}

impl EndReason {
    /// The word for the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            EndReason::Terminate => "terminate",
            EndReason::CancelRequest => "cancel-request",
            EndReason::UnsupportedVersion => "version",
            EndReason::MessageTooLong => "too-long",
            EndReason::Malformed => "malformed",
        }
    }
}

/// A command of a client.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientCommand {
    /// Run a statement, whose last byte arrived at this time.
    Run(Statement, Micros),
    /// Close the connection.
    Close(EndReason),
    /// Close the connection once the client has read the error that says why.
    CloseWithError(EndReason),
}

/// How decoding continues after a message.
enum DecodeProgress {
    /// With the next message.
    Continue,
    /// Once more input has arrived.
    NeedsInput,
    /// After this command has been carried out.
    Command(ClientCommand),
}

/// The state of the protocol on one connection.
pub(crate) struct Frontend {
    phase: Phase,
    inbox: Inbox,
    arrivals: ArrivalTimes,
    /// No more input is read: only what has been read is answered.
    reading_stopped: bool,
    /// Output that waits to be written.
    pub outbox: Outbox,
    /// How many more commands this turn may process.
    remaining_commands_in_turn: u32,
    /// How many messages have arrived after the startup.
    commands_received: u64,
    /// The next message has not arrived completely.
    message_incomplete: bool,
}

impl Default for Frontend {
    fn default() -> Self {
        Frontend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            arrivals: ArrivalTimes::default(),
            reading_stopped: false,
            outbox: Outbox::default(),
            remaining_commands_in_turn: MAX_COMMANDS_PER_TURN,
            commands_received: 0,
            message_incomplete: true,
        }
    }
}

impl Frontend {
    /// Takes bytes that were received.
    pub(crate) fn feed(&mut self, now: Micros, bytes: &[u8]) {
        self.arrivals.record(bytes.len(), now);
        self.inbox.feed(bytes);
    }

    /// Whether input should be read now. Only a little is read ahead of the command that is being answered.
    pub(crate) fn wants_input(&self) -> bool {
        let completes_message = self.accepts_messages() && self.message_incomplete && !self.output_is_full();
        self.phase != Phase::Closed
            && !self.reading_stopped
            && (self.inbox.len() < MAX_BUFFERED_BYTES || completes_message)
    }

    /// No more input is read from now on.
    pub(crate) fn stop_reading(&mut self) {
        self.reading_stopped = true;
    }

    /// Reading has stopped, and all that was read is answered, except for an incomplete message.
    pub(crate) fn all_input_answered(&self) -> bool {
        self.reading_stopped
            && self.accepts_messages()
            && self.outbox.pending().is_empty()
            && (self.message_incomplete || self.inbox.len() == 0)
    }

    /// A new turn of the loop begins.
    pub(crate) fn start_turn(&mut self) {
        self.remaining_commands_in_turn = MAX_COMMANDS_PER_TURN;
    }

    /// Commands wait for the next turn.
    pub(crate) fn commands_deferred(&self) -> bool {
        self.remaining_commands_in_turn == 0
            && matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() > 0
    }

    /// The only input that is left is the message that ends the connection.
    pub(crate) fn only_terminate_unprocessed(&self) -> bool {
        self.inbox.unread() == TERMINATE_MESSAGE
    }

    /// A complete message after the startup has arrived, at any time.
    pub(crate) fn has_received_command(&self) -> bool {
        self.commands_received > 0
    }

    /// No message after the startup has arrived yet, or one is incomplete.
    pub(crate) fn has_incomplete_message(&self) -> bool {
        let has_partial_message = self.inbox.len() > 0 && self.message_incomplete;
        self.commands_received == 0
            || (has_partial_message && !matches!(self.phase, Phase::AnswerPending { .. }))
    }

    /// The rest of a message did not arrive in time: sends the error.
    pub(crate) fn fail_incomplete_message(&mut self) {
        self.fail(SqlState::PROTOCOL_VIOLATION, "no whole message in time");
    }

    /// Every command is answered completely.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() == 0
            && self.outbox.pending().is_empty()
    }

    /// The startup is not complete.
    pub(crate) fn is_in_startup(&self) -> bool {
        self.phase == Phase::Startup
    }

    /// The next command in the input. None while an answer is pending.
    pub(crate) fn next_command(&mut self, now: Micros) -> Option<ClientCommand> {
        while !self.output_is_full() && self.remaining_commands_in_turn > 0 {
            let progress = match self.phase {
                Phase::Startup => self.process_startup(now),
                Phase::Ready | Phase::SkippingUntilSync => self.process_message(now),
                Phase::AnswerPending { .. } | Phase::Closed => return None,
            };
            match progress {
                Ok(DecodeProgress::Command(command)) => return Some(command),
                Ok(DecodeProgress::Continue) => {}
                Ok(DecodeProgress::NeedsInput) => {
                    self.message_incomplete = true;
                    self.inbox.release_empty_buffer();
                    return None;
                }
                Err(error) => return Some(self.fail_decoding(error)),
            }
        }
        None
    }

    /// Ends the connection after input that cannot be decoded.
    fn fail_decoding(&mut self, error: DecodeError) -> ClientCommand {
        let (code, reason) = match error {
            DecodeError::TooLong => (SqlState::LIMIT_EXCEEDED, EndReason::MessageTooLong),
            _ => (SqlState::PROTOCOL_VIOLATION, EndReason::Malformed),
        };
        self.fail(code, &error.to_string());
        ClientCommand::CloseWithError(reason)
    }

    /// Sends an error that ends the connection.
    fn fail(&mut self, code: SqlState, message: &str) {
        self.outbox.error(Severity::Fatal, code, message, None);
        self.phase = Phase::Closed;
    }

    /// Whether messages are processed: no answer is pending.
    fn accepts_messages(&self) -> bool {
        matches!(self.phase, Phase::Startup | Phase::Ready | Phase::SkippingUntilSync)
    }

    /// Whether the client must read output before more commands are processed.
    fn output_is_full(&self) -> bool {
        self.outbox.pending().len() > MAX_BUFFERED_BYTES
    }

    /// When the last of the bytes arrived that were decoded since `bytes_before` were waiting.
    fn take_arrival_time(&mut self, bytes_before: usize, now: Micros) -> Micros {
        let taken = bytes_before.saturating_sub(self.inbox.len());
        self.arrivals.consume(taken).unwrap_or(now)
    }
}
