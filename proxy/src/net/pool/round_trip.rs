//! The round-trip times to databases, and what follows from them for bytes that arrive around a query.
//!
//! A database may send bytes beyond a reply, such as a second copy of it, until the next query reaches it. They arrive up to one round
//! trip after that query was sent. Three rules keep them apart from the reply to the query:
//! - A connection rests after a reply. Unexpected bytes that arrive meanwhile show that the connection cannot be used any more. It rests
//!   longer if the database has sent such bytes before, if its round trip is not known yet, or if a second copy of the reply could not be
//!   recognized.
//! - No reply arrives sooner after its query than the round trip takes. Bytes that do were sent before the database had the query.
//! - A reply that equals the one before it, and arrives no later than bytes that were sent before the query, is a second copy.

use super::super::event_loop_context::EventLoopContext;
use super::connection::{Connection, QueryProgress};
use super::reply_identity::ReplyIdentity;
use birchreach::{Micros, ServerId};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// How long a connection rests after a reply.
pub(super) const COOLDOWN_MICROS: Micros = 1_000;
/// A connection that has rested for this many round trips is as good as a new one.
const SETTLED_ROUND_TRIPS: Micros = 8;
/// Unexpected bytes within this time after a reply are taken for a remainder of it. Later ones may announce the end of the connection.
const REMAINDER_TIME_MICROS: Micros = 1_000_000;
/// Connections to a database that sent unexpected bytes rest until they have settled, for this time.
const UNEXPECTED_BYTES_MEMORY_MICROS: Micros = 60_000_000;
/// A reply may arrive sooner than the shortest measured round trip by this part of it, or by [`MIN_ERROR_MICROS`] if that is longer: a
/// round trip is measured as somewhat too long if this process or the database was busy.
const ERROR_DIVISOR: Micros = 8;
/// The least time by which a round trip may be measured as too long.
const MIN_ERROR_MICROS: Micros = 250;
/// Bytes that were sent before the query arrive at most this part of the shortest round trip after it: single round trips are longer.
const JITTER_DIVISOR: Micros = 2;
/// After this many measurements one of them is taken to be close to the round trip. Until then connections rest until they have settled.
const MIN_MEASUREMENTS: u32 = 4;
/// After this many measurements the round trip is taken to be not much shorter than the shortest of them.
const MIN_MEASUREMENTS_OF_SHORTEST: u32 = 16;
/// The number of measurements after which those before the previous ones are forgotten, since a path may become longer.
const WINDOW_MEASUREMENTS: u32 = 256;

/// The measured round trips to one address.
#[derive(Debug)]
struct Measurements {
    address: SocketAddr,
    /// The number of measurements in the present window.
    count: u32,
    /// The shortest one in the present window.
    shortest: Micros,
    /// The shortest one in the previous window, if that is complete.
    previous_shortest: Option<Micros>,
    /// Until when connections rest until they have settled.
    rests_longer_until: Micros,
}

impl Measurements {
    fn new(address: SocketAddr, round_trip: Micros) -> Measurements {
        Measurements {
            address,
            count: 1,
            shortest: round_trip,
            previous_shortest: None,
            rests_longer_until: 0,
        }
    }

    fn record(&mut self, round_trip: Micros) {
        if self.count >= WINDOW_MEASUREMENTS {
            self.previous_shortest = Some(self.shortest);
            (self.count, self.shortest) = (0, round_trip);
        }
        self.count += 1;
        self.shortest = self.shortest.min(round_trip);
    }

    fn shortest(&self) -> Micros {
        self.previous_shortest.map_or(self.shortest, |previous| previous.min(self.shortest))
    }

    fn has_at_least(&self, count: u32) -> bool {
        self.previous_shortest.is_some() || self.count >= count
    }
}

/// The round trips to all databases that have a connection or had one at their present address. At most one entry for each server.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    by_server: FxHashMap<ServerId, Measurements>,
}

impl RoundTrips {
    /// Records the time from the last byte of a startup message or query to the first bytes that came back.
    fn record(&mut self, server: ServerId, address: SocketAddr, round_trip: Micros) {
        let round_trip = round_trip.max(0);
        match self.by_server.get_mut(&server).filter(|known| known.address == address) {
            Some(measurements) => measurements.record(round_trip),
            None => {
                self.by_server.insert(server, Measurements::new(address, round_trip));
            }
        }
    }

    /// Forgets a server that moved or was removed.
    pub(super) fn forget(&mut self, server: ServerId) {
        self.by_server.remove(&server);
    }

