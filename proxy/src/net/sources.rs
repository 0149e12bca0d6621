//! The event sources of the loop, and the tokens that identify them in the poll.

#[cfg(test)]
mod tests;

use super::ids::{AdminKey, CheckConnectionKey, ConnectionKey, LinkKey};
use crate::core::ClientKey;
use mio::Token;

/// An event source that the poll reports as ready. A key is an index into the owner's slab.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The listener for clients. Balancers may also connect to it to check that the process accepts connections.
    ClientListener,
    /// The source that reports the signals for a shutdown and for a reload.
    Signals,
    /// The connection on which the endpoint list is polled.
    Discovery,
    /// The listener for operators, who send admin calls.
    AdminListener,
    /// The listener for the process that replaces this one.
    HandoverListener,
    /// The connection to the process that this one replaces.
    Predecessor,
    /// The connection to the process that replaces this one.
    Successor,
    /// The listener for health checks over HTTP.
    HttpListener,
    /// The listener for agent checks.
    AgentListener,
    /// The listener for health checks over gRPC.
    GrpcListener,
    /// The listener for proxies that request this proxy's state.
    GossipListener,
    /// The listener for members of the fleet.
    MembershipListener,
    /// The datagram socket of the fleet.
    Fleet,
    /// A connection that was accepted from a client.
    Client(ClientKey),
    /// A connection that the pool opened to a database.
    Database(ConnectionKey),
    /// A connection that was accepted from an operator.
    Admin(AdminKey),
    /// A connection that was accepted from a balancer, which checks the health of this proxy.
    Check(CheckConnectionKey),
    /// A link to another proxy, opened by either side.
    Gossip(LinkKey),
}

/// The sources without a key. The token of such a source is its index in this array.
const FIXED_SOURCES: [Source; 13] = [
    Source::ClientListener,
    Source::Signals,
    Source::Discovery,
    Source::AdminListener,
    Source::HandoverListener,
    Source::Predecessor,
    Source::Successor,
    Source::HttpListener,
    Source::AgentListener,
    Source::GrpcListener,
    Source::GossipListener,
    Source::MembershipListener,
    Source::Fleet,
];
/// The constructors of the sources with a key, indexed by the number of the slab. The tokens of these sources follow
/// the tokens of the sources without a key. Key k of slab n has the token
/// `FIXED_SOURCES.len() + k * KEYED_SOURCES.len() + n`.
const KEYED_SOURCES: [fn(usize) -> Source; 5] = [
    |key| Source::Client(ClientKey(key)),
    |key| Source::Database(ConnectionKey(key)),
    |key| Source::Admin(AdminKey(key)),
    |key| Source::Check(CheckConnectionKey(key)),
    |key| Source::Gossip(LinkKey(key)),
];

impl Source {
    /// Returns the token that identifies this source in the poll.
    pub(super) fn token(self) -> Token {
        let keyed = |slab: usize, key: usize| FIXED_SOURCES.len() + key * KEYED_SOURCES.len() + slab;
        Token(match self {
            Source::Client(ClientKey(key)) => keyed(0, key),
            Source::Database(ConnectionKey(key)) => keyed(1, key),
            Source::Admin(AdminKey(key)) => keyed(2, key),
            Source::Check(CheckConnectionKey(key)) => keyed(3, key),
            Source::Gossip(LinkKey(key)) => keyed(4, key),
            fixed => FIXED_SOURCES.iter().position(|source| *source == fixed).unwrap_or(usize::MAX),
        })
    }

    /// Returns the source that a token of the poll identifies.
    pub(super) fn from_token(Token(token): Token) -> Source {
        FIXED_SOURCES.get(token).copied().unwrap_or_else(|| {
            let keyed_token = token - FIXED_SOURCES.len();
            KEYED_SOURCES[keyed_token % KEYED_SOURCES.len()](keyed_token / KEYED_SOURCES.len())
        })
    }

    /// Returns whether the source is served before all others, however many are ready. Operators and balancers have few
    /// connections, and these matter most under load. Another process of this proxy reports writes that the reads of clients
    /// have to see.
    pub(super) fn has_priority(self) -> bool {
        matches!(
            self,
            Source::AdminListener
                | Source::Admin(_)
                | Source::HttpListener
                | Source::AgentListener
                | Source::GrpcListener
                | Source::Check(_)
                | Source::HandoverListener
                | Source::Predecessor
                | Source::Successor
        )
    }
}
