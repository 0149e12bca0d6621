//! Observed ages of copies: how old each holder's copy of a key is expected to be, and which holders recently had no
//! usable copy.

use crate::{Key, Micros};
use std::collections::HashMap;

/// A holder is not queried for this long after a miss. Each further consecutive miss doubles the time, up to
/// [`MAX_BACKOFF_MICROS`].
const INITIAL_BACKOFF_MICROS: Micros = 200_000;
const MAX_BACKOFF_MICROS: Micros = 6_400_000;
/// The backoff has reached its maximum before this many doublings. The limit keeps the shift in range.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The weight of the previous age in the moving average when a more recent copy is seen.
const AGE_SMOOTHING: f64 = 0.8;
/// The limit of the table. When it is full, the location that was updated least recently is evicted.
const MAX_LOCATIONS: usize = 1_024;

/// The expected age of a copy, and when its holder may be queried.
#[derive(Clone, Copy, Debug)]
struct CopyAge {
    /// The age of the copy when it served a read. An older copy replaces the value, a more recent one is averaged in.
    age: Micros,
    consecutive_misses: u32,
    /// The holder is not queried before this instant.
    retry_at: Micros,
    /// When the holder last answered a read.
    updated_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CopyLocation {
    key: Key,
    /// The caller's number for the database.
    holder: u32,
}

#[derive(Default)]
pub(crate) struct CopyAges(HashMap<CopyLocation, CopyAge>);

impl CopyAges {
    /// Returns the expected age of a holder's copy, `default_age` if no copy was observed there yet, and `None` during
    /// the holder's backoff.
    pub(crate) fn expected_age(
        &self,
        now: Micros,
        key: Key,
        holder: u32,
        default_age: Micros,
    ) -> Option<Micros> {
        match self.0.get(&CopyLocation { key, holder }) {
            Some(copy) if copy.retry_at > now => None,
            Some(copy) => Some(copy.age),
            None => Some(default_age),
        }
    }

    /// Records that a holder served a read from a copy with this position.
    pub(crate) fn record_hit(&mut self, now: Micros, key: Key, holder: u32, position: Micros) {
        let age = (now - position).max(0);
        let copy = self.entry(now, key, holder, age);
        let average = copy.age as f64 * AGE_SMOOTHING + age as f64 * (1.0 - AGE_SMOOTHING);
        copy.age = age.max(average as Micros);
        copy.consecutive_misses = 0;
        copy.retry_at = now;
        copy.updated_at = now;
    }

    /// Records that a holder had no copy, or none that was recent enough.
    pub(crate) fn record_miss(&mut self, now: Micros, key: Key, holder: u32, default_age: Micros) {
        let copy = self.entry(now, key, holder, default_age);
        let doublings = copy.consecutive_misses.min(MAX_BACKOFF_DOUBLINGS);
        copy.retry_at = now + (INITIAL_BACKOFF_MICROS << doublings).min(MAX_BACKOFF_MICROS);
        copy.consecutive_misses = copy.consecutive_misses.saturating_add(1);
        copy.updated_at = now;
    }

    /// Records that a copy was written to the holder. The rest of its backoff is reduced to at most the initial
    /// backoff.
    pub(crate) fn record_written(&mut self, now: Micros, key: Key, holder: u32) {
        if let Some(copy) = self.0.get_mut(&CopyLocation { key, holder }) {
            copy.retry_at = copy.retry_at.min(now + INITIAL_BACKOFF_MICROS);
        }
    }

    /// Returns the entry of a location. A missing entry is inserted with this age, and another one is evicted if the
    /// table is full.
    fn entry(&mut self, now: Micros, key: Key, holder: u32, age: Micros) -> &mut CopyAge {
        let location = CopyLocation { key, holder };
        if self.0.len() >= MAX_LOCATIONS && !self.0.contains_key(&location) {
            let oldest = self.0.iter().min_by_key(|(_, copy)| copy.updated_at).map(|(location, _)| *location);
            oldest.map(|location| self.0.remove(&location));
        }
        self.0.entry(location).or_insert(CopyAge {
            age,
            consecutive_misses: 0,
            retry_at: now,
            updated_at: now,
        })
    }

    /// Removes the entries of all keys that are not hot.
    pub(crate) fn retain_keys(&mut self, is_hot: impl Fn(Key) -> bool) {
        self.0.retain(|location, _| is_hot(location.key));
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
