//! What this process has seen of copies: how far behind a guest's copy of a key usually is, and guests that had none.

use crate::{Key, Micros};
use std::collections::HashMap;

/// Pauses after a guest that had no copy, or none new enough: doubled with each miss in a row.
const FIRST_PAUSE: Micros = 200_000;
const LONGEST_PAUSE: Micros = 6_400_000;
/// Weight of an older, shorter lag against a new one.
const KEPT: f64 = 0.8;
/// Pairs that are remembered.
const MOST: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Known {
    /// How far behind the present its copy was when it answered; a longer one counts at once, a shorter one by and by.
    lag: Micros,
    misses: u32,
    until: Micros,
    at: Micros,
}

#[derive(Default)]
pub struct Learnt(HashMap<(Key, u32), Known>);

impl Learnt {
    /// How far behind a guest's copy is likely to be now; none while it is not to be tried. `usual`: before anything was seen.
    pub fn lag(&self, now: Micros, key: Key, guest: u32, usual: Micros) -> Option<Micros> {
        match self.0.get(&(key, guest)) {
            Some(known) if known.until > now => None,
            Some(known) => Some(known.lag),
            None => Some(usual),
        }
    }

    /// It answered from a copy with this position.
    pub fn served(&mut self, now: Micros, key: Key, guest: u32, position: Micros) {
        let lag = (now - position).max(0);
        let known = self.entry(now, key, guest, lag);
        known.lag = lag.max((known.lag as f64 * KEPT + lag as f64 * (1.0 - KEPT)) as Micros);
        (known.misses, known.until, known.at) = (0, now, now);
    }

    /// It had none that was new enough.
    pub fn missed(&mut self, now: Micros, key: Key, guest: u32, usual: Micros) {
        let known = self.entry(now, key, guest, usual);
        let pause = (FIRST_PAUSE << known.misses.min(16)).min(LONGEST_PAUSE);
        (known.misses, known.until, known.at) = (known.misses.saturating_add(1), now + pause, now);
    }

    /// A copy was written there: it is to be tried again.
    pub fn written(&mut self, now: Micros, key: Key, guest: u32) {
        if let Some(known) = self.0.get_mut(&(key, guest)) {
            known.until = known.until.min(now + FIRST_PAUSE);
        }
    }

    fn entry(&mut self, now: Micros, key: Key, guest: u32, lag: Micros) -> &mut Known {
        if self.0.len() >= MOST && !self.0.contains_key(&(key, guest)) {
            let oldest = self.0.iter().min_by_key(|(_, known)| known.at).map(|(pair, _)| *pair);
            oldest.map(|pair| self.0.remove(&pair));
        }
        self.0.entry((key, guest)).or_insert(Known { lag, misses: 0, until: now, at: now })
    }

    /// Only pairs of these keys are of use.
    pub fn keep(&mut self, hot: impl Fn(Key) -> bool) {
        self.0.retain(|(key, _), _| hot(*key));
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
