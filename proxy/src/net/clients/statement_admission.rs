//! Whether a client's statement becomes a request.

use super::super::event_loop_context::EventLoopContext;
use crate::core::RoutingRequest;
use crate::pg::statement::{Statement, StatementError};
use birchreach::Micros;
use std::collections::HashSet;

/// The ids of the open requests of all clients, none of which may be used twice.
#[derive(Default)]
pub(super) struct StatementAdmission {
    open_request_ids: HashSet<Box<[u8]>>,
}

impl StatementAdmission {
    /// The request that a statement makes. Its id is in use until `release`.
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
        if !self.open_request_ids.insert(statement.id().into()) {
            return Err(StatementError::DuplicateId);
        }
        Ok(request)
    }

    /// The statement's request is over.
    pub(super) fn release(&mut self, statement: &Statement) {
        self.open_request_ids.remove(statement.id());
    }
}