    /// Returns how long the connection rests after its last reply.
    pub(super) fn rest(&self, connection: &Connection, now: Micros) -> Micros {
        let is_trusted =
            |known: &Measurements| known.has_at_least(MIN_MEASUREMENTS) && now >= known.rests_longer_until;
        let server_is_trusted = self.by_server.get(&connection.server).is_some_and(is_trusted);
        let must_settle = connection.must_settle && self.distant_round_trip(connection.server).is_some();
        if server_is_trusted && !must_settle {
            COOLDOWN_MICROS
        } else {
            self.settling_time(connection.server)
        }
    }

    /// Records that a connection brought bytes that belong to no query.
    pub(super) fn unexpected_bytes(&mut self, connection: &Connection, now: Micros) {
        if connection.has_completed_query
            && now - connection.idle_since < REMAINDER_TIME_MICROS
            && let Some(known) = self.by_server.get_mut(&connection.server)
        {
            known.rests_longer_until = now + UNEXPECTED_BYTES_MEMORY_MICROS;
        }
    }

    /// Returns the rest after which nothing is expected any more that belongs to the last reply.
    pub(super) fn settling_time(&self, server: ServerId) -> Micros {
        let shortest = self.by_server.get(&server).map_or(0, Measurements::shortest);
        (shortest * SETTLED_ROUND_TRIPS).max(COOLDOWN_MICROS)
    }

    /// Returns the shortest round trip to a server if it was measured at least so often.
    fn shortest_of(&self, server: ServerId, count: u32) -> Option<Micros> {
        let known = self.by_server.get(&server).filter(|known| known.has_at_least(count))?;
        Some(known.shortest())
    }

    /// Returns the time after a query within which no byte of its reply can arrive.
    fn earliest_reply(&self, server: ServerId) -> Micros {
        let shortest = self.shortest_of(server, MIN_MEASUREMENTS_OF_SHORTEST).unwrap_or_default();
        shortest - (shortest / ERROR_DIVISOR).max(MIN_ERROR_MICROS)
    }

    /// Returns the shortest round trip to a server if it is longer than the cooldown. If it is not, what the server sends up to a round
    /// trip after a reply arrives before the next query is sent.
    fn distant_round_trip(&self, server: ServerId) -> Option<Micros> {
        self.shortest_of(server, MIN_MEASUREMENTS).filter(|round_trip| *round_trip > COOLDOWN_MICROS)
    }

    /// Returns the time after a query to a distant server within which bytes that were sent before it may arrive.
    fn latest_remainder(&self, server: ServerId) -> Option<Micros> {
        self.distant_round_trip(server).map(|shortest| shortest + shortest / JITTER_DIVISOR)
    }

    /// Handles the first bytes on a connection after its startup message or query. Returns whether they cannot belong to the reply.
    pub(super) fn reply_started(&mut self, context: &EventLoopContext, connection: &mut Connection) -> bool {
        if connection.reply_delay.is_some()
            || (connection.established && connection.query == QueryProgress::NotQueued)
        {
            return false;
        }
        // The query may have been written in the same turn of the event loop.
        let delay = context.clock.now() - connection.written_at;
        connection.reply_delay = Some(delay);
        if connection.query == QueryProgress::Queued {
            // The database does not have the query yet.
            return true;
        }
        if connection.follows_recent_reply && delay < self.earliest_reply(connection.server) {
            return true;
        }
        // If the process was busy, the bytes may have arrived long before.
        connection.is_delay_measured = context.waited_for_events;
        if connection.is_delay_measured && !connection.established {
            self.record(connection.server, connection.address, delay);
        }
        false
    }

    /// Handles the complete reply to a query. Returns whether it is a second copy of the reply before it.
    pub(super) fn reply_completed(&mut self, connection: &mut Connection, identity: ReplyIdentity) -> bool {
        let delay = connection.reply_delay.unwrap_or_default();
        let may_be_remainder = self.latest_remainder(connection.server).is_some_and(|latest| delay < latest);
        let may_be_copy = connection.follows_recent_reply && may_be_remainder;
        if may_be_copy && connection.last_reply.as_ref() == Some(&identity) {
            return true;
        }
        if connection.is_delay_measured {
            self.record(connection.server, connection.address, delay);
        }
        connection.must_settle = connection.reply_was_streamed || !identity.is_distinctive();
        connection.last_reply = Some(identity);
        false
    }
}
