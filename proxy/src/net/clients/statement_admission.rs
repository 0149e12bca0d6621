//! Decides whether a client's statement becomes a request or is rejected with an error.

use super::super::event_loop_context::EventLoopContext;
use super::grants::WriteAdmission;
use super::held_ids::{HeldIds, IdHash};
use crate::core::{ClientKey, RoutingRequest};
use crate::pg::statement::{Statement, StatementError};
use birchreach::Micros;
use std::collections::{HashMap, HashSet};

/// The ids of all clients' open requests. A statement with an id that is in use is rejected.
#[derive(Default)]
pub(super) struct StatementAdmission {
    open_request_ids: HashSet<Box<[u8]>>,
    /// Ids of writes that may still run without a client, or at another process.
    held_ids: HeldIds,
    /// Whether writes may begin here.
    pub write_admission: WriteAdmission,
    /// The clients whose writes wait until another process has granted that they begin, by the id.
    waiting: HashMap<IdHash, ClientKey>,
    /// Those of the waiting writes for which the other process has still to be asked, and until when they may begin.
    unsent_grant_requests: Vec<(IdHash, Micros)>,
}

impl StatementAdmission {
    /// Returns the request for a statement. The statement's id is in use until `release` is called.
    pub(super) fn admit(
        &mut self,
        context: &EventLoopContext,
        statement: &Statement,
        arrived_at: Micros,
    ) -> Result<RoutingRequest, StatementError> {
        let class = context.core.find_class(context.now, &statement.class);
        let (class_id, class) = class.ok_or(StatementError::UnknownClass)?;
        let position_source = context.core.session_position_source();
        let elapsed = context.now - arrived_at;
        let request = statement.routing_request(class_id, class, position_source, elapsed)?;
        if !context.core.has_group(request.group) {
            return Err(StatementError::UnknownGroup);
        }
        let is_held = statement.is_write
            && !self.held_ids.is_empty()
            && self.held_ids.contains(IdHash::of(statement.id()), context.now);
        if is_held || !self.open_request_ids.insert(statement.id().into()) {
            return Err(StatementError::DuplicateId);
        }
        Ok(request)
    }

    /// Frees the statement's id after its client has left. If the request may run until a time, its id is in use until then.
    pub(super) fn release_after(&mut self, statement: &Statement, may_run_until: Option<Micros>) {
        if let Some(until) = may_run_until {
            self.held_ids.hold(IdHash::of(statement.id()), until);
        }
        self.release(statement);
    }

    /// Keeps the id of a request in use that may run at another process until this time. Returns false if there is no space.
    pub(super) fn hold(&mut self, id: IdHash, until: Micros) -> bool {
        self.held_ids.hold(id, until)
    }

    /// Frees the ids whose time has passed.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.held_ids.remove_expired(now);
    }

    /// Returns the ids in use, and until when each is. An open request is over within `longest`.
    pub(super) fn ids_in_use(&self, now: Micros, longest: Micros) -> Vec<(IdHash, Micros)> {
        let open = self.open_request_ids.iter().map(|id| (IdHash::of(id), now + longest));
        open.chain(self.held_ids.iter()).collect()
    }

    /// Returns whether a request with this id may run or begin here.
    pub(super) fn is_in_use(&self, id: IdHash, now: Micros) -> bool {
        self.held_ids.contains(id, now) || self.open_request_ids.iter().any(|open| IdHash::of(open) == id)
    }

    /// Makes the write of a client wait until another process has granted that it begins.
    pub(super) fn request_grant(&mut self, id: IdHash, client: ClientKey, until: Micros) {
        self.waiting.insert(id, client);
        self.unsent_grant_requests.push((id, until));
    }

    /// Removes and returns a write for which another process has to be asked.
    pub(super) fn next_grant_request(&mut self) -> Option<(IdHash, Micros)> {
        self.unsent_grant_requests.pop()
    }

    /// Returns the client whose write with this id waits.
    pub(super) fn waiting(&self, id: IdHash) -> Option<ClientKey> {
        self.waiting.get(&id).copied()
    }

    /// Returns the ids of the writes that wait.
    pub(super) fn waiting_ids(&self) -> Vec<IdHash> {
        self.waiting.keys().copied().collect()
    }

    /// Returns whether a request with this id may run without a client, or at another process.
    pub(super) fn is_held(&self, id: IdHash, now: Micros) -> bool {
        self.held_ids.contains(id, now)
    }

    /// Returns the client whose write with this id waits. The write does not wait any more.
    pub(super) fn take_waiting(&mut self, id: IdHash) -> Option<ClientKey> {
        self.waiting.remove(&id)
    }

    /// Frees the statement's id after its request has ended.
    pub(super) fn release(&mut self, statement: &Statement) {
        self.open_request_ids.remove(statement.id());
        if !self.waiting.is_empty() {
            self.waiting.remove(&IdHash::of(statement.id()));
        }
    }
}
