//! Facts as they are sent and stored: with ages instead of instants. Owns both directions of that
//! translation, and what is dropped on the way in.

use crate::peer_state::{FULL_SLOW_START_PERMILLE, MAX_SERVER_NAME_BYTES};
use crate::{KnownServer, Micros, Observation, ObservationSource, PeerState, ServerFacts};
use serde::{Deserialize, Serialize};

/// Facts forwarded this often are neither accepted nor sent.
const MAX_HOPS: u8 = 3;
/// Older facts are not sent.
pub(crate) const MAX_AGE: Micros = 600_000_000;

/// An [`Observation`] as it is sent and stored: with its age at the sender in place of an instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredFact<T> {
    /// What was observed.
    pub value: T,
    /// Its age in milliseconds, rounded up.
    pub age_ms: u32,
    /// How many proxies forwarded it before the sender.
    pub hop_count: u8,
    /// How the observer got to know it.
    pub source: ObservationSource,
    /// The proxy that observed it.
    pub observer: u64,
}

/// The [`ServerFacts`] of one server as they are sent and stored: under the server's name, and with ages in
/// place of instants.
///
/// The order of the fields is the format on the wire and in snapshots (postcard). [`ServerFacts`] can change
/// without a change of the format.
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
    /// Adds so much to the age of every fact.
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

/// A part of the state that one proxy sends another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferPart {
    /// Servers in this part.
    pub servers: Vec<TransferredServer>,
}

/// An observation as it is sent, if it is recent enough and was not forwarded too often.
fn export<T: Copy + Ord>(seen: Option<Observation<T>>, now: Micros) -> Option<TransferredFact<T>> {
    let seen = seen.filter(|seen| seen.hop_count < MAX_HOPS && seen.age(now) <= MAX_AGE)?;
    let age_ms = u32::try_from((seen.age(now) + 999) / 1000).ok()?;
    Some(TransferredFact {
        value: seen.value,
        age_ms,
        hop_count: seen.hop_count,
        source: seen.source,
        observer: seen.observer,
    })
}

impl PeerState {
    /// What is sent of each server, by name.
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

    /// Merges what another proxy sent. Ages count from the instant of the *request*, so that the time of the
    /// transfer makes facts older, never younger. This proxy's own observations are dropped, and those that
    /// were forwarded too often.
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

    /// The facts of one server as this proxy keeps them, without invalid values.
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

    /// An observation on this proxy's clock; none of its own, and none that was forwarded too often.
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
