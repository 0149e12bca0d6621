//! When discovery is polled again: soon after a poll that failed, spread over all proxies where it was overloaded.
//!
//! The chain from a failed poll to the new list, where discovery can be reached: a wait of at most [`MAX_WAIT_MICROS`], or
//! [`MAX_OVERLOAD_WAIT_MICROS`] where it was overloaded; a connect of at most [`CONNECT_TIMEOUT_MICROS`]; a poll of at most
//! [`RESPONSE_TIMEOUT_MICROS`]. The sum is less than [`NOTIFICATION_DEADLINE_MICROS`], for any number of proxies.
//!
//! A discovery that serves one poll per [`POLL_SLOT_MICROS`] cannot notify more than a hundred proxies within that time. Up to fifty
//! proxies the waits are the slots, and both bounds hold. Beyond, the bound on each proxy's wait has precedence: a proxy that was
//! rejected polls again in time, and discovery works at its capacity until all are notified.

use super::error::PollError;
use super::watch::{
    CONNECT_TIMEOUT_MICROS, NEXT_POLL_RESERVE_MICROS, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use birchreach::Micros;
use birchreach::{EndpointDiscovery, Settings};

/// Wait before a new connection, doubled with each failure in a row and shortened by a random part. The first is well under the
/// 200 ms within which a watch has to go on.
const INITIAL_WAIT_MICROS: Micros = 20_000;
/// The longest such wait.
pub const MAX_WAIT_MICROS: Micros = 640_000;
/// Discovery serves all proxies one after the other, and rejects those that would wait too long. Each proxy leaves this time to each
/// of the others: n polls fit into a round of n slots. Where up to 100 proxies poll within the grace, at
/// most half of them are rejected, and half a round takes those. The round doubles with each rejection in a row.
pub const POLL_SLOT_MICROS: Micros = 60_000;
const MAX_OVERLOAD_DOUBLINGS: u32 = 3;
/// The longest wait after a rejected poll: the next one is answered, or has failed, before the proxy counts as notified.
pub const MAX_OVERLOAD_WAIT_MICROS: Micros =
    NOTIFICATION_DEADLINE_MICROS - RESPONSE_TIMEOUT_MICROS - NEXT_POLL_RESERVE_MICROS;

const _: () = assert!(
    MAX_WAIT_MICROS + CONNECT_TIMEOUT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS
);
const _: () = assert!(MAX_OVERLOAD_WAIT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS);

/// When to poll again.
pub struct Backoff {
    proxy_count: Micros,
    /// Proxies that poll the same discovery: where lists are pushed, an agent of this proxy's own answers.
    caller_count: Micros,
    /// New work for a database that drains or was removed must end so long after a proxy was notified, or could have been.
    drain_grace: Micros,
    /// The wait after the next failure.
    wait: Micros,
    /// Polls in a row that were rejected, for the doubling of the round.
    overloads: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Waits by these settings, randomized by the seed.
    pub fn new(settings: &Settings, seed: u64) -> Backoff {
        let mut backoff = Backoff {
            proxy_count: 1,
            caller_count: 1,
            drain_grace: 0,
            wait: INITIAL_WAIT_MICROS,
            overloads: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        backoff.update_settings(settings);
        backoff
    }

    /// Waits by other settings from now on.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.proxy_count = settings.proxy_count.max(1).into();
        self.caller_count = match settings.endpoint_discovery {
            EndpointDiscovery::Pushed => 1,
            EndpointDiscovery::Polled => self.proxy_count,
        };
        self.drain_grace = settings.drain_grace;
    }

    /// The wait before the first poll: a slot for each other proxy, but within three quarters of the grace, for until then the list
    /// is what was known before the start. Where lists are pushed too: watches that are all opened at one moment would also all time
    /// out at one moment.
    pub fn initial_wait(&mut self) -> Micros {
        let other_slots = (self.proxy_count - 1) * POLL_SLOT_MICROS;
        self.rng.i64(0..=other_slots.min(self.drain_grace * 3 / 4).max(0))
    }

    /// The wait after a poll that failed.
    pub fn wait_after(&mut self, error: &PollError) -> Micros {
        if *error == PollError::Overloaded {
            return self.wait_after_overload();
        }
        let wait = self.wait - self.rng.i64(0..=self.wait / 4);
        // A discovery that can be reached again has changes that must take effect within the grace.
        let longest = MAX_WAIT_MICROS.min(self.drain_grace / 3).max(INITIAL_WAIT_MICROS);
        self.wait = (self.wait * 2).min(longest);
        wait
    }

    fn wait_after_overload(&mut self) -> Micros {
        let round = (self.caller_count.max(2) * POLL_SLOT_MICROS) << self.overloads;
        self.overloads = (self.overloads + 1).min(MAX_OVERLOAD_DOUBLINGS);
        self.rng.i64(INITIAL_WAIT_MICROS..=(round / 2).min(MAX_OVERLOAD_WAIT_MICROS))
    }

    /// A poll was answered, or goes to another host from now on.
    pub fn reset(&mut self) {
        (self.wait, self.overloads) = (INITIAL_WAIT_MICROS, 0);
    }
}
