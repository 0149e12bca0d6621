//! Executes the commands of the core on the connections.

use super::EventLoop;
use super::clients::IdHash;
use super::process_handover::GrantDecision;
use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use crate::core::{Command, LogRecord};
use crate::discovery::EndpointUpdate;
use crate::log::Quoted;
use tracing::{info, warn};

impl EventLoop {
    /// Executes the commands of the core, including those that result from executing others, until none is left.
    pub(super) fn execute_commands(&mut self) {
        loop {
            if let Some(command) = self.context.core.next_command() {
                self.execute_command(command);
            } else if let Some(attempt) = self.clients.next_attempt_to_resume() {
                // The client has taken all bytes of a streamed value that were received, so the attempt reads more.
                self.pool.resume_reading(&mut self.context, attempt);
            } else if let Some(write) = self.clients.next_grant_request() {
                if !self.handover.request_grant(&self.context, write) {
                    self.clients.grant_decided(&mut self.context, write.0, GrantDecision::Unknown);
                }
            } else {
                return;
            }
        }
    }

    fn execute_command(&mut self, command: Command<StatementPayload>) {
        let context = &mut self.context;
        match command {
            Command::StartAttempt { attempt, server, payload, deadline, from_copy } => {
                self.pool.start_attempt(context, attempt, server, payload, deadline, from_copy);
            }
            Command::CancelAttempt { attempt } => self.pool.cancel_attempt(context, attempt),
            Command::HealthCheck { server } => self.pool.start_health_check(context, server),
            Command::ShareRequest { payload, deadline } => {
                self.handover.share_request(context, IdHash::of(payload.id()), deadline);
            }
            Command::ShareSessionWrite { session, position } => {
                self.handover.share_session_write(session, position);
            }
            Command::ShareRole { server } => self.handover.share_role(context, server),
            Command::Answer { client, request, answer } => {
                self.clients.answer(context, client, request, &answer);
            }
            Command::BeginStream { client, request, attempt, length } => {
                self.clients.start_value(context, client, request, attempt, length);
            }
            Command::StreamChunk { client, request, bytes } => {
                self.clients.send_value_chunk(context, client, request, &bytes);
            }
            Command::AbortStream { client, request } => self.clients.abort_value(context, client, request),
            Command::SetTimer { id, at } => context.timers.set(at, TimerEvent::Routing(id)),
            Command::Log(LogRecord::RouterMessage(message)) => {
                info!(event = "routing-note", note = %Quoted(message));
            }
            Command::Log(LogRecord::ServerListed { server, uid, endpoint }) => {
                info!(event = "server-listed", number = server.0, uid, endpoint);
            }
        }
    }

    /// Applies an update of the endpoint list, and closes idle connections to servers whose address changed. The first
    /// update that lists servers lets this process take over from its predecessor.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate) {
        info!(
            event = "endpoint-list",
            rev = update.revision,
            all = update.complete,
            lines = update.endpoints.len()
        );
        log_duplicates(&update);
        let moved = self.context.core.update_endpoints(self.context.now, update);
        for server in moved {
            self.pool.close_idle_connections(&mut self.context, server);
        }
        self.take_over_from_predecessor();
        self.execute_commands();
    }
}

/// Logs the first entry that names the same server as an earlier entry, and the number of such entries.
fn log_duplicates(update: &EndpointUpdate) {
    let Some(duplicate) = update.first_duplicate() else { return };
    warn!(
        event = "endpoint-list-duplicates",
        rev = update.revision,
        count = duplicate.count,
        uid = duplicate.uid,
        entry = duplicate.entry,
        "first-entry" = duplicate.first_entry
    );
}
