//! Whom a newcomer asks, how long its start waits for that, and whom it asks again later. Owns the table of donors; never
//! holds a start longer than its patience.

use crate::Micros;
use std::collections::BTreeMap;

/// Donors known at once: those that were set, and those that others named.
pub const MAX_PROVIDERS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct RequestSettings {
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

impl Default for RequestSettings {
    fn default() -> RequestSettings {
        RequestSettings {
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
    InFlight(Micros),
}

#[derive(Clone, Debug)]
struct KnownProvider {
    state: State,
    /// Failures in a row, and when it may be asked again.
    consecutive_failures: u32,
    eligible_at: Micros,
    /// The options name it: others are forgotten first.
    configured: bool,
}

/// What became of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// All of it came, and it names other donors.
    Complete(Vec<String>),
    /// It has no time now.
    Busy(Micros),
    Failed,
}

pub struct RequestScheduler {
    settings: RequestSettings,
    providers: BTreeMap<String, KnownProvider>,
    rng: fastrand::Rng,
    started: Micros,
    startup_complete: bool,
    refresh_at: Micros,
    /// Whole answers so far.
    pub completed_requests: u64,
}

/// The longest wait before a donor that failed is asked again, doubled from a tenth of a second.
const LONGEST_WAIT: Micros = 30_000_000;

impl RequestScheduler {
    pub fn new(settings: RequestSettings, now: Micros) -> RequestScheduler {
        let donor = |name: &String| {
            (
                name.clone(),
                KnownProvider {
                    state: State::Idle,
                    consecutive_failures: 0,
                    eligible_at: now,
                    configured: true,
                },
            )
        };
        let donors: BTreeMap<_, _> = settings.donors.iter().take(MAX_PROVIDERS).map(donor).collect();
        RequestScheduler {
            startup_complete: donors.is_empty(),
            providers: donors,
            rng: fastrand::Rng::with_seed(settings.seed),
            started: now,
            refresh_at: now,
            completed_requests: 0,
            settings,
        }
    }

    /// The start need not wait any more: somebody has told all, everybody failed, or the patience is over.
    pub fn is_startup_complete(&self) -> bool {
        self.startup_complete
    }

    fn in_flight_count(&self) -> usize {
        self.providers.values().filter(|d| matches!(d.state, State::InFlight(_))).count()
    }

    /// Whom to ask now; each must come back through [`Joiner::ended`].
    pub fn due_requests(&mut self, now: Micros) -> Vec<String> {
        let late: Vec<String> = self
            .providers
            .iter()
            .filter(|(_, d)| matches!(d.state, State::InFlight(at) if now - at >= self.settings.timeout))
            .map(|(name, _)| name.clone())
            .collect();
        late.iter().for_each(|name| self.record_outcome(now, name, RequestOutcome::Failed));
        self.startup_complete |= now - self.started >= self.settings.patience;
        let starting = self.completed_requests == 0;
        let most = if starting { self.settings.at_once } else { 1 };
        if !starting && (self.settings.refresh == 0 || now < self.refresh_at) {
            return Vec::new();
        }
        let mut able: Vec<String> = self
            .providers
            .iter()
            .filter(|(_, d)| d.state == State::Idle && d.eligible_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        // A hundred newcomers are not to ask the same three.
        self.rng.shuffle(&mut able);
        able.truncate(most.saturating_sub(self.in_flight_count()));
        for name in &able {
            if let Some(donor) = self.providers.get_mut(name) {
                donor.state = State::InFlight(now);
            }
        }
        if !starting && !able.is_empty() {
            self.schedule_refresh(now);
        }
        able
    }

    fn schedule_refresh(&mut self, now: Micros) {
        let every = self.settings.refresh;
        self.refresh_at = now + every / 2 + self.rng.i64(0..=every);
    }

    /// What became of a donor that was asked.
    pub fn record_outcome(&mut self, now: Micros, name: &str, end: RequestOutcome) {
        let Some(donor) = self.providers.get_mut(name) else { return };
        donor.state = State::Idle;
        match end {
            RequestOutcome::Complete(named) => {
                (donor.consecutive_failures, donor.eligible_at) = (0, now);
                self.completed_requests += 1;
                self.startup_complete = true;
                self.schedule_refresh(now);
                for name in named {
                    if self.providers.len() < MAX_PROVIDERS && name.len() <= 64 {
                        let new = KnownProvider {
                            state: State::Idle,
                            consecutive_failures: 0,
                            eligible_at: now,
                            configured: false,
                        };
                        self.providers.entry(name).or_insert(new);
                    }
                }
            }
            RequestOutcome::Busy(wait) => donor.eligible_at = now + wait.clamp(10_000, LONGEST_WAIT),
            RequestOutcome::Failed => {
                donor.consecutive_failures += 1;
                let wait = (100_000 << donor.consecutive_failures.min(9)).min(LONGEST_WAIT);
                donor.eligible_at = now + wait / 2 + self.rng.i64(0..=wait / 2);
                if !donor.configured && donor.consecutive_failures >= 3 {
                    self.providers.remove(name);
                }
            }
        }
        // With nobody left to hope for, waiting would be for nothing.
        let hope = self.providers.values().any(|d| d.consecutive_failures == 0);
        self.startup_complete |= !hope;
    }

    /// When [`Joiner::step`] may have something to do, unless something ends first.
    pub fn next_change(&self, now: Micros) -> Micros {
        let patience = (!self.startup_complete).then_some(self.started + self.settings.patience);
        let lost = self.providers.values().filter_map(|d| match d.state {
            State::InFlight(at) => Some(at + self.settings.timeout),
            State::Idle => None,
        });
        let able = self.providers.values().filter(|d| d.state == State::Idle).map(|d| d.eligible_at).min();
        let again = match able {
            Some(from) if self.completed_requests > 0 && self.settings.refresh > 0 => {
                Some(from.max(self.refresh_at))
            }
            Some(from) if self.completed_requests == 0 && self.in_flight_count() < self.settings.at_once => {
                Some(from)
            }
            _ => None,
        };
        lost.chain(patience).chain(again).min().map_or(Micros::MAX, |at| at.max(now + 1))
    }
}
