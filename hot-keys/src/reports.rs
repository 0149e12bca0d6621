//! What processes tell one another of their reads: the top of each one's rates, the newest of each origin, fading as it ages.

use crate::{Key, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Keys in one report.
pub const MOST_ENTRIES: usize = 16;
/// Origins whose reports are kept.
const MOST_ORIGINS: usize = 4_096;
/// No process serves more.
const MOST_MILLI: u32 = 1_000_000_000;

/// A key, and how much of it one process is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: Key,
    /// Reads in a thousand seconds.
    pub milli: u32,
    /// It holds the key for hot.
    pub hot: bool,
}

/// What one process tells. `secret`: the number of the secret that its hashes are under.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub secret: u32,
    /// Equal at all that hold the same keys for hot.
    pub digest: u64,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It cannot be read, or holds more than a report may.
    Form,
    /// Its hashes are under another secret: keys are being changed.
    Secret,
    /// Something newer of its origin was heard.
    Old,
    /// More origins than are kept.
    TooMany,
}

impl Refused {
    pub fn word(self) -> &'static str {
        match self {
            Refused::Form => "form",
            Refused::Secret => "other-secret",
            Refused::Old => "old",
            Refused::TooMany => "too-many",
        }
    }
}

impl Report {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Report, Refused> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| Refused::Form)?;
        let twice =
            report.entries.iter().enumerate().any(|(n, e)| {
                report.entries[..n].iter().any(|other| other.key == e.key) || e.milli > MOST_MILLI
            });
        if twice || report.entries.len() > MOST_ENTRIES { Err(Refused::Form) } else { Ok(report) }
    }
}

/// The newest report of an origin, and when it was made, on this process's clock.
#[derive(Clone, Debug)]
pub struct Told {
    pub number: u64,
    pub made: Micros,
    pub report: Report,
}

#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_origin: BTreeMap<u64, Told>,
}

impl Reports {
    pub fn hear(&mut self, origin: u64, told: Told) -> Result<(), Refused> {
        match self.by_origin.get(&origin) {
            Some(known) if known.number >= told.number => return Err(Refused::Old),
            None if self.by_origin.len() >= MOST_ORIGINS => return Err(Refused::TooMany),
            _ => {}
        }
        self.by_origin.insert(origin, told);
        Ok(())
    }

    /// Drops what has faded away.
    pub fn forget(&mut self, now: Micros, life: Micros) {
        self.by_origin.retain(|_, told| now - told.made < life);
    }

    pub fn origins(&self) -> impl Iterator<Item = (u64, &Told)> {
        self.by_origin.iter().map(|(origin, told)| (*origin, told))
    }

    pub fn len(&self) -> usize {
        self.by_origin.len()
    }

    /// Origins that report a key, in their order.
    pub fn reporters(&self, key: Key) -> impl Iterator<Item = u64> {
        let has = move |told: &Told| told.report.entries.iter().any(|e| e.key == key);
        self.by_origin.iter().filter(move |(_, told)| has(told)).map(|(origin, _)| *origin)
    }
}

/// How much of an age a report still counts: whole for half of its life, in which the next one comes, and then less and less.
pub fn weight(age: Micros, life: Micros) -> f64 {
    let left = (life - age) as f64 / life.max(1) as f64;
    (left * 2.0).clamp(0.0, 1.0)
}
