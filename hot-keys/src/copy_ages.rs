//! What this process has seen of copies: how far behind a guest's copy of a key usually is, and guests that had none.

use crate::{Key, Micros};
use std::collections::HashMap;

/// Pauses after a guest that had no copy, or none new enough: doubled with each miss in a row.
const INITIAL_BACKOFF_MICROS: Micros = 200_000;
const MAX_BACKOFF_MICROS: Micros = 6_400_000;
/// Weight of an older, shorter lag against a new one.
const AGE_SMOOTHING: f64 = 0.8;
/// Pairs that are remembered.
const MAX_PAIRS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct CopyAge {
    /// How far behind the present its copy was when it answered; a longer one counts at once, a shorter one by and by.
    age: Micros,
    consecutive_misses: u32,
    retry_at: Micros,
    updated_at: Micros,
}

#[derive(Default)]
pub struct CopyAges(HashMap<(Key, u32), CopyAge>);

impl CopyAges {
    /// How far behind a guest's copy is likely to be now; none while it is not to be tried. `usual`: before anything was seen.
    pub fn expected_age(&self, now: Micros, key: Key, guest: u32, usual: Micros) -> Option<Micros> {
        match self.0.get(&(key, guest)) {
            Some(known) if known.retry_at > now => None,
            Some(known) => Some(known.age),
            None => Some(usual),
        }
    }

    /// It answered from a copy with this position.
    pub fn record_hit(&mut self, now: Micros, key: Key, guest: u32, position: Micros) {
        let lag = (now - position).max(0);
        let known = self.entry(now, key, guest, lag);
        known.age =
            lag.max((known.age as f64 * AGE_SMOOTHING + lag as f64 * (1.0 - AGE_SMOOTHING)) as Micros);
        (known.consecutive_misses, known.retry_at, known.updated_at) = (0, now, now);
    }

    /// It had none that was new enough.
    pub fn record_miss(&mut self, now: Micros, key: Key, guest: u32, usual: Micros) {
        let known = self.entry(now, key, guest, usual);
        let pause = (INITIAL_BACKOFF_MICROS << known.consecutive_misses.min(16)).min(MAX_BACKOFF_MICROS);
        (known.consecutive_misses, known.retry_at, known.updated_at) =
            (known.consecutive_misses.saturating_add(1), now + pause, now);
    }

    /// A copy was written there: it is to be tried again.
    pub fn record_written(&mut self, now: Micros, key: Key, guest: u32) {
        if let Some(known) = self.0.get_mut(&(key, guest)) {
            known.retry_at = known.retry_at.min(now + INITIAL_BACKOFF_MICROS);
        }
    }

    fn entry(&mut self, now: Micros, key: Key, guest: u32, lag: Micros) -> &mut CopyAge {
        if self.0.len() >= MAX_PAIRS && !self.0.contains_key(&(key, guest)) {
            let oldest = self.0.iter().min_by_key(|(_, known)| known.updated_at).map(|(pair, _)| *pair);
            oldest.map(|pair| self.0.remove(&pair));
        }
        self.0.entry((key, guest)).or_insert(CopyAge {
            age: lag,
            consecutive_misses: 0,
            retry_at: now,
            updated_at: now,
        })
    }

    /// Only pairs of these keys are of use.
    pub fn retain_keys(&mut self, hot: impl Fn(Key) -> bool) {
        self.0.retain(|(key, _), _| hot(*key));
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
