//! Whom a newcomer asks, how long its start waits for that, and whom it asks again later. Owns the table of donors; never
//! holds a start longer than its patience.

use crate::Micros;
use std::collections::BTreeMap;

/// Donors known at once: those that were set, and those that others named.
pub const MOST_DONORS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Addresses, as the options have them.
    pub donors: Vec<String>,
    /// Asked at once at the start.
    pub at_once: usize,
    /// The start waits so long at most.
    pub patience: Micros,
    /// One donor is asked again about so often; 0 for never.
    pub refresh: Micros,
    /// An answer that is not whole after this time is given up.
    pub timeout: Micros,
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            donors: Vec::new(),
            at_once: 3,
            patience: 300_000,
            refresh: 10_000_000,
            timeout: 2_000_000,
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Asked(Micros),
}

#[derive(Clone, Debug)]
struct Donor {
    state: State,
    /// Failures in a row, and when it may be asked again.
    failures: u32,
    from: Micros,
    /// The options name it: others are forgotten first.
    set: bool,
}

/// What became of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// All of it came, and it names other donors.
    Whole(Vec<String>),
    /// It has no time now.
    Busy(Micros),
    Failed,
}

pub struct Joiner {
    settings: Settings,
    donors: BTreeMap<String, Donor>,
    rng: fastrand::Rng,
    started: Micros,
    ready: bool,
    refresh_at: Micros,
    /// Whole answers so far.
    pub heard: u64,
}

/// The longest wait before a donor that failed is asked again, doubled from a tenth of a second.
const LONGEST_WAIT: Micros = 30_000_000;

impl Joiner {
    pub fn new(settings: Settings, now: Micros) -> Joiner {
        let donor =
            |name: &String| (name.clone(), Donor { state: State::Idle, failures: 0, from: now, set: true });
        let donors: BTreeMap<_, _> = settings.donors.iter().take(MOST_DONORS).map(donor).collect();
        Joiner {
            ready: donors.is_empty(),
            donors,
            rng: fastrand::Rng::with_seed(settings.seed),
            started: now,
            refresh_at: now,
            heard: 0,
            settings,
        }
    }

    /// The start need not wait any more: somebody has told all, everybody failed, or the patience is over.
    pub fn ready(&self) -> bool {
        self.ready
    }

    fn asked(&self) -> usize {
        self.donors.values().filter(|d| matches!(d.state, State::Asked(_))).count()
    }

    /// Whom to ask now; each must come back through [`Joiner::ended`].
    pub fn step(&mut self, now: Micros) -> Vec<String> {
        let late: Vec<String> = self
            .donors
            .iter()
            .filter(|(_, d)| matches!(d.state, State::Asked(at) if now - at >= self.settings.timeout))
            .map(|(name, _)| name.clone())
            .collect();
        late.iter().for_each(|name| self.ended(now, name, End::Failed));
        self.ready |= now - self.started >= self.settings.patience;
        let starting = self.heard == 0;
        let most = if starting { self.settings.at_once } else { 1 };
        if !starting && (self.settings.refresh == 0 || now < self.refresh_at) {
            return Vec::new();
        }
        let mut able: Vec<String> = self
            .donors
            .iter()
            .filter(|(_, d)| d.state == State::Idle && d.from <= now)
            .map(|(name, _)| name.clone())
            .collect();
        // A hundred newcomers are not to ask the same three.
        self.rng.shuffle(&mut able);
        able.truncate(most.saturating_sub(self.asked()));
        for name in &able {
            if let Some(donor) = self.donors.get_mut(name) {
                donor.state = State::Asked(now);
            }
        }
        if !starting && !able.is_empty() {
            self.put_off(now);
        }
        able
    }

    fn put_off(&mut self, now: Micros) {
        let every = self.settings.refresh;
        self.refresh_at = now + every / 2 + self.rng.i64(0..=every);
    }

    /// What became of a donor that was asked.
    pub fn ended(&mut self, now: Micros, name: &str, end: End) {
        let Some(donor) = self.donors.get_mut(name) else { return };
        donor.state = State::Idle;
        match end {
            End::Whole(named) => {
                (donor.failures, donor.from) = (0, now);
                self.heard += 1;
                self.ready = true;
                self.put_off(now);
                for name in named {
                    if self.donors.len() < MOST_DONORS && name.len() <= 64 {
                        let new = Donor { state: State::Idle, failures: 0, from: now, set: false };
                        self.donors.entry(name).or_insert(new);
                    }
                }
            }
            End::Busy(wait) => donor.from = now + wait.clamp(10_000, LONGEST_WAIT),
            End::Failed => {
                donor.failures += 1;
                let wait = (100_000 << donor.failures.min(9)).min(LONGEST_WAIT);
                donor.from = now + wait / 2 + self.rng.i64(0..=wait / 2);
                if !donor.set && donor.failures >= 3 {
                    self.donors.remove(name);
                }
            }
        }
        // With nobody left to hope for, waiting would be for nothing.
        let hope = self.donors.values().any(|d| d.failures == 0);
        self.ready |= !hope;
    }

    /// When [`Joiner::step`] may have something to do, unless something ends first.
    pub fn next_change(&self, now: Micros) -> Micros {
        let patience = (!self.ready).then_some(self.started + self.settings.patience);
        let lost = self.donors.values().filter_map(|d| match d.state {
            State::Asked(at) => Some(at + self.settings.timeout),
            State::Idle => None,
        });
        let able = self.donors.values().filter(|d| d.state == State::Idle).map(|d| d.from).min();
        let again = match able {
            Some(from) if self.heard > 0 && self.settings.refresh > 0 => Some(from.max(self.refresh_at)),
            Some(from) if self.heard == 0 && self.asked() < self.settings.at_once => Some(from),
            _ => None,
        };
        lost.chain(patience).chain(again).min().map_or(Micros::MAX, |at| at.max(now + 1))
    }
}
