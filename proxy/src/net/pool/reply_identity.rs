//! Tells a reply from a second copy of the reply before it on the same connection.
//!
//! A database may send a reply a second time until the next query reaches it. The copy then arrives when that query has already been
//! sent, up to one round trip after it. Two replies to different queries differ in their value or in the position of the database, which
//! moves on between them; a second copy does not.

use crate::reply::Reply;
use birchreach::{AttemptOutcome, ServerStatus};
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// The most bytes of a value, from its start and from its end each, that are compared.
const MAX_COMPARED_BYTES: usize = 256;

/// What identifies a reply among those on one connection.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReplyIdentity {
    outcome: AttemptOutcome,
    status: Option<ServerStatus>,
    value_length: Option<usize>,
    value_hash: u64,
}

impl ReplyIdentity {
    pub(super) fn of(reply: &Reply) -> ReplyIdentity {
        let value = reply.value.as_ref().map(|value| value.bytes.as_slice());
        ReplyIdentity {
            outcome: reply.outcome,
            status: reply.status,
            value_length: value.map(<[u8]>::len),
            value_hash: hash_ends(value.unwrap_or_default()),
        }
    }

    /// Returns whether the replies to two queries differ for certain: the database reports a position.
    pub(super) fn is_distinctive(&self) -> bool {
        self.status.is_some_and(|status| status.position.is_some())
    }
}

/// Returns a hash of the start and the end of a value.
fn hash_ends(bytes: &[u8]) -> u64 {
    let compared = bytes.len().min(MAX_COMPARED_BYTES);
    let mut hasher = FxHasher::default();
    hasher.write(&bytes[..compared]);
    hasher.write(&bytes[bytes.len() - compared..]);
    hasher.finish()
}
