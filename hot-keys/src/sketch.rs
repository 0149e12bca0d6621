//! Estimation of the keys that one process reads most often, with rates that are never above the true ones. The sketch
//! consists of decaying space-saving counters, and of a doorkeeper that admits a key when it is read for the second
//! time.

use crate::{Key, Micros, mix};
use birchreach_fault_injection::fault_injected;
use std::collections::HashMap;

/// The number of counters. A key that gets more than 1/256 of all reads has a counter.
const MAX_COUNTERS: usize = 256;
/// Counts decay by a factor of e in this time. A rate is therefore a mean over this time.
const DECAY_MICROS: Micros = 5_000_000;
const DECAY_STEP_MICROS: Micros = 250_000;
/// A counter whose decayed count falls below this value is removed.
const MIN_COUNT: f64 = 0.01;
/// The size of each of the doorkeeper's two Bloom filters.
const DOORKEEPER_BITS: usize = 1 << 18;
/// The number of bits that a key sets in a Bloom filter.
const DOORKEEPER_HASHES: u64 = 3;
/// A filter accepts keys for this long before the other filter replaces it. A key that is read at least once in each
/// such period is admitted.
const DOORKEEPER_GENERATION_MICROS: Micros = 30_000_000;
/// A filter with this many set bits is full and is replaced early. This happens after about 25,000 keys. A full filter
/// admits one new key in 64 as a false positive.
const DOORKEEPER_FULL_BITS: usize = DOORKEEPER_BITS / 4;
const BITS_PER_WORD: usize = 64;
const MICROS_PER_SECOND: f64 = 1e6;

/// A key and its read rate at this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRate {
    /// The key that was read.
    pub key: Key,
    /// Reads per second, never more than the true rate.
    pub reads_per_s: f64,
}

#[derive(Clone, Debug)]
struct Counter {
    /// The decayed number of reads.
    count: f64,
    /// The part of the count that may belong to keys that had the counter before.
    error: f64,
    key_bytes: Box<[u8]>,
}

/// Two Bloom filters of the keys that were read recently.
struct Doorkeeper {
    /// The current filter, and the previous one.
    generations: [Vec<u64>; 2],
    /// The number of bits that are set in the current filter.
    bits_set: usize,
    generation_started_at: Micros,
}

impl Doorkeeper {
    fn new(now: Micros) -> Doorkeeper {
        let filter = || vec![0; DOORKEEPER_BITS / BITS_PER_WORD];
        Doorkeeper { generations: [filter(), filter()], bits_set: 0, generation_started_at: now }
    }

    /// Inserts the key into the current filter. Returns whether one of the filters already contained it, which may be a
    /// false positive.
    fn check_and_insert(&mut self, now: Micros, key: Key) -> bool {
        self.rotate_if_due(now);
        let bit = |hash_index: u64| {
            mix(key.hash ^ mix(u64::from(key.group) ^ hash_index << 32)) as usize % DOORKEEPER_BITS
        };
        let mask = |bit: usize| 1u64 << (bit % BITS_PER_WORD);
        let contains = |filter: &[u64]| {
            (0..DOORKEEPER_HASHES).map(bit).all(|bit| filter[bit / BITS_PER_WORD] & mask(bit) != 0)
        };
        let is_known = self.generations.iter().any(|filter| contains(filter));
        for bit in (0..DOORKEEPER_HASHES).map(bit) {
            let word = &mut self.generations[0][bit / BITS_PER_WORD];
            self.bits_set += usize::from(*word & mask(bit) == 0);
            *word |= mask(bit);
        }
        is_known
    }

    /// Replaces the current filter with an empty one if it is too old or full.
    fn rotate_if_due(&mut self, now: Micros) {
        let is_too_old = now - self.generation_started_at >= DOORKEEPER_GENERATION_MICROS;
        if is_too_old || self.bits_set >= DOORKEEPER_FULL_BITS {
            self.generations.swap(0, 1);
            self.generations[0].fill(0);
            self.bits_set = 0;
            self.generation_started_at = now;
        }
    }
}

