//! Sources of events, and the tokens by which the poll names them.

#[cfg(test)]
mod tests;

use super::ids::{AdminKey, CheckKey, ConnectionKey, LinkKey};
use crate::core::ClientKey;
use mio::Token;

/// Something that becomes ready. A key is that of the owner's slab.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The clients' listener.
    ClientListener,
    /// The signals.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The operators' listener.
    AdminListener,
    /// The listener for the process that replaces this one.
    HandoverListener,
    /// The connection to the process that this one replaces.
    Predecessor,
    /// The connection to the process that replaces this one.
    Successor,
    /// The listener for balancers' checks over HTTP.
    HttpListener,
    /// The listener for balancers' agent checks.
    AgentListener,
    /// The listener for balancers' checks over gRPC.
    GrpcListener,
    /// The listener for proxies that request state.
    GossipListener,
    /// The listener for members of the fleet.
    MembershipListener,
    /// The fleet's datagrams.
    Fleet,
    /// A client.
    Client(ClientKey),
    /// A connection to a database.
    Database(ConnectionKey),
    /// An operator.
    Admin(AdminKey),
    /// A balancer that checks this proxy.
    Check(CheckKey),
    /// A link to another proxy.
    Gossip(LinkKey),
}

/// The sources without a key. The token of each is its index.
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
/// Constructors of the sources that have a key, by the number of their slab. Their tokens follow those of the single sources: key k
/// of slab n has the token `FIXED_SOURCES.len() + k * KEYED_SOURCES.len() + n`.
const KEYED_SOURCES: [fn(usize) -> Source; 5] = [
    |key| Source::Client(ClientKey(key)),
    |key| Source::Database(ConnectionKey(key)),
    |key| Source::Admin(AdminKey(key)),
    |key| Source::Check(CheckKey(key)),
    |key| Source::Gossip(LinkKey(key)),
];

impl Source {
    /// The token by which the poll names this source.
    pub(super) fn token(self) -> Token {
        let keyed = |index: usize, key: usize| FIXED_SOURCES.len() + key * KEYED_SOURCES.len() + index;
        Token(match self {
            Source::Client(ClientKey(key)) => keyed(0, key),
            Source::Database(ConnectionKey(key)) => keyed(1, key),
            Source::Admin(AdminKey(key)) => keyed(2, key),
            Source::Check(CheckKey(key)) => keyed(3, key),
            Source::Gossip(LinkKey(key)) => keyed(4, key),
            fixed => FIXED_SOURCES.iter().position(|source| *source == fixed).unwrap_or(usize::MAX),
        })
    }

    /// The source that the poll names by this token.
    pub(super) fn from_token(Token(token): Token) -> Source {
        FIXED_SOURCES.get(token).copied().unwrap_or_else(|| {
            let keyed_token = token - FIXED_SOURCES.len();
            KEYED_SOURCES[keyed_token % KEYED_SOURCES.len()](keyed_token / KEYED_SOURCES.len())
        })
    }

    /// Whether it is served before all others, however many are ready: connections of operators and balancers are few, and matter
    /// most under load.
    pub(super) fn has_priority(self) -> bool {
        matches!(
            self,
            Source::AdminListener
                | Source::Admin(_)
                | Source::HttpListener
                | Source::AgentListener
                | Source::GrpcListener
                | Source::Check(_)
        )
    }
}
