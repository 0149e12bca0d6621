//! Which requests for state a running proxy answers, and how fast, so that many proxies starting at once do
//! not slow down its clients. Owns the budget; what is sent is decided elsewhere.

use crate::Micros;

/// Limits of the answers.
#[derive(Clone, Debug, PartialEq)]
pub struct ProviderSettings {
    /// Requests answered at once; further ones are rejected with a time to retry after.
    pub max_concurrent_requests: usize,
    /// Bytes a second over all answers.
    pub bytes_per_second: u64,
    /// At this load (0 to 1) or above nothing is sent.
    pub max_load: f64,
}

impl Default for ProviderSettings {
    fn default() -> ProviderSettings {
        ProviderSettings { max_concurrent_requests: 4, bytes_per_second: 1 << 20, max_load: 0.85 }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Answer it.
    Serve,
    /// Reject it; the requester retries after this time.
    Busy(Micros),
}

/// Bytes that may be sent at once: a complete frame.
const BURST_BYTES: f64 = 64.0 * 1024.0;
/// The shortest time to retry after. It grows by as much, divided among the requests answered at once, for
/// each recent rejection, so that rejected requesters do not retry together.
const RETRY_AFTER: Micros = 100_000;
/// A send that the load forbids is retried after this time.
const OVERLOAD_PAUSE: Micros = 100_000;
/// The shortest wait for the send budget.
const MIN_BUDGET_WAIT: Micros = 1_000;

/// The admission of requests and the send budget of one proxy.
pub struct StateProvider {
    settings: ProviderSettings,
    active_transfers: usize,
    /// How busy the proxy is with its clients, 0 to 1.
    load: f64,
    send_budget_bytes: f64,
    send_budget_updated_at: Micros,
    /// Rejected requests, halved each second.
    recently_rejected: f64,
    recently_rejected_at: Micros,
    /// Transfers that ended completely.
    pub completed_transfers: u64,
    /// Requests rejected.
    pub rejected_requests: u64,
}

impl StateProvider {
    /// A provider that sends nothing yet, with a full budget.
    pub fn new(settings: ProviderSettings, now: Micros) -> StateProvider {
        StateProvider {
            settings,
            active_transfers: 0,
            load: 0.0,
            send_budget_bytes: BURST_BYTES,
            send_budget_updated_at: now,
            recently_rejected: 0.0,
            recently_rejected_at: now,
            completed_transfers: 0,
            rejected_requests: 0,
        }
    }

    /// Sets how busy the proxy is with its clients, 0 to 1.
    pub fn set_load(&mut self, load: f64) {
        self.load = if load.is_finite() { load } else { 1.0 };
    }

    /// Decides on a request. One that is served ends by [`StateProvider::finish`].
    pub fn admit(&mut self, now: Micros) -> Admission {
        if self.active_transfers < self.settings.max_concurrent_requests && self.load < self.settings.max_load
        {
            self.active_transfers += 1;
            return Admission::Serve;
        }
        self.rejected_requests += 1;
        let seconds = (now - self.recently_rejected_at).max(0) as f64 / 1e6;
        self.recently_rejected = self.recently_rejected * 0.5f64.powf(seconds) + 1.0;
        self.recently_rejected_at = now;
        let per_slot = self.recently_rejected / self.settings.max_concurrent_requests.max(1) as f64;
        Admission::Busy(RETRY_AFTER + (RETRY_AFTER as f64 * per_slot) as Micros)
    }

    /// Records that a served request is answered, or that its connection is closed.
    pub fn finish(&mut self, complete: bool) {
        self.active_transfers = self.active_transfers.saturating_sub(1);
        self.completed_transfers += u64::from(complete);
    }

    /// Takes so many bytes from the send budget.
    ///
    /// # Errors
    ///
    /// The time to retry at, if there is not enough.
    pub fn take_send_budget(&mut self, now: Micros, bytes: usize) -> Result<(), Micros> {
        let seconds = (now - self.send_budget_updated_at).max(0) as f64 / 1e6;
        self.send_budget_updated_at = now;
        let refill = seconds * self.settings.bytes_per_second as f64;
        self.send_budget_bytes = (self.send_budget_bytes + refill).min(BURST_BYTES);
        if self.load >= self.settings.max_load {
            return Err(now + OVERLOAD_PAUSE);
        }
        let wanted = (bytes as f64).min(BURST_BYTES);
        if self.send_budget_bytes < wanted {
            let missing = wanted - self.send_budget_bytes;
            let wait = missing / self.settings.bytes_per_second.max(1) as f64 * 1e6;
            return Err(now + (wait as Micros).max(MIN_BUDGET_WAIT));
        }
        self.send_budget_bytes -= wanted;
        Ok(())
    }
}
