//! The form in which facts are sent and stored, with ages instead of instants. This module converts in both
//! directions, and drops received facts that are invalid or were forwarded too often.

use crate::peer_state::{FULL_SLOW_START_PERMILLE, MAX_SERVER_NAME_BYTES};
use crate::{KnownServer, Micros, Observation, ObservationSource, PeerState, ServerFacts};
use serde::{Deserialize, Serialize};

/// Facts that were forwarded by this number of proxies are neither accepted nor sent.
const MAX_HOPS: u8 = 3;
/// The maximum age of a fact that is sent.
pub(crate) const MAX_AGE: Micros = 600_000_000;

/// An [`Observation`] in the form in which it is sent and stored. It contains the age at the sender instead
/// of an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredFact<T> {
    /// The observed value. Its unit depends on the fact.
    pub value: T,
    /// The age of the observation in milliseconds, rounded up.
    pub age_ms: u32,
    /// The number of proxies that forwarded the observation before the sender.
    pub hop_count: u8,
    /// The source from which the observer learned the value.
    pub source: ObservationSource,
    /// The identity of the proxy that made the observation.
    pub observer: u64,
}

/// The [`ServerFacts`] of one server in the form in which they are sent and stored: with the server's name,
/// and with ages instead of instants.
///
/// The order of the fields is part of the wire format and of the snapshot format (postcard). [`ServerFacts`]
/// can change without a change of these formats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the fields are documented at ServerFacts")]
pub struct TransferredServer {
    pub uid: String,
    pub started_ms: u64,
    pub group: u32,
    pub position: Option<TransferredFact<Micros>>,
    pub lag: Option<TransferredFact<Micros>>,
    pub primary: Option<TransferredFact<()>>,
    pub replica: Option<TransferredFact<()>>,
    pub suspect: Option<TransferredFact<bool>>,
    pub latency: Option<TransferredFact<Micros>>,
    pub slow_start_permille: Option<TransferredFact<u16>>,
}

impl TransferredServer {
    /// Increases the age of every fact.
    pub(crate) fn add_age(&mut self, age_ms: u32) {
        fn add<T>(fact: &mut Option<TransferredFact<T>>, age_ms: u32) {
            if let Some(fact) = fact {
                fact.age_ms = fact.age_ms.saturating_add(age_ms);
            }
        }
        add(&mut self.position, age_ms);
        add(&mut self.lag, age_ms);
        add(&mut self.primary, age_ms);
        add(&mut self.replica, age_ms);
        add(&mut self.suspect, age_ms);
        add(&mut self.latency, age_ms);
        add(&mut self.slow_start_permille, age_ms);
    }
}

/// A part of the state that one proxy sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferPart {
    /// The servers in this part, each with its facts.
    pub servers: Vec<TransferredServer>,
}

/// Converts an observation for sending. Returns `None` if it is too old or was forwarded too often.
fn export<T: Copy + Ord>(observation: Option<Observation<T>>, now: Micros) -> Option<TransferredFact<T>> {
    let is_sendable =
        |observation: &Observation<T>| observation.hop_count < MAX_HOPS && observation.age(now) <= MAX_AGE;
    let observation = observation.filter(is_sendable)?;
    let age_ms = u32::try_from((observation.age(now) + 999) / 1000).ok()?;
    Some(TransferredFact {
        value: observation.value,
        age_ms,
        hop_count: observation.hop_count,
        source: observation.source,
        observer: observation.observer,
    })
}

impl PeerState {
    /// Converts the facts of each listed server for sending, sorted by server name.
    pub fn export_facts(&self, now: Micros) -> impl Iterator<Item = TransferredServer> {
        self.servers().map(move |KnownServer { uid, facts }| TransferredServer {
            uid: uid.into(),
            started_ms: facts.started_ms,
            group: facts.group,
            position: export(facts.position, now),
            lag: export(facts.lag, now),
            primary: export(facts.primary, now),
            replica: export(facts.replica, now),
            suspect: export(facts.suspect, now),
            latency: export(facts.latency, now),
            slow_start_permille: export(facts.slow_start_permille, now),
        })
    }

    /// Merges a part of another proxy's state. Ages count from the time of the *request*, so that the
    /// duration of the transfer can only make facts older. Drops observations that this proxy made itself and
    /// those that were forwarded too often.
    pub fn apply_transfer(&mut self, requested_at: Micros, part: &TransferPart) {
        for server in &part.servers {
            if server.uid.len() > MAX_SERVER_NAME_BYTES {
                self.dropped += 1;
                continue;
            }
            let facts = self.receive_server(server, requested_at);
            if !facts.is_empty() {
                self.merge(&server.uid, &facts);
            }
        }
    }

    /// Converts the received facts of one server, without invalid values.
    fn receive_server(&mut self, server: &TransferredServer, requested_at: Micros) -> ServerFacts {
        let mut facts = ServerFacts::new(server.started_ms, server.group);
        facts.position = self.receive_fact(server.position, requested_at);
        facts.lag = self.receive_fact(server.lag, requested_at).filter(|lag| lag.value >= 0);
        facts.primary = self.receive_fact(server.primary, requested_at);
        facts.replica = self.receive_fact(server.replica, requested_at);
        facts.suspect = self.receive_fact(server.suspect, requested_at);
        facts.latency = self.receive_fact(server.latency, requested_at).filter(|latency| latency.value >= 0);
        facts.slow_start_permille = self
            .receive_fact(server.slow_start_permille, requested_at)
            .filter(|remaining| remaining.value <= FULL_SLOW_START_PERMILLE);
        facts
    }

    /// Converts a received fact to an observation on this proxy's clock. Returns `None` if there is no fact,
    /// this proxy made the observation itself, or it was forwarded too often.
    fn receive_fact<T>(
        &mut self,
        fact: Option<TransferredFact<T>>,
        requested_at: Micros,
    ) -> Option<Observation<T>> {
        let fact = fact?;
        if fact.observer == self.observer || fact.hop_count >= MAX_HOPS {
            self.dropped += 1;
            return None;
        }
        Some(Observation {
            value: fact.value,
            observed_at: requested_at - Micros::from(fact.age_ms) * 1000,
            hop_count: fact.hop_count + 1,
            source: fact.source,
            observer: fact.observer,
        })
    }
}
