//! The keys that one process is asked for most, with rates that are never more than the truth: space-saving counters that halve with
//! time, behind a doorkeeper that lets a key in when it comes a second time.

use crate::{Key, Micros, mix};
use std::collections::HashMap;

/// Counters; a key whose share of all reads is over 1 in so many has one.
pub const COUNTERS: usize = 256;
/// Counts fade by a factor of e in this time: what a rate is a mean over.
pub const FADE: Micros = 5_000_000;
/// How often they do, in steps.
const STEP: Micros = 250_000;
/// Bits of each of the doorkeeper's two generations, how many a key has, and how long one lasts: a key that comes once in a
/// generation is let in.
const BITS: usize = 1 << 18;
const EACH: u64 = 3;
const GENERATION: Micros = 30_000_000;
/// A generation that is so full lets one in 64 in by chance, and ends: some 25,000 keys.
const FULL: usize = BITS / 4;

#[derive(Clone, Debug)]
struct Counter {
    count: f64,
    /// How much of it others may have left behind.
    error: f64,
    text: Box<[u8]>,
}

struct Doorkeeper {
    bits: [Vec<u64>; 2],
    set: usize,
    since: Micros,
}

impl Doorkeeper {
    /// Has it come before?
    fn knows(&mut self, now: Micros, key: Key) -> bool {
        if now - self.since >= GENERATION || self.set >= FULL {
            self.bits.swap(0, 1);
            self.bits[0].iter_mut().for_each(|word| *word = 0);
            (self.set, self.since) = (0, now);
        }
        let bit = |n: u64| mix(key.hash ^ mix(u64::from(key.group) ^ n << 32)) as usize % BITS;
        let has = |bits: &[u64]| (0..EACH).all(|n| bits[bit(n) / 64] & 1 << (bit(n) % 64) != 0);
        let known = self.bits.iter().any(|bits| has(bits));
        for at in (0..EACH).map(bit) {
            let word = &mut self.bits[0][at / 64];
            self.set += usize::from(*word & 1 << (at % 64) == 0);
            *word |= 1 << (at % 64);
        }
        known
    }
}

pub struct Sketch {
    counters: HashMap<Key, Counter>,
    doorkeeper: Doorkeeper,
    faded: Micros,
    since: Micros,
}

impl Sketch {
    pub fn new(now: Micros) -> Sketch {
        let bits = || vec![0; BITS / 64];
        let doorkeeper = Doorkeeper { bits: [bits(), bits()], set: 0, since: now };
        Sketch { counters: HashMap::with_capacity(COUNTERS), doorkeeper, faded: now, since: now }
    }

    fn fade(&mut self, now: Micros) {
        let steps = (now - self.faded) / STEP;
        if steps <= 0 {
            return;
        }
        self.faded += steps * STEP;
        let kept = (-((steps * STEP) as f64) / FADE as f64).exp();
        self.counters.retain(|_, c| {
            (c.count, c.error) = (c.count * kept, c.error * kept);
            c.count >= 0.01
        });
    }

    /// A read of a key.
    pub fn count(&mut self, now: Micros, key: Key, text: &[u8]) {
        self.fade(now);
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += 1.0;
            return;
        }
        if !self.doorkeeper.knows(now, key) && !crate::faulty!(NoDoorkeeper) {
            return;
        }
        let mut error = 0.0;
        if self.counters.len() >= COUNTERS {
            let least = self.counters.iter().min_by(|a, b| a.1.count.total_cmp(&b.1.count));
            let Some((least, count)) = least.map(|(key, c)| (*key, c.count)) else { return };
            self.counters.remove(&least);
            error = count;
        }
        self.counters.insert(key, Counter { count: error + 1.0, error, text: text.into() });
    }

    /// Reads a second of a key, never more than there were.
    fn rate(&self, now: Micros, c: &Counter) -> f64 {
        // A young sketch has not had the time to fill: its mean is over what it has seen.
        let filled = 1.0 - (-((now - self.since).max(STEP) as f64) / FADE as f64).exp();
        let sure = if crate::faulty!(ReportsTheError) { c.count } else { c.count - c.error };
        sure.max(0.0) / (FADE as f64 / 1e6) / filled
    }

    /// The keys with the highest rates, the highest first.
    pub fn top(&mut self, now: Micros, most: usize) -> Vec<(Key, f64)> {
        self.fade(now);
        let mut all: Vec<(Key, f64)> =
            self.counters.iter().map(|(key, c)| (*key, self.rate(now, c))).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }

    /// The text of a key that is counted.
    pub fn text(&self, key: Key) -> Option<&[u8]> {
        self.counters.get(&key).map(|c| &*c.text)
    }

    pub fn len(&self) -> usize {
        self.counters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }
}
