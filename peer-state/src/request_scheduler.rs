//! Which peers a new proxy requests state from, how long its start waits for them, and when it requests state
//! again. Owns the table of providers; a start never waits longer than its limit.

use crate::Micros;
use std::collections::BTreeMap;

/// Providers in the table: configured ones, and those that others named.
const MAX_PROVIDERS: usize = 64;
/// The longest address of a provider that another named.
const MAX_ADDRESS_BYTES: usize = 64;
/// The backoff after a first failure is up to twice this; it doubles with each further one.
const BACKOFF_UNIT: Micros = 100_000;
/// The longest backoff, and the longest time to retry after that is honoured.
const MAX_BACKOFF: Micros = 30_000_000;
/// The backoff stops doubling after so many failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 9;
/// The shortest time to retry after that is honoured.
const MIN_RETRY_AFTER: Micros = 10_000;
/// A provider that is not configured is removed after so many failures in a row.
const FAILURES_BEFORE_REMOVAL: u32 = 3;

/// Settings of the requests for state.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSettings {
    /// Addresses of configured providers.
    pub providers: Vec<String>,
    /// Requests in flight at once during the start.
    pub max_concurrent_requests: usize,
    /// The longest time that the start waits for an answer.
    pub startup_timeout: Micros,
    /// The mean time between refreshes, each from one provider; 0 for none.
    pub refresh_interval: Micros,
    /// A request without a complete answer after this time has failed.
    pub request_timeout: Micros,
    /// The seed of the random choice among providers and of the jitter.
    pub seed: u64,
}

impl Default for RequestSettings {
    fn default() -> RequestSettings {
        RequestSettings {
            providers: Vec::new(),
            max_concurrent_requests: 3,
            startup_timeout: 300_000,
            refresh_interval: 10_000_000,
            request_timeout: 2_000_000,
            seed: 1,
        }
    }
}

/// Whether a request to a provider is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Idle,
    /// Since when.
    InFlight(Micros),
}

/// A provider in the table.
#[derive(Clone, Debug)]
struct KnownProvider {
    state: RequestState,
    consecutive_failures: u32,
    /// When it may be sent a request again.
    eligible_at: Micros,
    /// The options name it: it is never removed.
    configured: bool,
}

impl KnownProvider {
    fn new(now: Micros, configured: bool) -> KnownProvider {
        KnownProvider { state: RequestState::Idle, consecutive_failures: 0, eligible_at: now, configured }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer is complete; addresses of other providers.
    Complete(Vec<String>),
    /// The provider rejected it; retry after this time.
    Busy(Micros),
    /// No complete answer was received.
    Failed,
}

/// The requests of one proxy.
pub struct RequestScheduler {
    settings: RequestSettings,
    /// By address.
    providers: BTreeMap<String, KnownProvider>,
    rng: fastrand::Rng,
    started_at: Micros,
    startup_complete: bool,
    refresh_at: Micros,
    completed_requests: u64,
}

impl RequestScheduler {
    /// The requests of a proxy that starts now.
    pub fn new(settings: RequestSettings, now: Micros) -> RequestScheduler {
        let configured = settings.providers.iter().take(MAX_PROVIDERS).cloned();
        let providers: BTreeMap<_, _> =
            configured.map(|address| (address, KnownProvider::new(now, true))).collect();
        RequestScheduler {
            startup_complete: providers.is_empty(),
            providers,
            rng: fastrand::Rng::with_seed(settings.seed),
            started_at: now,
            refresh_at: now,
            completed_requests: 0,
            settings,
        }
    }

    /// Whether the start need not wait any longer: an answer is complete, all providers failed, or the
    /// timeout has passed.
    pub fn is_startup_complete(&self) -> bool {
        self.startup_complete
    }

    fn in_flight_count(&self) -> usize {
        self.providers.values().filter(|provider| matches!(provider.state, RequestState::InFlight(_))).count()
    }

