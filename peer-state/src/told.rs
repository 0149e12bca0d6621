//! Facts on their way: with ages instead of instants. Owns both directions of that; what is dropped on the way in is decided
//! here.

use crate::Micros;
use crate::facts::{CoreEvent, Facts, Knowledge, MOST_NAME, Source};
use serde::{Deserialize, Serialize};

/// Beyond so many hops nothing is believed, nor told on.
pub const MOST_HOPS: u8 = 3;
/// What is older than this is worth no byte.
pub const MOST_AGE: Micros = 600_000_000;

/// A sighting with its age at the teller, in milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldFact<T> {
    pub value: T,
    pub age_ms: u32,
    pub hops: u8,
    pub source: Source,
    pub observer: u64,
}

/// What is told of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldServer {
    pub uid: String,
    pub boot_ms: u64,
    pub group: u32,
    pub position: Option<ToldFact<Micros>>,
    pub lag: Option<ToldFact<Micros>>,
    pub primary: Option<ToldFact<()>>,
    pub replica: Option<ToldFact<()>>,
    pub suspect: Option<ToldFact<bool>>,
    pub latency: Option<ToldFact<Micros>>,
    pub cold: Option<ToldFact<u16>>,
}

/// Part of what one proxy tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    pub servers: Vec<ToldServer>,
}

fn out<T: Copy + Ord>(seen: Option<CoreEvent<T>>, now: Micros) -> Option<ToldFact<T>> {
    let seen = seen.filter(|s| s.hops < MOST_HOPS && s.age(now) <= MOST_AGE)?;
    let age_ms = u32::try_from((seen.age(now) + 999) / 1000).ok()?;
    Some(ToldFact {
        value: seen.value,
        age_ms,
        hops: seen.hops,
        source: seen.source,
        observer: seen.observer,
    })
}

impl Knowledge {
    /// What is told of each server, in the order of their names.
    pub fn tell(&self, now: Micros) -> impl Iterator<Item = ToldServer> {
        self.servers().map(move |(uid, f)| ToldServer {
            uid: uid.into(),
            boot_ms: f.boot_ms,
            group: f.group,
            position: out(f.position, now),
            lag: out(f.lag, now),
            primary: out(f.primary, now),
            replica: out(f.replica, now),
            suspect: out(f.suspect, now),
            latency: out(f.latency, now),
            cold: out(f.cold, now),
        })
    }

    /// Takes what another tells. Ages count from the instant at which it was *asked*: what the way took makes all of it
    /// older, never younger. What this proxy said itself is dropped, and so is what has come through too many.
    pub fn hear(&mut self, asked_at: Micros, told: &Told) {
        for server in &told.servers {
            if server.uid.len() > MOST_NAME {
                self.dropped += 1;
                continue;
            }
            let mut kept = Facts::new(server.boot_ms, server.group);
            kept.position = self.take(server.position, asked_at);
            kept.lag = self.take(server.lag, asked_at).filter(|lag| lag.value >= 0);
            kept.primary = self.take(server.primary, asked_at);
            kept.replica = self.take(server.replica, asked_at);
            kept.suspect = self.take(server.suspect, asked_at);
            kept.latency = self.take(server.latency, asked_at).filter(|latency| latency.value >= 0);
            kept.cold = self.take(server.cold, asked_at).filter(|cold| cold.value <= 1000);
            if !kept.is_empty() {
                self.join(&server.uid, &kept);
            }
        }
    }

    fn take<T>(&mut self, told: Option<ToldFact<T>>, asked_at: Micros) -> Option<CoreEvent<T>> {
        let told = told?;
        if told.observer == self.observer || told.hops >= MOST_HOPS {
            self.dropped += 1;
            return None;
        }
        let at = asked_at - Micros::from(told.age_ms) * 1000;
        Some(CoreEvent {
            value: told.value,
            at,
            hops: told.hops + 1,
            source: told.source,
            observer: told.observer,
        })
    }
}
