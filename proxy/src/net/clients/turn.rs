//! Serves one turn of a client: reads and decodes its input, starts requests for its statements or answers them with an error,
//! and writes its output.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, StreamEnd};
use super::Clients;
use super::client::{Client, CloseMode};
use super::close_reason::ClientCloseReason;
use super::statement_admission::StatementAdmission;
use crate::core::ClientKey;
use crate::pg::frontend::ClientCommand;
use crate::pg::statement::Statement;
use birchreach::Micros;

/// The most bytes read from one client before its input is decoded.
pub(super) const MAX_READ_BYTES: usize = 64 << 10;
/// The most rounds of reading, decoding and writing in one turn.
const MAX_ROUNDS_PER_TURN: usize = 4;
/// The result of reading a client's socket once.
struct InputRead {
    bytes: usize,
    /// All input that had arrived was read. If false, the poll does not report the socket as readable again.
    all_read: bool,
}

/// The result for a socket that is not read in this round.
const NO_INPUT_READ: InputRead = InputRead { bytes: 0, all_read: true };

/// The result of one round of a turn.
pub(super) enum RoundResult {
    /// Another round may make progress.
    Continue,
    /// No work is left in this turn.
    Done,
    Close(ClientCloseReason),
}

impl Clients {
    /// Serves the client for one turn, and closes the connection if it has ended or is to be closed.
    pub(super) fn process_client(&mut self, context: &mut EventLoopContext, key: ClientKey) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        if client.awaits_delivery() {
            if let Some(reason) = client.check_delivery(context.now) {
                self.close(context, key, reason);
            }
            return;
        }
        let close_reason = client.process_turn(context, &mut self.admission, key);
        let made_first_request = client.awaits_first_request && client.open_request.is_some();
        client.awaits_first_request &= !made_first_request;
        self.attempts_to_resume.extend(client.take_attempt_to_resume());
        let has_request = client.open_request.is_some();
        if let Some(reason) = close_reason {
            self.close(context, key, reason);
        } else if self.shutting_down && !has_request && client.protocol.all_input_answered() {
            self.close_after_delivery(context, key, ClientCloseReason::Stopping);
        } else if client.close_when_idle && !has_request && client.protocol.is_idle() {
            self.close_after_delivery(context, key, ClientCloseReason::HandedOver);
        } else {
            self.queue(key);
        }
        if made_first_request {
            self.clients_without_request -= 1;
            if self.max_uncounted_clients > 0 {
                self.shed_if_over_limit(context, Some(key));
            }
        }
    }
}

impl Clients {
    /// Queues a client that has to be served again without an event. A client that is queued already is not queued a second time:
    /// it would be served more often than others.
    fn queue(&mut self, key: ClientKey) {
        let Some(client) = self.connections.get_mut(key.0) else { return };
        let has_work = client.commands_held || client.turn_incomplete;
        if !has_work {
            return self.queue_for_memory(key);
        }
        if !std::mem::replace(&mut client.is_queued, true) {
            let queue =
                if client.commands_held { &mut self.held_until_poll } else { &mut self.turn_incomplete };
            queue.push(key);
        }
    }
}

impl Client {
    /// Reads, processes and writes within the limits of a turn. Returns the reason if the connection is to be closed.
    fn process_turn(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
    ) -> Option<ClientCloseReason> {
        self.turn_incomplete = false;
        self.protocol.set_memory_short(context.memory.is_under_pressure());
        let close_reason = if self.is_draining() {
            self.drain_input(context)
        } else {
            self.process_input(context, admission, key)
        };
        let is_incomplete = self.open_request.is_none() && self.protocol.has_incomplete_message();
        self.incomplete_since = is_incomplete.then(|| self.incomplete_since.unwrap_or(context.now));
        self.update_input_memory(context);
        close_reason
    }

    /// Serves a client that is not draining, in several rounds. Returns the reason if the connection is to be closed.
    fn process_input(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
    ) -> Option<ClientCloseReason> {
        // The rounds are bounded, so that a client that sends continuously does not starve the others.
        for _ in 0..MAX_ROUNDS_PER_TURN {
            match self.process_round(context, admission, key) {
                RoundResult::Continue => {}
                RoundResult::Done => return None,
                RoundResult::Close(reason) => return Some(reason),
            }
        }
        self.turn_incomplete = true;
        None
    }

