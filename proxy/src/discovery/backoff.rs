//! Backoff between polls of discovery. After a failed poll the next one follows soon. After an overload the proxies spread their
//! polls over a longer time.
//!
//! If discovery is reachable, the sequence from a failed poll to the new list has three bounded steps:
//! - a wait of at most [`MAX_WAIT_MICROS`], or [`MAX_OVERLOAD_WAIT_MICROS`] if discovery was overloaded;
//! - a connect of at most [`CONNECT_TIMEOUT_MICROS`], counted as zero if discovery was overloaded, because it is then reachable;
//! - a poll of at most [`RESPONSE_TIMEOUT_MICROS`].
//!
//! The sum is less than [`NOTIFICATION_DEADLINE_MICROS`] for any number of proxies.
//!
//! A discovery service that serves one poll per [`POLL_SLOT_MICROS`] cannot notify more than a hundred proxies within the
//! deadline. With up to fifty proxies, the waits fit the slots and both bounds hold. With more proxies, the bound on each proxy's
//! wait takes precedence: a rejected proxy polls again in time, and discovery works at capacity until all proxies are notified.

use super::error::PollError;
use super::watch::{
    CONNECT_TIMEOUT_MICROS, NEXT_POLL_RESERVE_MICROS, NOTIFICATION_DEADLINE_MICROS, RESPONSE_TIMEOUT_MICROS,
};
use birchreach::Micros;
use birchreach::{EndpointDiscovery, Settings};

/// The first wait before a new connection. It doubles with each consecutive failure and is shortened by a random part. The first
/// wait is well under the 200 ms within which a watch must continue.
const INITIAL_WAIT_MICROS: Micros = 20_000;
/// The longest wait after a failure other than an overload.
pub(super) const MAX_WAIT_MICROS: Micros = 640_000;
/// The time slot reserved for the poll of each proxy. Discovery serves the proxies one after the other and rejects polls that
/// would wait too long. A round has one slot per proxy. If up to 100 proxies poll within the drain grace, at most half of them
/// are rejected, and their polls fit into half a round. The round doubles with each consecutive rejection.
pub(super) const POLL_SLOT_MICROS: Micros = 60_000;
/// The limit on doublings of the round.
const MAX_OVERLOAD_DOUBLINGS: u32 = 3;
/// The longest wait after a rejected poll. With this limit, the next poll is answered or fails before the notification deadline.
pub(super) const MAX_OVERLOAD_WAIT_MICROS: Micros =
    NOTIFICATION_DEADLINE_MICROS - RESPONSE_TIMEOUT_MICROS - NEXT_POLL_RESERVE_MICROS;

const _: () = assert!(
    MAX_WAIT_MICROS + CONNECT_TIMEOUT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS
);
const _: () = assert!(MAX_OVERLOAD_WAIT_MICROS + RESPONSE_TIMEOUT_MICROS < NOTIFICATION_DEADLINE_MICROS);

/// Determines when to poll discovery again.
pub(crate) struct Backoff {
    proxy_count: Micros,
    /// The number of proxies that poll the same discovery service. 1 if lists are pushed to an agent that serves only this proxy.
    caller_count: Micros,
    /// The time after the notification of a proxy from which no new request may reach a database that is draining or removed.
    drain_grace: Micros,
    /// The wait after the next failure.
    wait: Micros,
    /// The number of times that the round is doubled: once per consecutive rejected poll, up to [`MAX_OVERLOAD_DOUBLINGS`].
    round_doublings: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff with these settings. `seed` determines the random parts of the waits.
    pub(crate) fn new(settings: &Settings, seed: u64) -> Backoff {
        let mut backoff = Backoff {
            proxy_count: 1,
            caller_count: 1,
            drain_grace: 0,
            wait: INITIAL_WAIT_MICROS,
            round_doublings: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        backoff.update_settings(settings);
        backoff
    }

    /// Applies changed settings. They take effect from the next wait on.
    pub(crate) fn update_settings(&mut self, settings: &Settings) {
        self.proxy_count = settings.proxy_count.max(1).into();
        self.caller_count = match settings.endpoint_discovery {
            EndpointDiscovery::Pushed => 1,
            EndpointDiscovery::Polled => self.proxy_count,
        };
        self.drain_grace = settings.drain_grace;
    }

    /// Returns the random wait before the first poll. It is at most one slot per other proxy, and at most three quarters of the
    /// drain grace, because the proxy uses the list from before the start until then. The wait applies to pushed lists too:
    /// watches that are all opened at the same time would also all time out at the same time.
    pub(crate) fn initial_wait(&mut self) -> Micros {
        let other_slots = (self.proxy_count - 1) * POLL_SLOT_MICROS;
        self.rng.i64(0..=other_slots.min(self.drain_grace * 3 / 4).max(0))
    }

    /// Returns the wait after a failed poll.
    pub(crate) fn wait_after(&mut self, error: &PollError) -> Micros {
        if *error == PollError::Overloaded {
            return self.wait_after_overload();
        }
        let wait = self.wait - self.rng.i64(0..=self.wait / 4);
        // Once discovery is reachable again, changes to the list must take effect within the drain grace.
        let max_wait = MAX_WAIT_MICROS.min(self.drain_grace / 3).max(INITIAL_WAIT_MICROS);
        self.wait = (self.wait * 2).min(max_wait);
        wait
    }

    /// Returns the wait after a rejected poll, which is random within half a round.
    fn wait_after_overload(&mut self) -> Micros {
        let round = (self.caller_count.max(2) * POLL_SLOT_MICROS) << self.round_doublings;
        self.round_doublings = (self.round_doublings + 1).min(MAX_OVERLOAD_DOUBLINGS);
        self.rng.i64(INITIAL_WAIT_MICROS..=(round / 2).min(MAX_OVERLOAD_WAIT_MICROS))
    }

    /// Resets the waits, after a poll was answered or before polling another host.
    pub(crate) fn reset(&mut self) {
        (self.wait, self.round_doublings) = (INITIAL_WAIT_MICROS, 0);
    }
}
