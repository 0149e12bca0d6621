//! The payload that the core keeps for each request: the statement of the client, shared by all attempts of the
//! request.

use crate::core::RequestPayload;
use crate::pg::statement::Statement;
use std::rc::Rc;

/// A client's statement, shared by the client's connection and the attempts that execute the statement.
pub(super) type StatementPayload = Rc<Statement>;

impl RequestPayload for StatementPayload {
    fn key(&self) -> &[u8] {
        Statement::key(self)
    }
}
