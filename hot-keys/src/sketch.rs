//! The keys that one process reads most, with rates that are never above the true ones: space-saving counters that decay, behind a
//! doorkeeper that admits a key when it is read a second time.

use crate::{Key, Micros, mix};
use birchreach_fault_injection::fault_injected;
use std::collections::HashMap;

/// Counters. A key that gets more than this fraction of all reads, one in 256, has a counter.
const MAX_COUNTERS: usize = 256;
/// Counts decay by a factor of e in this time, over which a rate is thus a mean.
const DECAY_MICROS: Micros = 5_000_000;
/// Counts decay in steps of this length.
const DECAY_STEP_MICROS: Micros = 250_000;
/// A counter below this has decayed and is removed.
const MIN_COUNT: f64 = 0.01;
/// Bits of each of the doorkeeper's two Bloom filters.
const DOORKEEPER_BITS: usize = 1 << 18;
/// Bits that a key sets in a Bloom filter.
const DOORKEEPER_HASHES: u64 = 3;
/// How long a filter takes keys before the other one takes its place; a key that is read once in this time is admitted.
const DOORKEEPER_GENERATION_MICROS: Micros = 30_000_000;
/// Bits set at which a filter is full and replaced early, after some 25,000 keys: it admits one new key in 64 by chance.
const DOORKEEPER_FULL_BITS: usize = DOORKEEPER_BITS / 4;
const BITS_PER_WORD: usize = 64;
const MICROS_PER_SECOND: f64 = 1e6;

/// A key and its rate at this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRate {
    /// The key.
    pub key: Key,
    /// Reads a second, never more than there were.
    pub reads_per_s: f64,
}

/// The counter of one key.
#[derive(Clone, Debug)]
struct Counter {
    /// Reads, each of which decays with its age.
    count: f64,
    /// How much of the count may be of the key that had the counter before.
    error: f64,
    key_bytes: Box<[u8]>,
}

/// Two Bloom filters: the current one, and the one before.
struct Doorkeeper {
    generations: [Vec<u64>; 2],
    /// Bits that are set in the current filter.
    bits_set: usize,
    generation_since: Micros,
}

impl Doorkeeper {
    fn new(now: Micros) -> Doorkeeper {
        let filter = || vec![0; DOORKEEPER_BITS / BITS_PER_WORD];
        Doorkeeper { generations: [filter(), filter()], bits_set: 0, generation_since: now }
    }

    /// Whether the key was read before, as far as the filters know; it is entered.
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

    /// Replaces the current filter by an empty one, if it is too old or full.
    fn rotate_if_due(&mut self, now: Micros) {
        let is_too_old = now - self.generation_since >= DOORKEEPER_GENERATION_MICROS;
        if is_too_old || self.bits_set >= DOORKEEPER_FULL_BITS {
            self.generations.swap(0, 1);
            self.generations[0].fill(0);
            self.bits_set = 0;
            self.generation_since = now;
        }
    }
}

/// Counts the reads of one process, by key.
pub struct ReadSketch {
    counters: HashMap<Key, Counter>,
    doorkeeper: Doorkeeper,
    decayed_at: Micros,
    started_at: Micros,
}

impl ReadSketch {
    /// A sketch that has seen no read.
    pub fn new(now: Micros) -> ReadSketch {
        ReadSketch {
            counters: HashMap::with_capacity(MAX_COUNTERS),
            doorkeeper: Doorkeeper::new(now),
            decayed_at: now,
            started_at: now,
        }
    }

    /// Decays all counts by the time since the last call, in whole steps, and removes counters that are nearly zero.
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

    /// Removes the lowest counter if all are in use, and returns its count, which is the error of the key that replaces it.
    fn free_counter(&mut self) -> f64 {
        if self.counters.len() < MAX_COUNTERS {
            return 0.0;
        }
        let lowest = self.counters.iter().min_by(|a, b| a.1.count.total_cmp(&b.1.count)).map(|(key, _)| *key);
        lowest.and_then(|key| self.counters.remove(&key)).map_or(0.0, |counter| counter.count)
    }

    /// Reads a second of a key, never more than there were.
    fn reads_per_s(&self, now: Micros, counter: &Counter) -> f64 {
        // A sketch that is younger than the decay time has a mean over its own age.
        let age = (now - self.started_at).max(DECAY_STEP_MICROS);
        let filled = 1.0 - (-(age as f64) / DECAY_MICROS as f64).exp();
        let certain = counter.count - if fault_injected!(IncludesCounterError) { 0.0 } else { counter.error };
        certain.max(0.0) / (DECAY_MICROS as f64 / MICROS_PER_SECOND) / filled
    }

    /// The keys with the highest rates, the highest first.
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

    /// The bytes of a key that has a counter.
    pub fn key_bytes(&self, key: Key) -> Option<&[u8]> {
        self.counters.get(&key).map(|counter| &*counter.key_bytes)
    }

    /// Counters in use.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Whether no counter is in use.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