    /// Serves one round: reads once, runs the complete commands and writes the output.
    fn process_round(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
    ) -> RoundResult {
        let read_limit = self.read_limit(&mut context.memory);
        let can_read = read_limit > 0;
        if self.peer_closed {
            return RoundResult::Close(self.read_last_input(context, read_limit));
        }
        let read = if can_read { self.read_input(context, read_limit) } else { Ok(NO_INPUT_READ) };
        let read = match read {
            Ok(read) => read,
            // The client has disconnected: its remaining commands are not started.
            Err(end) => return RoundResult::Close(self.close_reason_for(end)),
        };
        self.run_commands(context, admission, key);
        match self.write_output(context, read.bytes > 0) {
            Err(_) => return RoundResult::Close(ClientCloseReason::ClientReset),
            Ok(false) => return RoundResult::Done,
            Ok(true) => {}
        }
        if let Some(closing) = self.closing {
            return self.finish_closing(context, closing);
        }
        // Runs the commands that were deferred while the output was full. Input that was not read completely must be read now,
        // because the poll does not report the socket as readable again.
        self.run_commands(context, admission, key);
        let more_may_have_arrived = !can_read || !read.all_read;
        let has_unread_input = more_may_have_arrived && self.read_limit(&mut context.memory) > 0;
        let has_output = self.closing.is_some() || !self.protocol.outbox.pending().is_empty();
        if has_unread_input || has_output {
            return RoundResult::Continue;
        }
        self.turn_incomplete = self.protocol.commands_deferred();
        RoundResult::Done
    }

    /// Reads input of a client that has gone, to tell a proper end from others. Commands behind each other are not started: their
    /// client cannot get an answer. Returns the reason for the close.
    fn read_last_input(&mut self, context: &mut EventLoopContext, limit: usize) -> ClientCloseReason {
        let read = if limit > 0 { self.read_input(context, limit) } else { Ok(NO_INPUT_READ) };
        match read {
            Err(end) => self.close_reason_for(end),
            Ok(_) => self.close_reason_or(ClientCloseReason::ClientClosed),
        }
    }

    /// Reads from the socket into the protocol's buffer until `limit` bytes are reached or no more input is wanted.
    fn read_input(&mut self, context: &mut EventLoopContext, limit: usize) -> Result<InputRead, StreamEnd> {
        let mut bytes = 0;
        let protocol = &mut self.protocol;
        let now = context.now;
        let all_read = stream::read(&mut self.stream, &mut context.scratch[..limit], |received| {
            bytes += received.len();
            protocol.feed(now, received);
            protocol.wants_input() && bytes < limit
        })?;
        self.input_memory.release(&mut context.memory, bytes);
        Ok(InputRead { bytes, all_read })
    }

    /// Writes the output and updates the time of the client's last activity. Returns whether all output is written.
    fn write_output(&mut self, context: &EventLoopContext, input_received: bool) -> Result<bool, StreamEnd> {
        let bytes_before = self.protocol.outbox.pending().len();
        let written = stream::write(&mut self.stream, &mut self.protocol.outbox);
        if input_received || self.protocol.outbox.pending().len() < bytes_before {
            self.last_active_at = context.now;
        }
        written
    }

    /// Runs the client's commands until a request is open, the connection is to be closed, or no command can run now.
    fn run_commands(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
    ) {
        while self.open_request.is_none()
            && self.waiting_write.is_none()
            && self.closing.is_none()
            && !self.commands_held
        {
            let Some(command) = self.protocol.next_command(context.now) else { return };
            match command {
                ClientCommand::Close(reason) => self.mark_for_close(reason.into(), CloseMode::Immediate),
                ClientCommand::CloseWithError(reason) => {
                    self.mark_for_close(reason.into(), CloseMode::AfterFlush)
                }
                ClientCommand::Run(statement, arrived_at) => {
                    self.start_request(context, admission, key, statement, arrived_at);
                }
            }
        }
    }

    /// Starts a request for a statement, or answers the statement with an error.
    fn start_request(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
        statement: Statement,
        arrived_at: Micros,
    ) {
        match admission.admit(context, &statement, arrived_at) {
            Err(error) => self.protocol.reject(error.sqlstate(), &error.to_string()),
            Ok(request) => self.begin_or_request_grant(context, admission, key, statement, request),
        }
    }
}
