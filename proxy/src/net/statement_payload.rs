//! What the core carries for each request: the client's statement, shared by all attempts at it.

use crate::core::RequestPayload;
use crate::pg::statement::Statement;
use std::rc::Rc;

/// A statement that its client waits for and its attempts read.
pub(super) type StatementPayload = Rc<Statement>;

impl RequestPayload for StatementPayload {
    fn key(&self) -> &[u8] {
        Statement::key(self)
    }
}