/// A sketch of the reads of one process, which estimates the rates of the most frequent keys.
pub struct ReadSketch {
    counters: HashMap<Key, Counter>,
    doorkeeper: Doorkeeper,
    decayed_at: Micros,
    started_at: Micros,
}

impl ReadSketch {
    /// Creates an empty sketch. The time before `now` does not lower the rates.
    pub fn new(now: Micros) -> ReadSketch {
        ReadSketch {
            counters: HashMap::with_capacity(MAX_COUNTERS),
            doorkeeper: Doorkeeper::new(now),
            decayed_at: now,
            started_at: now,
        }
    }

    /// Decays all counts by the time since the last decay, rounded down to complete steps, and removes counters that
    /// are nearly zero.
    fn decay(&mut self, now: Micros) {
        let steps = (now - self.decayed_at) / DECAY_STEP_MICROS;
        if steps <= 0 {
            return;
        }
        self.decayed_at += steps * DECAY_STEP_MICROS;
        let factor = (-((steps * DECAY_STEP_MICROS) as f64) / DECAY_MICROS as f64).exp();
        self.counters.retain(|_, counter| {
            counter.count *= factor;
            counter.error *= factor;
            counter.count >= MIN_COUNT
        });
    }

    /// Counts a read of a key. The bytes are kept as long as the key has a counter.
    pub fn record_read(&mut self, now: Micros, key: Key, key_bytes: &[u8]) {
        self.decay(now);
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += 1.0;
            return;
        }
        if !self.doorkeeper.check_and_insert(now, key) && !fault_injected!(SkipsDoorkeeper) {
            return;
        }
        let error = self.free_counter();
        self.counters.insert(key, Counter { count: error + 1.0, error, key_bytes: key_bytes.into() });
    }

    /// Removes the counter with the lowest count if all counters are in use. Returns its count, which is the maximum
    /// error of the key that replaces it, or 0 if a counter was free.
    fn free_counter(&mut self) -> f64 {
        if self.counters.len() < MAX_COUNTERS {
            return 0.0;
        }
        let lowest = self.counters.iter().min_by(|a, b| a.1.count.total_cmp(&b.1.count)).map(|(key, _)| *key);
        lowest.and_then(|key| self.counters.remove(&key)).map_or(0.0, |counter| counter.count)
    }

    /// Returns the reads per second of a key, never more than the true rate.
    fn reads_per_s(&self, now: Micros, counter: &Counter) -> f64 {
        // The rate of a sketch that is younger than the decay time is a mean over the age of the sketch.
        let age = (now - self.started_at).max(DECAY_STEP_MICROS);
        let filled = 1.0 - (-(age as f64) / DECAY_MICROS as f64).exp();
        let guaranteed_count =
            counter.count - if fault_injected!(IncludesCounterError) { 0.0 } else { counter.error };
        guaranteed_count.max(0.0) / (DECAY_MICROS as f64 / MICROS_PER_SECOND) / filled
    }

    /// Returns at most `count` keys with the highest rates, in descending order of rate.
    pub fn top_keys(&mut self, now: Micros, count: usize) -> Vec<KeyRate> {
        self.decay(now);
        let rate = |(key, counter): (&Key, &Counter)| KeyRate {
            key: *key,
            reads_per_s: self.reads_per_s(now, counter),
        };
        let mut rates: Vec<KeyRate> = self.counters.iter().map(rate).collect();
        rates.sort_by(|a, b| b.reads_per_s.total_cmp(&a.reads_per_s).then(a.key.cmp(&b.key)));
        rates.truncate(count);
        rates
    }

    /// Returns the bytes of a key, or `None` if the key has no counter.
    pub fn key_bytes(&self, key: Key) -> Option<&[u8]> {
        self.counters.get(&key).map(|counter| &*counter.key_bytes)
    }

    /// Returns the number of counters in use.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether no counter is in use.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
