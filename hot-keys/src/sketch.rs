//! The keys that one process is asked for most, with rates that are never more than the truth: space-saving counters that halve with
//! time, behind a doorkeeper that lets a key in when it comes a second time.

use crate::{Key, Micros, mix};
use birchreach_fault_injection::fault_injected;
use std::collections::HashMap;

/// Counters; a key whose share of all reads is over 1 in so many has one.
pub const MAX_COUNTERS: usize = 256;
/// Counts fade by a factor of e in this time: what a rate is a mean over.
pub const DECAY_MICROS: Micros = 5_000_000;
/// How often they do, in steps.
const DECAY_STEP_MICROS: Micros = 250_000;
/// Bits of each of the doorkeeper's two generations, how many a key has, and how long one lasts: a key that comes once in a
/// generation is let in.
const DOORKEEPER_BITS: usize = 1 << 18;
const DOORKEEPER_HASHES: u64 = 3;
const DOORKEEPER_GENERATION_MICROS: Micros = 30_000_000;
/// A generation that is so full lets one in 64 in by chance, and ends: some 25,000 keys.
const DOORKEEPER_FULL_BITS: usize = DOORKEEPER_BITS / 4;

#[derive(Clone, Debug)]
struct Counter {
    count: f64,
    /// How much of it others may have left behind.
    error: f64,
    key_bytes: Box<[u8]>,
}

struct Doorkeeper {
    generations: [Vec<u64>; 2],
    bits_set: usize,
    generation_since: Micros,
}

impl Doorkeeper {
    /// Has it come before?
    fn check_and_insert(&mut self, now: Micros, key: Key) -> bool {
        if now - self.generation_since >= DOORKEEPER_GENERATION_MICROS
            || self.bits_set >= DOORKEEPER_FULL_BITS
        {
            self.generations.swap(0, 1);
            self.generations[0].iter_mut().for_each(|word| *word = 0);
            (self.bits_set, self.generation_since) = (0, now);
        }
        let bit = |n: u64| mix(key.hash ^ mix(u64::from(key.group) ^ n << 32)) as usize % DOORKEEPER_BITS;
        let has = |bits: &[u64]| (0..DOORKEEPER_HASHES).all(|n| bits[bit(n) / 64] & 1 << (bit(n) % 64) != 0);
        let known = self.generations.iter().any(|bits| has(bits));
        for at in (0..DOORKEEPER_HASHES).map(bit) {
            let word = &mut self.generations[0][at / 64];
            self.bits_set += usize::from(*word & 1 << (at % 64) == 0);
            *word |= 1 << (at % 64);
        }
        known
    }
}

pub struct ReadSketch {
    counters: HashMap<Key, Counter>,
    doorkeeper: Doorkeeper,
    decayed_at: Micros,
    started_at: Micros,
}

impl ReadSketch {
    pub fn new(now: Micros) -> ReadSketch {
        let bits = || vec![0; DOORKEEPER_BITS / 64];
        let doorkeeper = Doorkeeper { generations: [bits(), bits()], bits_set: 0, generation_since: now };
        ReadSketch {
            counters: HashMap::with_capacity(MAX_COUNTERS),
            doorkeeper,
            decayed_at: now,
            started_at: now,
        }
    }

    fn decay(&mut self, now: Micros) {
        let steps = (now - self.decayed_at) / DECAY_STEP_MICROS;
        if steps <= 0 {
            return;
        }
        self.decayed_at += steps * DECAY_STEP_MICROS;
        let kept = (-((steps * DECAY_STEP_MICROS) as f64) / DECAY_MICROS as f64).exp();
        self.counters.retain(|_, c| {
            (c.count, c.error) = (c.count * kept, c.error * kept);
            c.count >= 0.01
        });
    }

    /// A read of a key.
    pub fn record_read(&mut self, now: Micros, key: Key, text: &[u8]) {
        self.decay(now);
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += 1.0;
            return;
        }
        if !self.doorkeeper.check_and_insert(now, key) && !fault_injected!(SkipsDoorkeeper) {
            return;
        }
        let mut error = 0.0;
        if self.counters.len() >= MAX_COUNTERS {
            let least = self.counters.iter().min_by(|a, b| a.1.count.total_cmp(&b.1.count));
            let Some((least, count)) = least.map(|(key, c)| (*key, c.count)) else { return };
            self.counters.remove(&least);
            error = count;
        }
        self.counters.insert(key, Counter { count: error + 1.0, error, key_bytes: text.into() });
    }

    /// Reads a second of a key, never more than there were.
    fn reads_per_s(&self, now: Micros, c: &Counter) -> f64 {
        // A young sketch has not had the time to fill: its mean is over what it has seen.
        let filled =
            1.0 - (-((now - self.started_at).max(DECAY_STEP_MICROS) as f64) / DECAY_MICROS as f64).exp();
        let sure = if fault_injected!(IncludesCounterError) { c.count } else { c.count - c.error };
        sure.max(0.0) / (DECAY_MICROS as f64 / 1e6) / filled
    }

    /// The keys with the highest rates, the highest first.
    pub fn top_keys(&mut self, now: Micros, most: usize) -> Vec<(Key, f64)> {
        self.decay(now);
        let mut all: Vec<(Key, f64)> =
            self.counters.iter().map(|(key, c)| (*key, self.reads_per_s(now, c))).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }

    /// The text of a key that is counted.
    pub fn key_bytes(&self, key: Key) -> Option<&[u8]> {
        self.counters.get(&key).map(|c| &*c.key_bytes)
    }

    pub fn len(&self) -> usize {
        self.counters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
