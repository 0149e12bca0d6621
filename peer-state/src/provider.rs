//! Admission control and rate limiting of the state transfers that a running proxy provides. They protect its
//! clients when many proxies start at the same time. The content of a transfer is decided elsewhere.

use crate::Micros;

/// The limits on the state transfers of one provider.
#[derive(Clone, Debug, PartialEq)]
pub struct ProviderSettings {
    /// The maximum number of transfers in progress. Further requests are rejected with a time to retry after.
    pub max_concurrent_requests: usize,
    /// The maximum send rate of all transfers together.
    pub bytes_per_second: u64,
    /// The load, 0 to 1, at or above which the provider sends nothing.
    pub max_load: f64,
}

impl Default for ProviderSettings {
    fn default() -> ProviderSettings {
        ProviderSettings { max_concurrent_requests: 4, bytes_per_second: 1 << 20, max_load: 0.85 }
    }
}

/// The decision on a request for state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The provider answers the request.
    Serve,
    /// The provider rejects the request. The requester may retry after this time.
    Busy(Micros),
}

/// The maximum number of bytes sent in a burst: a complete frame.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// The minimum time to retry after. Each recent rejection adds this time divided by the maximum number of
/// transfers in progress, so that rejected requesters do not all retry at the same time.
const RETRY_AFTER: Micros = 100_000;
/// The delay before a send is retried that was refused because of the load.
const OVERLOAD_RETRY_DELAY: Micros = 100_000;
/// The minimum wait for the send budget.
const MIN_BUDGET_WAIT: Micros = 1_000;

/// The admission control and the send budget of one proxy.
pub struct StateProvider {
    settings: ProviderSettings,
    active_transfers: usize,
    /// The load that the proxy's clients cause, 0 to 1.
    load: f64,
    send_budget_bytes: f64,
    send_budget_updated_at: Micros,
    /// The number of rejected requests, with a half-life of one second.
    recently_rejected: f64,
    last_rejected_at: Micros,
    /// The number of transfers that were sent completely.
    pub completed_transfers: u64,
    /// The number of requests that were rejected since the start.
    pub rejected_requests: u64,
}

impl StateProvider {
    /// Creates a provider without transfers, with a full send budget.
    pub fn new(settings: ProviderSettings, now: Micros) -> StateProvider {
        StateProvider {
            settings,
            active_transfers: 0,
            load: 0.0,
            send_budget_bytes: BURST_BYTES,
            send_budget_updated_at: now,
            recently_rejected: 0.0,
            last_rejected_at: now,
            completed_transfers: 0,
            rejected_requests: 0,
        }
    }

    /// Sets the load that the proxy's clients cause, 0 to 1. A load that is not finite counts as 1.
    pub fn set_load(&mut self, load: f64) {
        self.load = if load.is_finite() { load } else { 1.0 };
    }

    /// Decides on a request. After [`Admission::Serve`] the caller must call [`StateProvider::finish`].
    pub fn admit(&mut self, now: Micros) -> Admission {
        if self.active_transfers < self.settings.max_concurrent_requests && self.load < self.settings.max_load
        {
            self.active_transfers += 1;
            return Admission::Serve;
        }
        self.rejected_requests += 1;
        let seconds = (now - self.last_rejected_at).max(0) as f64 / 1e6;
        self.recently_rejected = self.recently_rejected * 0.5f64.powf(seconds) + 1.0;
        self.last_rejected_at = now;
        let rejected_per_slot = self.recently_rejected / self.settings.max_concurrent_requests.max(1) as f64;
        Admission::Busy(RETRY_AFTER + (RETRY_AFTER as f64 * rejected_per_slot) as Micros)
    }

    /// Records the end of a transfer. `complete` is false if the connection was closed before everything was
    /// sent.
    pub fn finish(&mut self, complete: bool) {
        self.active_transfers = self.active_transfers.saturating_sub(1);
        self.completed_transfers += u64::from(complete);
    }

    /// Takes this number of bytes, but at most a burst, from the send budget.
    ///
    /// # Errors
    ///
    /// Returns the time at which to retry if the load is too high or the budget is too small.
    pub fn take_send_budget(&mut self, now: Micros, bytes: usize) -> Result<(), Micros> {
        let seconds = (now - self.send_budget_updated_at).max(0) as f64 / 1e6;
        self.send_budget_updated_at = now;
        let refill = seconds * self.settings.bytes_per_second as f64;
        self.send_budget_bytes = (self.send_budget_bytes + refill).min(BURST_BYTES);
        if self.load >= self.settings.max_load {
            return Err(now + OVERLOAD_RETRY_DELAY);
        }
        let requested = (bytes as f64).min(BURST_BYTES);
        if self.send_budget_bytes < requested {
            let missing = requested - self.send_budget_bytes;
            let wait = missing / self.settings.bytes_per_second.max(1) as f64 * 1e6;
            return Err(now + (wait as Micros).max(MIN_BUDGET_WAIT));
        }
        self.send_budget_bytes -= requested;
        Ok(())
    }
}
