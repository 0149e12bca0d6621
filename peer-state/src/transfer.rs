//! Facts on their way: with ages instead of instants. Owns both directions of that; what is dropped on the way in is decided
//! here.

use crate::Micros;
use crate::facts::{MAX_SERVER_NAME_BYTES, Observation, ObservationSource, PeerState, ServerFacts};
use serde::{Deserialize, Serialize};

/// Beyond so many hops nothing is believed, nor told on.
pub const MAX_HOPS: u8 = 3;
/// What is older than this is worth no byte.
pub const MAX_AGE: Micros = 600_000_000;

/// A sighting with its age at the teller, in milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredFact<T> {
    pub value: T,
    pub age_ms: u32,
    pub hop_count: u8,
    pub source: ObservationSource,
    pub observer: u64,
}

/// What is told of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// Part of what one proxy tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferPart {
    pub servers: Vec<TransferredServer>,
}

fn out<T: Copy + Ord>(seen: Option<Observation<T>>, now: Micros) -> Option<TransferredFact<T>> {
    let seen = seen.filter(|s| s.hop_count < MAX_HOPS && s.age(now) <= MAX_AGE)?;
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
    /// What is told of each server, in the order of their names.
    pub fn export_facts(&self, now: Micros) -> impl Iterator<Item = TransferredServer> {
        self.servers().map(move |(uid, f)| TransferredServer {
            uid: uid.into(),
            started_ms: f.started_ms,
            group: f.group,
            position: out(f.position, now),
            lag: out(f.lag, now),
            primary: out(f.primary, now),
            replica: out(f.replica, now),
            suspect: out(f.suspect, now),
            latency: out(f.latency, now),
            slow_start_permille: out(f.slow_start_permille, now),
        })
    }

    /// Takes what another tells. Ages count from the instant at which it was *asked*: what the way took makes all of it
    /// older, never younger. What this proxy said itself is dropped, and so is what has come through too many.
    pub fn apply_transfer(&mut self, asked_at: Micros, told: &TransferPart) {
        for server in &told.servers {
            if server.uid.len() > MAX_SERVER_NAME_BYTES {
                self.dropped += 1;
                continue;
            }
            let mut kept = ServerFacts::new(server.started_ms, server.group);
            kept.position = self.receive_fact(server.position, asked_at);
            kept.lag = self.receive_fact(server.lag, asked_at).filter(|lag| lag.value >= 0);
            kept.primary = self.receive_fact(server.primary, asked_at);
            kept.replica = self.receive_fact(server.replica, asked_at);
            kept.suspect = self.receive_fact(server.suspect, asked_at);
            kept.latency = self.receive_fact(server.latency, asked_at).filter(|latency| latency.value >= 0);
            kept.slow_start_permille =
                self.receive_fact(server.slow_start_permille, asked_at).filter(|cold| cold.value <= 1000);
            if !kept.is_empty() {
                self.merge(&server.uid, &kept);
            }
        }
    }

    fn receive_fact<T>(
        &mut self,
        told: Option<TransferredFact<T>>,
        asked_at: Micros,
    ) -> Option<Observation<T>> {
        let told = told?;
        if told.observer == self.observer || told.hop_count >= MAX_HOPS {
            self.dropped += 1;
            return None;
        }
        let at = asked_at - Micros::from(told.age_ms) * 1000;
        Some(Observation {
            value: told.value,
            observed_at: at,
            hop_count: told.hop_count + 1,
            source: told.source,
            observer: told.observer,
        })
    }
}
