//! What this process observed of copies: how old each holder's copy of a key is likely to be, and which holders had none.

use crate::{Key, Micros};
use std::collections::HashMap;

/// How long a holder is not queried after a miss; doubled with each further miss in a row, up to the maximum.
const INITIAL_BACKOFF_MICROS: Micros = 200_000;
/// The longest time for which a holder is not queried.
const MAX_BACKOFF_MICROS: Micros = 6_400_000;
/// Doublings after which the backoff is at its maximum anyway; it keeps the shift in range.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The weight of the older age in the average when a newer copy is seen.
const AGE_SMOOTHING: f64 = 0.8;
/// Locations that are kept; the one that was updated longest ago is evicted.
const MAX_LOCATIONS: usize = 1_024;

/// How old a copy is likely to be, and when its holder may be queried.
#[derive(Clone, Copy, Debug)]
struct CopyAge {
    /// How old the copy was when it served a read. An older copy counts at once, a newer one is averaged in.
    age: Micros,
    consecutive_misses: u32,
    /// Until then the holder is not queried.
    retry_at: Micros,
    /// When the holder answered last.
    updated_at: Micros,
}

/// A key, and a database that holds a copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CopyLocation {
    key: Key,
    holder: u32,
}

/// The ages of copies, by location.
#[derive(Default)]
pub(crate) struct CopyAges(HashMap<CopyLocation, CopyAge>);

impl CopyAges {
    /// How old a holder's copy is likely to be, `default_age` if none was seen yet; none while the holder is not to be queried.
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

    /// Records that a holder had no copy that was recent enough.
    pub(crate) fn record_miss(&mut self, now: Micros, key: Key, holder: u32, default_age: Micros) {
        let copy = self.entry(now, key, holder, default_age);
        let doublings = copy.consecutive_misses.min(MAX_BACKOFF_DOUBLINGS);
        copy.retry_at = now + (INITIAL_BACKOFF_MICROS << doublings).min(MAX_BACKOFF_MICROS);
        copy.consecutive_misses = copy.consecutive_misses.saturating_add(1);
        copy.updated_at = now;
    }

    /// Records that a copy was written to the holder: its backoff ends soon.
    pub(crate) fn record_written(&mut self, now: Micros, key: Key, holder: u32) {
        if let Some(copy) = self.0.get_mut(&CopyLocation { key, holder }) {
            copy.retry_at = copy.retry_at.min(now + INITIAL_BACKOFF_MICROS);
        }
    }

    /// The entry of a location; a new one with this age, for which another may be evicted.
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

    /// Removes the copies of all other keys.
    pub(crate) fn retain_keys(&mut self, is_hot: impl Fn(Key) -> bool) {
        self.0.retain(|location, _| is_hot(location.key));
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
