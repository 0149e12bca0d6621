//! Schedules a proxy's requests for state: which providers receive a request, how long the start waits for an
//! answer, and when the state is refreshed. The start never waits longer than its timeout.

use crate::Micros;
use std::collections::BTreeMap;

/// The maximum number of providers in the table: configured ones, and those that other providers named.
const MAX_PROVIDERS: usize = 64;
/// The maximum length of the address of a provider that another provider named.
const MAX_ADDRESS_BYTES: usize = 64;
/// The base of the exponential backoff. The backoff after the first failure is at most twice this time, and
/// each further failure doubles the maximum.
const BASE_BACKOFF: Micros = 100_000;
/// The maximum backoff. A longer time to retry after, as received from a provider, is reduced to this.
const MAX_BACKOFF: Micros = 30_000_000;
/// The number of consecutive failures after which the backoff stops doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 9;
/// A shorter time to retry after, as received from a provider, is raised to this.
const MIN_RETRY_AFTER: Micros = 10_000;
/// The number of consecutive failures after which a provider that is not configured is removed.
const FAILURES_BEFORE_REMOVAL: u32 = 3;

/// The settings of the requests for state.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSettings {
    /// The addresses of the configured providers.
    pub providers: Vec<String>,
    /// The maximum number of requests in flight until the first answer is complete. There is one at a time
    /// after that.
    pub max_concurrent_requests: usize,
    /// The maximum time that the start waits for an answer.
    pub startup_timeout: Micros,
    /// The mean time between refreshes, each from one provider. 0 disables refreshes.
    pub refresh_interval: Micros,
    /// The time after which a request without a complete answer has failed.
    pub request_timeout: Micros,
    /// The seed of the random selection of providers and of the jitter.
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
    /// A request was sent at this time and has not ended.
    InFlight(Micros),
}

/// The request state, failures and backoff of one provider.
#[derive(Clone, Debug)]
struct KnownProvider {
    state: RequestState,
    consecutive_failures: u32,
    /// The earliest time of the next request.
    eligible_at: Micros,
    /// The options name the provider, so that it is never removed.
    configured: bool,
}

impl KnownProvider {
    fn new(now: Micros, configured: bool) -> KnownProvider {
        KnownProvider { state: RequestState::Idle, consecutive_failures: 0, eligible_at: now, configured }
    }
}

/// How a request ended, as the caller reports it to [`RequestScheduler::record_outcome`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer is complete. It named these addresses of other providers.
    Complete(Vec<String>),
    /// The provider rejected the request. The request may be retried after this delay.
    Busy(Micros),
    /// The request ended without a complete answer.
    Failed,
}

/// The schedule of one proxy's requests for state.
pub struct RequestScheduler {
    settings: RequestSettings,
    /// The configured providers and those that other providers named, by address.
    providers: BTreeMap<String, KnownProvider>,
    rng: fastrand::Rng,
    started_at: Micros,
    startup_complete: bool,
    refresh_at: Micros,
    completed_requests: u64,
}

impl RequestScheduler {
    /// Creates the schedule of a proxy that starts at `now`.
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

    /// Returns whether the start need not wait: an answer is complete, all providers have failed, or the
    /// timeout has expired.
    pub fn is_startup_complete(&self) -> bool {
        self.startup_complete
    }

    fn in_flight_count(&self) -> usize {
        self.providers.values().filter(|provider| matches!(provider.state, RequestState::InFlight(_))).count()
    }

    /// Returns the providers that are due for a request, and marks their requests as in flight. The caller
    /// sends the requests and reports the end of each with [`RequestScheduler::record_outcome`].
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
        // Shuffling distributes the requests of proxies that start at the same time over the providers.
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

    /// Records requests that have exceeded the timeout as failed.
    fn fail_overdue_requests(&mut self, now: Micros) {
        let timeout = self.settings.request_timeout;
        let is_overdue = |provider: &KnownProvider| match provider.state {
            RequestState::InFlight(sent_at) => now - sent_at >= timeout,
            RequestState::Idle => false,
        };
        let overdue: Vec<String> = self
            .providers
            .iter()
            .filter(|(_, provider)| is_overdue(provider))
            .map(|(address, _)| address.clone())
            .collect();
        overdue.iter().for_each(|address| self.record_outcome(now, address, RequestOutcome::Failed));
    }

    /// Schedules the next refresh after the mean interval with a jitter of ±50 %.
    fn schedule_refresh(&mut self, now: Micros) {
        let interval = self.settings.refresh_interval;
        self.refresh_at = now + interval / 2 + self.rng.i64(0..=interval);
    }

    /// Records the outcome of a request and schedules the next one. Ignores a provider that is no longer in
    /// the table.
    pub fn record_outcome(&mut self, now: Micros, address: &str, outcome: RequestOutcome) {
        let Some(provider) = self.providers.get_mut(address) else { return };
        provider.state = RequestState::Idle;
        match outcome {
            RequestOutcome::Complete(named_providers) => {
                (provider.consecutive_failures, provider.eligible_at) = (0, now);
                self.completed_requests += 1;
                self.startup_complete = true;
                self.schedule_refresh(now);
                named_providers.into_iter().for_each(|address| self.add_named_provider(now, address));
            }
            RequestOutcome::Busy(retry_after) => {
                provider.eligible_at = now + retry_after.clamp(MIN_RETRY_AFTER, MAX_BACKOFF);
            }
            RequestOutcome::Failed => {
                provider.consecutive_failures += 1;
                let doublings = provider.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                let backoff = (BASE_BACKOFF << doublings).min(MAX_BACKOFF);
                provider.eligible_at = now + backoff / 2 + self.rng.i64(0..=backoff / 2);
                if !provider.configured && provider.consecutive_failures >= FAILURES_BEFORE_REMOVAL {
                    self.providers.remove(address);
                }
            }
        }
        let any_may_answer = self.providers.values().any(|provider| provider.consecutive_failures == 0);
        self.startup_complete |= !any_may_answer;
    }

    /// Adds a provider that another provider named, unless the table is full or the address is too long.
    fn add_named_provider(&mut self, now: Micros, address: String) {
        if self.providers.len() < MAX_PROVIDERS && address.len() <= MAX_ADDRESS_BYTES {
            self.providers.entry(address).or_insert(KnownProvider::new(now, false));
        }
    }

    /// The time at which the caller must call [`RequestScheduler::due_requests`] next, always later than
    /// `now`. [`RequestScheduler::record_outcome`] can make it earlier.
    pub fn next_change(&self, now: Micros) -> Micros {
        let startup_end = (!self.startup_complete).then_some(self.started_at + self.settings.startup_timeout);
        let timeouts = self.providers.values().filter_map(|provider| match provider.state {
            RequestState::InFlight(sent_at) => Some(sent_at + self.settings.request_timeout),
            RequestState::Idle => None,
        });
        let idle_providers = self.providers.values().filter(|provider| provider.state == RequestState::Idle);
        let first_eligible = idle_providers.map(|provider| provider.eligible_at).min();
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
