//! Protocol state machine of a client connection. It takes the bytes that the client sends, returns the client's commands one at
//! a time, and buffers the output.

mod command;
mod messages;
mod replies;

use super::arrival_times::ArrivalTimes;
use super::codec::{DecodeError, Inbox, Severity};
use super::sqlstate::SqlState;
use crate::outbox::Outbox;
use birchreach::Micros;
pub(crate) use command::{ClientCommand, EndReason};

/// The limit on undecoded input and on unwritten output, each in excess of one message, unless memory is short. Above the limit,
/// no further input of the client is processed.
const MAX_BUFFERED_BYTES: usize = 16 << 10;
/// The most commands of a client per turn of the event loop, so that one that pipelines hundreds does not starve other clients.
const MAX_COMMANDS_PER_TURN: u32 = 32;
/// An encoded Terminate message.
const TERMINATE_MESSAGE: &[u8] = b"X\0\0\0\x04";

/// The phase of the connection, which determines how the next message is handled.
#[derive(Debug, PartialEq, Eq)]
enum Phase {
    /// No startup message has been accepted yet. The client may request encryption first, which is refused.
    Startup,
    /// The next message is processed as a command.
    Ready,
    /// A statement was returned as a command and has no answer yet. Messages wait in the inbox.
    AnswerPending { is_write: bool },
    /// An error occurred in the extended query protocol. Messages before the next Sync are skipped.
    SkippingUntilSync,
    /// The connection is about to be closed. No further message is processed.
    Closed,
}

/// How decoding continues after a message.
enum DecodeProgress {
    /// Decode the next message.
    Continue,
    /// Wait until more input arrives.
    NeedsInput,
    /// Return this command to the caller.
    Command(ClientCommand),
}

/// The state of the protocol on one connection.
pub(crate) struct Frontend {
    phase: Phase,
    inbox: Inbox,
    arrivals: ArrivalTimes,
    /// If set, no more input is read. Commands that have already been read are still answered.
    reading_stopped: bool,
    /// Output that waits to be written.
    pub outbox: Outbox,
    /// The present limit on undecoded input and on unwritten output, each in excess of one message, in bytes.
    max_buffered_bytes: usize,
    /// The number of further commands that may be processed in this turn.
    remaining_commands_in_turn: u32,
    /// The number of complete messages since the startup message.
    commands_received: u64,
    /// The next message has not arrived in full.
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
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            remaining_commands_in_turn: MAX_COMMANDS_PER_TURN,
            commands_received: 0,
            message_incomplete: true,
        }
    }
}

impl Frontend {
    /// Appends received bytes to the input.
    pub(crate) fn feed(&mut self, now: Micros, bytes: &[u8]) {
        self.arrivals.record(bytes.len(), now);
        self.inbox.feed(bytes);
    }

    /// Returns the number of bytes that are held for the input.
    pub(crate) fn input_bytes(&self) -> usize {
        self.inbox.held_bytes()
    }

