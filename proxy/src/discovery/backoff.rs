//! When discovery is called again: soon after a call that failed, in turn with all other proxies where it has no room.
//!
//! The chain from a failed call to the list held, where discovery can be reached: a wait of at most [`LONGEST_WAIT`], or
//! [`LONGEST_TURN`] where it had no room, a connect of at most [`CONNECT`], a call of at most [`ANSWER`]. Each comes to less than
//! [`TOLD`], for one proxy and for any number.
//!
//! A discovery of fixed capacity that serves a call in [`TURN`] cannot tell more than a hundred proxies within that time, however they
//! call. Up to fifty the waits are the turns, and both aims are met. Beyond, the bound on each proxy's wait goes first: a proxy that
//! found no room calls again in time, and discovery works at its capacity until all are told.

use super::error::CallError;
use super::watch::{ANSWER, CONNECT, SPARE, TOLD};
use birchreach::Micros;
use birchreach::{EndpointDiscovery, Settings};

/// Wait before a new connection, doubled with each failure in a row, and a random part of it taken off. The first
/// is well under the 200 ms within which a watch goes on.
const FIRST_WAIT: Micros = 20_000;
pub const LONGEST_WAIT: Micros = 640_000;
/// Discovery serves all proxies, a call after the other, and fails those that wait too long. Each proxy leaves it so much time for
/// each of the others: n calls fit into a round of n turns. Where all call within the grace some find no room; no more than half of
/// them do, as measured with 70 and with 100 proxies, and half a round takes those. The round doubles with each call in a row that
/// fails so, up to the bound.
pub const TURN: Micros = 60_000;
const MOST_DOUBLED: u32 = 3;
/// The longest wait after a call for which there was no room: the next one is answered, or has failed, before what the list had
/// then counts as told.
pub const LONGEST_TURN: Micros = TOLD - ANSWER - SPARE;

const _: () = assert!(LONGEST_WAIT + CONNECT + ANSWER < TOLD);
const _: () = assert!(LONGEST_TURN + ANSWER < TOLD);

/// When to call again.
pub struct Backoff {
    /// All proxies, and those that call the same discovery: where lists are pushed an agent of this proxy's own answers, at no cost.
    proxies: Micros,
    callers: Micros,
    /// New work for a database that drains or left must end so long after a proxy was told, or could have been.
    grace: Micros,
    wait: Micros,
    /// Calls in a row for which there was no room.
    no_room: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    pub fn new(settings: &Settings, seed: u64) -> Backoff {
        let rng = fastrand::Rng::with_seed(seed);
        let mut backoff = Backoff { proxies: 1, callers: 1, grace: 0, wait: FIRST_WAIT, no_room: 0, rng };
        backoff.settings(settings);
        backoff
    }

    /// Other settings are in force from now on.
    pub fn settings(&mut self, settings: &Settings) {
        self.proxies = settings.proxy_count.max(1).into();
        self.callers = match settings.endpoint_discovery {
            EndpointDiscovery::Pushed => 1,
            EndpointDiscovery::Polled => self.proxies,
        };
        self.grace = settings.drain_grace;
    }

    /// Before the first call: a turn for each other proxy, but within three quarters of the grace: until then
    /// the list is what was known before the start. Where lists are pushed too: watches that all open at one moment fall silent
    /// together, and for as long.
    pub fn first(&mut self) -> Micros {
        self.rng.i64(0..=((self.proxies - 1) * TURN).min(self.grace * 3 / 4).max(0))
    }

    /// After a call that came to nothing.
    pub fn failed(&mut self, error: &CallError) -> Micros {
        if *error == CallError::NoRoom {
            let turns = (self.callers.max(2) * TURN) << self.no_room;
            self.no_room = (self.no_room + 1).min(MOST_DOUBLED);
            return self.rng.i64(FIRST_WAIT..=(turns / 2).min(LONGEST_TURN));
        }
        let wait = self.wait - self.rng.i64(0..=self.wait / 4);
        // What discovery has at its return binds within the grace.
        let longest = LONGEST_WAIT.min(self.grace / 3).max(FIRST_WAIT);
        self.wait = (self.wait * 2).min(longest);
        wait
    }

    /// A call was answered, or goes elsewhere now.
    pub fn answered(&mut self) {
        (self.wait, self.no_room) = (FIRST_WAIT, 0);
    }
}
