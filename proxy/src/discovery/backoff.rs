//! When discovery is polled again: soon after a failed poll, or spread over all proxies if discovery was overloaded.
//!
//! The sequence from a failed poll to the new list, if discovery can be reached: a wait of at most [`MAX_WAIT_MICROS`], or
//! [`MAX_OVERLOAD_WAIT_MICROS`] if it was overloaded; a connect of at most [`CONNECT_TIMEOUT_MICROS`]; a poll of at most
//! [`RESPONSE_TIMEOUT_MICROS`]. The sum is less than [`NOTIFICATION_DEADLINE_MICROS`], for any number of proxies.
//!
//! A discovery that serves one poll per [`POLL_SLOT_MICROS`] cannot notify more than a hundred proxies within that time. Up to
//! fifty proxies the waits are the slots, and both bounds hold. For more proxies the bound on each proxy's wait has precedence: a
//! proxy that was rejected polls again in time, and discovery works at its capacity until all are notified.

use super::error::PollError;
use super::watch::{
    CONNECT_TIMEOUT_MICROS, NEXT_POLL_RESERVE_MICROS, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use birchreach::Micros;
use birchreach::{EndpointDiscovery, Settings};

/// The first wait before a new connection; doubled with each consecutive failure, and shortened by a random part. It is well under
/// the 200 ms within which a watch must continue.
const INITIAL_WAIT_MICROS: Micros = 20_000;
/// The longest such wait.
pub(super) const MAX_WAIT_MICROS: Micros = 640_000;
/// The time reserved for the poll of each proxy. Discovery serves all proxies one after the other, and rejects those that would
/// wait too long; n polls fit into a round of n slots. If up to 100 proxies poll within the drain grace, at most half of them are
/// rejected, and these fit into half a round. The round doubles with each consecutive rejection.
pub(super) const POLL_SLOT_MICROS: Micros = 60_000;
/// How often the round is doubled at most.
const MAX_OVERLOAD_DOUBLINGS: u32 = 3;
/// The longest wait after a rejected poll: the next one is answered or has failed before the notification deadline.
pub(super) const MAX_OVERLOAD_WAIT_MICROS: Micros =
    NOTIFICATION_DEADLINE_MICROS - RESPONSE_TIMEOUT_MICROS - NEXT_POLL_RESERVE_MICROS;

const _: () = assert!(
    MAX_WAIT_MICROS + CONNECT_TIMEOUT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS
);
const _: () = assert!(MAX_OVERLOAD_WAIT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS);

/// When to poll again.
pub(crate) struct Backoff {
    proxy_count: Micros,
    /// How many proxies poll the same discovery; only this one where lists are pushed to an agent of its own.
    caller_count: Micros,
    /// How soon after the notification of a proxy no new request may reach a database that is draining or removed.
    drain_grace: Micros,
    /// The wait after the next failure.
    wait: Micros,
    /// How many consecutive polls were rejected, for the doubling of the round.
    overloads: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// A backoff with these settings, randomized by the seed.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Backoff {
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

    /// Applies other settings to the next waits.
    pub(crate) fn update_settings(&mut self, settings: &Settings) {
        self.proxy_count = settings.proxy_count.max(1).into();
        self.caller_count = match settings.endpoint_discovery {
            EndpointDiscovery::Pushed => 1,
            EndpointDiscovery::Polled => self.proxy_count,
        };
        self.drain_grace = settings.drain_grace;
    }

    /// The wait before the first poll: random within a slot for each other proxy, but at most three quarters of the drain grace, as
    /// the list from before the start is used until then. It applies to pushed lists too: watches that are all opened at the same
    /// time would also all time out at the same time.
    pub(crate) fn initial_wait(&mut self) -> Micros {
        let other_slots = (self.proxy_count - 1) * POLL_SLOT_MICROS;
        self.rng.i64(0..=other_slots.min(self.drain_grace * 3 / 4).max(0))
    }

    /// The wait after a poll that failed.
    pub(crate) fn wait_after(&mut self, error: &PollError) -> Micros {
        if *error == PollError::Overloaded {
            return self.wait_after_overload();
        }
        let wait = self.wait - self.rng.i64(0..=self.wait / 4);
        // Once discovery can be reached again, its changes must take effect within the drain grace.
        let longest = MAX_WAIT_MICROS.min(self.drain_grace / 3).max(INITIAL_WAIT_MICROS);
        self.wait = (self.wait * 2).min(longest);
        wait
    }

    /// The wait after a poll that was rejected: random within half a round.
    fn wait_after_overload(&mut self) -> Micros {
        let round = (self.caller_count.max(2) * POLL_SLOT_MICROS) << self.overloads;
        self.overloads = (self.overloads + 1).min(MAX_OVERLOAD_DOUBLINGS);
        self.rng.i64(INITIAL_WAIT_MICROS..=(round / 2).min(MAX_OVERLOAD_WAIT_MICROS))
    }

    /// A poll was answered, or the next one goes to another host.
    pub(crate) fn reset(&mut self) {
        (self.wait, self.overloads) = (INITIAL_WAIT_MICROS, 0);
    }
}