    /// Returns the number of received bytes that are not decoded yet.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.inbox.len()
    }

    /// Returns how many bytes of the next message have not arrived; zero if no message is awaited or its length is not known.
    pub(crate) fn missing_message_bytes(&self) -> usize {
        match self.phase {
            Phase::Startup => self.inbox.missing_startup_bytes(),
            Phase::Ready | Phase::SkippingUntilSync => self.inbox.missing_message_bytes(),
            Phase::AnswerPending { .. } | Phase::Closed => 0,
        }
    }

    /// Sets whether memory is short. Then no input is read ahead, and a command is processed only when all output is written.
    pub(crate) fn set_memory_short(&mut self, is_short: bool) {
        self.max_buffered_bytes = if is_short { 0 } else { MAX_BUFFERED_BYTES };
    }

    /// Whether input should be read now. Input behind a pending command is read only up to the limit.
    pub(crate) fn wants_input(&self) -> bool {
        let completes_message = self.accepts_messages() && self.message_incomplete && !self.output_is_full();
        self.phase != Phase::Closed
            && !self.reading_stopped
            && (self.inbox.len() < self.max_buffered_bytes || completes_message)
    }

    /// Stops reading input. Commands that have already been read are still answered.
    pub(crate) fn stop_reading(&mut self) {
        self.reading_stopped = true;
    }

    /// Whether reading has stopped and all complete messages are answered. An incomplete message does not count.
    pub(crate) fn all_input_answered(&self) -> bool {
        self.reading_stopped
            && self.accepts_messages()
            && self.outbox.pending().is_empty()
            && (self.message_incomplete || self.inbox.len() == 0)
    }

    /// Starts a new turn of the event loop, with a new limit on the number of commands.
    pub(crate) fn start_turn(&mut self) {
        self.remaining_commands_in_turn = MAX_COMMANDS_PER_TURN;
    }

    /// Whether input remains that is processed only in the next turn.
    pub(crate) fn commands_deferred(&self) -> bool {
        self.remaining_commands_in_turn == 0
            && matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() > 0
    }

    /// Whether the remaining input is exactly one Terminate message.
    pub(crate) fn only_terminate_unprocessed(&self) -> bool {
        self.inbox.unread() == TERMINATE_MESSAGE
    }

    /// Whether a complete message has ever arrived after the startup message.
    pub(crate) fn has_received_command(&self) -> bool {
        self.commands_received > 0
    }

    /// Whether the next message is incomplete, or no message has arrived yet after the startup message.
    pub(crate) fn has_incomplete_message(&self) -> bool {
        let has_partial_message = self.inbox.len() > 0 && self.message_incomplete;
        self.commands_received == 0
            || (has_partial_message && !matches!(self.phase, Phase::AnswerPending { .. }))
    }

    /// Ends the connection with an error because the rest of a message did not arrive in time.
    pub(crate) fn fail_incomplete_message(&mut self) {
        self.fail(SqlState::PROTOCOL_VIOLATION, "no whole message in time");
    }

    /// Ends the connection with an error because there is no memory for the rest of a message. The request has not run.
    pub(crate) fn reject_incomplete_message(&mut self) {
        self.fail(SqlState::TOO_MANY_CONNECTIONS, "no memory for this request now; a repeat is harmless");
    }

    /// Whether all commands are answered and all output is written.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::SkippingUntilSync)
            && self.inbox.len() == 0
            && self.outbox.pending().is_empty()
    }

    /// Whether no startup message has been accepted yet.
    pub(crate) fn is_in_startup(&self) -> bool {
        self.phase == Phase::Startup
    }

    /// Decodes the next command. `None`: the input has none, an answer is pending, or a limit on commands or output is reached.
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

    /// Ends the connection with an error after input that cannot be decoded.
    fn fail_decoding(&mut self, error: DecodeError) -> ClientCommand {
        let (code, reason) = match error {
            DecodeError::TooLong => (SqlState::LIMIT_EXCEEDED, EndReason::MessageTooLong),
            _ => (SqlState::PROTOCOL_VIOLATION, EndReason::Malformed),
        };
        self.fail(code, &error.to_string());
        ClientCommand::CloseWithError(reason)
    }

    /// Writes a fatal error message and ends the connection.
    fn fail(&mut self, code: SqlState, message: &str) {
        self.outbox.error(Severity::Fatal, code, message, None);
        self.phase = Phase::Closed;
        self.inbox = Inbox::default();
        self.arrivals = ArrivalTimes::default();
    }

    /// Whether the next message may be processed: no answer is pending and the connection is not ended.
    fn accepts_messages(&self) -> bool {
        matches!(self.phase, Phase::Startup | Phase::Ready | Phase::SkippingUntilSync)
    }

    /// Whether the client must read output before further commands are processed.
    fn output_is_full(&self) -> bool {
        self.outbox.pending().len() > self.max_buffered_bytes
    }

    /// Returns the arrival time of the last byte that was decoded since the input held `bytes_before` undecoded bytes.
    fn take_arrival_time(&mut self, bytes_before: usize, now: Micros) -> Micros {
        let decoded_bytes = bytes_before.saturating_sub(self.inbox.len());
        self.arrivals.consume(decoded_bytes).unwrap_or(now)
    }
}
