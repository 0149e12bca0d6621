//! What a database connection reports.

use crate::reply::Reply;

/// An event on a database connection.
#[derive(Debug, PartialEq)]
pub(crate) enum BackendEvent {
    /// The startup is complete. The first query may be sent.
    Ready,
    /// A streamed value of this length in bytes begins. `ValueChunk` events with its bytes follow, and then `QueryCompleted`.
    ValueStarted(usize),
    /// The next bytes of a streamed value.
    ValueChunk(Vec<u8>),
    /// The complete reply to the query in flight. It has no value if the value was streamed.
    QueryCompleted(Reply),
    /// The database answered the startup message with an error. The connection can no longer be used.
    Rejected(Reply),
    /// The database violated the protocol. The connection can no longer be used.
    ProtocolError,
}

/// How much of the reply in flight has been forwarded to the client. A reply of which nothing was forwarded can be replaced by an error or
/// by another attempt's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingProgress {
    /// Nothing was forwarded.
    NotStarted,
    /// The header of the value was forwarded, and the value has not arrived in full.
    InValue,
    /// The complete value has arrived, and the end of the reply has not.
    AwaitingEnd,
}
