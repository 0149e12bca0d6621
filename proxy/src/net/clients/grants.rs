//! Writes that wait until another process of this proxy has granted that they begin here.

use super::super::event_loop_context::EventLoopContext;
use super::super::process_handover::{ANSWER_TIMEOUT_MICROS, GrantDecision};
use super::super::timer_events::TimerEvent;
use super::client::{Client, OpenRequest};
use super::held_ids::IdHash;
use super::statement_admission::StatementAdmission;
use super::{Clients, StatementPayload};
use crate::core::{ClientKey, RoutingRequest};
use crate::pg::sqlstate::SqlState;
use crate::pg::statement::{Statement, StatementError};
use birchreach::Micros;

/// Whether writes may begin at this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WriteAdmission {
    #[default]
    Allowed,
    /// Only if another process grants it.
    NeedsGrant,
    /// No: it is not known which writes may still run at another process.
    Rejected,
}

/// A write that waits for its grant.
pub(super) struct WaitingWrite {
    statement: Statement,
    request: RoutingRequest,
    requested_at: Micros,
    /// When the write is rejected if it has not been decided.
    rejected_at: Micros,
}

impl WaitingWrite {
    pub(super) fn statement(&self) -> &Statement {
        &self.statement
    }
}

impl Client {
    /// Begins a write that was admitted, makes it wait for its grant, or rejects it.
    pub(super) fn begin_or_request_grant(
        &mut self,
        context: &mut EventLoopContext,
        admission: &mut StatementAdmission,
        key: ClientKey,
        statement: Statement,
        request: RoutingRequest,
    ) {
        let must_wait = statement.is_write && admission.write_admission != WriteAdmission::Allowed;
        if !must_wait {
            return self.begin(context, key, statement, request);
        }
        if admission.write_admission == WriteAdmission::Rejected {
            return self.reject_unstarted(admission, &statement);
        }
        let (id, requested_at) = (IdHash::of(statement.id()), context.now);
        let rejected_at = requested_at + request.timeout.min(ANSWER_TIMEOUT_MICROS);
        admission.request_grant(id, key, requested_at + request.timeout);
        context.timers.set(rejected_at, TimerEvent::GrantTimeout(id));
        self.waiting_write = Some(WaitingWrite { statement, request, requested_at, rejected_at });
    }

    fn begin(
        &mut self,
        context: &mut EventLoopContext,
        key: ClientKey,
        statement: Statement,
        request: RoutingRequest,
    ) {
        let statement = StatementPayload::new(statement);
        let id = context.core.request(context.request_time(), key, request, statement.clone());
        self.open_request = Some(OpenRequest { id, statement });
    }

    /// Rejects a write of which nothing has begun.
    fn reject_unstarted(&mut self, admission: &mut StatementAdmission, statement: &Statement) {
        admission.release(statement);
        let message = "another process of this proxy does not answer; a repeat is harmless";
        self.protocol.reject(SqlState::TOO_MANY_CONNECTIONS, message);
    }
}

impl Clients {
    /// Sets whether writes may begin here.
    pub(crate) fn set_write_admission(&mut self, write_admission: WriteAdmission) {
        self.admission.write_admission = write_admission;
    }

    /// Removes and returns a write for which another process has to be asked.
    pub(crate) fn next_grant_request(&mut self) -> Option<(IdHash, Micros)> {
        self.admission.next_grant_request()
    }

    /// Returns whether a request with this id may run or begin here.
    pub(crate) fn is_id_in_use(&self, now: Micros, id: IdHash) -> bool {
        self.admission.is_in_use(id, now)
    }

    /// Begins or rejects the write that waits for this decision.
    pub(crate) fn grant_decided(
        &mut self,
        context: &mut EventLoopContext,
        id: IdHash,
        decision: GrantDecision,
    ) {
        let Some(key) = self.admission.take_waiting(id) else { return };
        let Some(client) = self.connections.get_mut(key.0) else { return };
        let is_same = |write: &mut WaitingWrite| IdHash::of(write.statement.id()) == id;
        let Some(WaitingWrite { statement, mut request, requested_at, .. }) =
            client.waiting_write.take_if(is_same)
        else {
            return;
        };
        request.timeout -= context.now - requested_at;
        match decision {
            GrantDecision::Granted if request.timeout > 0 => client.begin(context, key, statement, request),
            GrantDecision::Taken => {
                self.admission.release(&statement);
                let error = StatementError::DuplicateId;
                client.protocol.reject(error.sqlstate(), &error.to_string());
            }
            GrantDecision::Granted | GrantDecision::Unknown => {
                client.reject_unstarted(&mut self.admission, &statement)
            }
        }
        self.process_client(context, key);
    }

    /// Begins or rejects the writes that wait for the answer of a process that has ended. It has told before which writes it had begun.
    pub(crate) fn decide_waiting_writes(&mut self, context: &mut EventLoopContext) {
        for id in self.admission.waiting_ids() {
            let decision = match self.admission.write_admission {
                WriteAdmission::Rejected | WriteAdmission::NeedsGrant => GrantDecision::Unknown,
                WriteAdmission::Allowed if self.admission.is_held(id, context.now) => GrantDecision::Taken,
                WriteAdmission::Allowed => GrantDecision::Granted,
            };
            self.grant_decided(context, id, decision);
        }
    }

    /// Rejects a write whose grant has not come in time. The timer may be that of an earlier write with the same id.
    pub(crate) fn grant_timed_out(&mut self, context: &mut EventLoopContext, id: IdHash) {
        let Some(client) = self.admission.waiting(id).and_then(|key| self.connections.get(key.0)) else {
            return;
        };
        let is_due = |write: &WaitingWrite| context.now >= write.rejected_at;
        if client.waiting_write.as_ref().is_some_and(is_due) {
            self.grant_decided(context, id, GrantDecision::Unknown);
        }
    }
}
