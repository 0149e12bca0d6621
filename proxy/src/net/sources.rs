//! What the loop waits for, as a table: each kind of source has tokens of its own, and its place in a turn.

use mio::Token;

/// Something that becomes ready. A number is the place in its owner's slab.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The clients' listener, the signals, the connection to discovery, the operators' listener.
    Listener,
    Signals,
    Discovery,
    Admin,
    /// Where the next process meets this one, and the links to the one before and the one after.
    Successors,
    Predecessor,
    Successor,
    /// The listeners for balancers' checks.
    HttpListener,
    AgentListener,
    GrpcListener,
    /// The listener for other proxies.
    GossipListener,
    /// The listener for members of the fleet.
    ViewListener,
    /// Datagrams of other proxies.
    Fleet,
    Client(usize),
    Database(usize),
    Operator(usize),
    Check(usize),
    Gossip(usize),
}

use Source::*;

/// Sources of which there is one, by their tokens.
const SINGLE: [Source; 13] = [
    Listener,
    Signals,
    Discovery,
    Admin,
    Successors,
    Predecessor,
    Successor,
    HttpListener,
    AgentListener,
    GrpcListener,
    GossipListener,
    ViewListener,
    Fleet,
];
/// The others take turns behind them: place k of kind n has the token SINGLE + k * SLABS + n.
const SLABS: [fn(usize) -> Source; 5] = [Client, Database, Operator, Check, Gossip];

impl Source {
    pub fn token(self) -> Token {
        let slab = |n: usize, key: usize| SINGLE.len() + key * SLABS.len() + n;
        Token(match self {
            Client(key) => slab(0, key),
            Database(key) => slab(1, key),
            Operator(key) => slab(2, key),
            Check(key) => slab(3, key),
            Gossip(key) => slab(4, key),
            single => SINGLE.iter().position(|s| *s == single).unwrap_or(usize::MAX),
        })
    }

    pub fn of(Token(token): Token) -> Source {
        SINGLE.get(token).copied().unwrap_or_else(|| {
            let place = token - SINGLE.len();
            SLABS[place % SLABS.len()](place / SLABS.len())
        })
    }

    /// Operators and balancers come before all else, however many others are ready: they are few, and what they ask
    /// matters most when there is much to do.
    pub fn first(self) -> bool {
        matches!(self, Admin | Operator(_) | HttpListener | AgentListener | GrpcListener | Check(_))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_source_has_a_token_of_its_own() {
        let slabs = (0..100).flat_map(|key| SLABS.map(|slab| slab(key)));
        let all: Vec<Source> = SINGLE.into_iter().chain(slabs).collect();
        let tokens: std::collections::HashSet<Token> = all.iter().map(|s| s.token()).collect();
        assert_eq!(tokens.len(), all.len());
        assert!(all.iter().all(|s| Source::of(s.token()) == *s));
    }
}
