//! What statements came to that no client waits for, handed from the connections to whoever sent them.

use crate::reply::Reply;
use birchreach::ServerId;

/// A query that is over.
#[derive(Debug)]
pub struct BackgroundQueryResult {
    /// The sender's number for it.
    pub number: u64,
    pub server: ServerId,
    /// A reply for each statement that ran; after the first that failed none did.
    pub replies: Vec<Reply>,
    /// All statements ran, and each succeeded.
    pub complete: bool,
}