    /// Providers to send a request to now; the end of each request is reported by
    /// [`RequestScheduler::record_outcome`].
    pub fn due_requests(&mut self, now: Micros) -> Vec<String> {
        self.fail_overdue_requests(now);
        self.startup_complete |= now - self.started_at >= self.settings.startup_timeout;
        let is_starting = self.completed_requests == 0;
        if !is_starting && (self.settings.refresh_interval == 0 || now < self.refresh_at) {
            return Vec::new();
        }
        let max_in_flight = if is_starting { self.settings.max_concurrent_requests } else { 1 };
        let mut chosen: Vec<String> = self
            .providers
            .iter()
            .filter(|(_, provider)| provider.state == RequestState::Idle && provider.eligible_at <= now)
            .map(|(address, _)| address.clone())
            .collect();
        // Proxies that start together distribute their requests over the providers.
        self.rng.shuffle(&mut chosen);
        chosen.truncate(max_in_flight.saturating_sub(self.in_flight_count()));
        for address in &chosen {
            if let Some(provider) = self.providers.get_mut(address) {
                provider.state = RequestState::InFlight(now);
            }
        }
        if !is_starting && !chosen.is_empty() {
            self.schedule_refresh(now);
        }
        chosen
    }

    /// Ends requests that took longer than the timeout.
    fn fail_overdue_requests(&mut self, now: Micros) {
        let timeout = self.settings.request_timeout;
        let is_overdue = |provider: &KnownProvider| matches!(provider.state, RequestState::InFlight(since) if now - since >= timeout);
        let overdue: Vec<String> = self
            .providers
            .iter()
            .filter(|(_, provider)| is_overdue(provider))
            .map(|(address, _)| address.clone())
            .collect();
        overdue.iter().for_each(|address| self.record_outcome(now, address, RequestOutcome::Failed));
    }

    /// Draws the time of the next refresh: the mean interval with jitter.
    fn schedule_refresh(&mut self, now: Micros) {
        let interval = self.settings.refresh_interval;
        self.refresh_at = now + interval / 2 + self.rng.i64(0..=interval);
    }

    /// Records how a request ended.
    pub fn record_outcome(&mut self, now: Micros, address: &str, outcome: RequestOutcome) {
        let Some(provider) = self.providers.get_mut(address) else { return };
        provider.state = RequestState::Idle;
        match outcome {
            RequestOutcome::Complete(named) => {
                (provider.consecutive_failures, provider.eligible_at) = (0, now);
                self.completed_requests += 1;
                self.startup_complete = true;
                self.schedule_refresh(now);
                named.into_iter().for_each(|address| self.add_named_provider(now, address));
            }
            RequestOutcome::Busy(retry_after) => {
                provider.eligible_at = now + retry_after.clamp(MIN_RETRY_AFTER, MAX_BACKOFF);
            }
            RequestOutcome::Failed => {
                provider.consecutive_failures += 1;
                let doublings = provider.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                let backoff = (BACKOFF_UNIT << doublings).min(MAX_BACKOFF);
                provider.eligible_at = now + backoff / 2 + self.rng.i64(0..=backoff / 2);
                if !provider.configured && provider.consecutive_failures >= FAILURES_BEFORE_REMOVAL {
                    self.providers.remove(address);
                }
            }
        }
        let any_may_answer = self.providers.values().any(|provider| provider.consecutive_failures == 0);
        self.startup_complete |= !any_may_answer;
    }

    /// Adds a provider that another one named, if the table is not full.
    fn add_named_provider(&mut self, now: Micros, address: String) {
        if self.providers.len() < MAX_PROVIDERS && address.len() <= MAX_ADDRESS_BYTES {
            self.providers.entry(address).or_insert(KnownProvider::new(now, false));
        }
    }

    /// When [`RequestScheduler::due_requests`] may have something to do, unless a request ends first.
    pub fn next_change(&self, now: Micros) -> Micros {
        let startup_end = (!self.startup_complete).then_some(self.started_at + self.settings.startup_timeout);
        let timeouts = self.providers.values().filter_map(|provider| match provider.state {
            RequestState::InFlight(since) => Some(since + self.settings.request_timeout),
            RequestState::Idle => None,
        });
        let idle = self.providers.values().filter(|provider| provider.state == RequestState::Idle);
        let first_eligible = idle.map(|provider| provider.eligible_at).min();
        let is_starting = self.completed_requests == 0;
        let next_request = match first_eligible {
            Some(at) if !is_starting && self.settings.refresh_interval > 0 => Some(at.max(self.refresh_at)),
            Some(at) if is_starting && self.in_flight_count() < self.settings.max_concurrent_requests => {
                Some(at)
            }
            _ => None,
        };
        let next = timeouts.chain(startup_end).chain(next_request).min();
        next.map_or(Micros::MAX, |at| at.max(now + 1))
    }
}
