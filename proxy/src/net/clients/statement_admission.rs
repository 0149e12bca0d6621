//! Decides whether a client's statement becomes a request or is rejected with an error.

use super::super::event_loop_context::EventLoopContext;
use crate::core::RoutingRequest;
use crate::pg::statement::{Statement, StatementError};
use birchreach::Micros;
use std::collections::HashSet;

/// The ids of all clients' open requests. A statement with an id that is in use is rejected.
#[derive(Default)]
pub(super) struct StatementAdmission {
    open_request_ids: HashSet<Box<[u8]>>,
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
        if !self.open_request_ids.insert(statement.id().into()) {
            return Err(StatementError::DuplicateId);
        }
        Ok(request)
    }

    /// Frees the statement's id after its request has ended.
    pub(super) fn release(&mut self, statement: &Statement) {
        self.open_request_ids.remove(statement.id());
    }
}
