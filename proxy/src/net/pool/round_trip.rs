//! The round-trip times to databases, and what follows from them for bytes that arrive around a query.
//!
//! A database may send bytes beyond a reply, such as a second copy of it, until the next query reaches it. Two rules keep them apart
//! from the reply to that query:
//! - A connection rests after a reply. Unexpected bytes that arrive meanwhile show that the connection cannot be used any more.
//! - No reply arrives sooner after its query than the round trip takes. Bytes that do were sent before the database had the query.

use super::super::event_loop_context::EventLoopContext;
use super::connection::{Connection, QueryProgress};
use birchreach::{Micros, ServerId};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// The shortest time for which a connection rests after a reply.
const MIN_COOLDOWN_MICROS: Micros = 1_000;
/// A connection rests for this many round trips after a reply, which is what it takes to open another one: one for the TCP connect
/// and one for the startup.
const COOLDOWN_ROUND_TRIPS: Micros = 2;
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
/// The shortest round trip, and the database, are trusted after this many measurements. Until then connections rest until they have
/// settled, so that a database that sends unexpected bytes is recognized.
const MIN_MEASUREMENTS: u32 = 16;
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

    fn are_sufficient(&self) -> bool {
        self.previous_shortest.is_some() || self.count >= MIN_MEASUREMENTS
    }
}

/// The round trips to all databases that have a connection or had one at their present address. At most one entry for each server.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    by_server: FxHashMap<ServerId, Measurements>,
}

impl RoundTrips {
    /// Records the time from the last byte of a startup message or query to the first bytes that came back.
    pub(super) fn record(&mut self, server: ServerId, address: SocketAddr, round_trip: Micros) {
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

    fn shortest(&self, server: ServerId) -> Micros {
        self.by_server.get(&server).map_or(0, Measurements::shortest)
    }

    /// Returns how long a connection to the server rests after a reply.
    pub(super) fn cooldown(&self, server: ServerId, now: Micros) -> Micros {
        let is_trusted = |known: &Measurements| known.are_sufficient() && now >= known.rests_longer_until;
        let trusted = self.by_server.get(&server).is_some_and(is_trusted);
        let round_trips = if trusted { COOLDOWN_ROUND_TRIPS } else { SETTLED_ROUND_TRIPS };
        (self.shortest(server) * round_trips).max(MIN_COOLDOWN_MICROS)
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
        (self.shortest(server) * SETTLED_ROUND_TRIPS).max(MIN_COOLDOWN_MICROS)
    }

    /// Returns the time after a query within which no byte of its reply can arrive.
    pub(super) fn earliest_reply(&self, server: ServerId) -> Micros {
        match self.by_server.get(&server).filter(|measurements| measurements.are_sufficient()) {
            Some(measurements) => {
                let shortest = measurements.shortest();
                shortest - (shortest / ERROR_DIVISOR).max(MIN_ERROR_MICROS)
            }
            None => 0,
        }
    }

    /// Handles the first bytes on a connection after its startup message or query. Returns whether they cannot belong to the reply.
    pub(super) fn reply_started(&mut self, context: &EventLoopContext, connection: &mut Connection) -> bool {
        if connection.reply_started
            || (connection.established && connection.query == QueryProgress::NotQueued)
        {
            return false;
        }
        connection.reply_started = true;
        if connection.query == QueryProgress::Queued {
            // The database does not have the query yet.
            return true;
        }
        // The query may have been written in the same turn of the event loop.
        let elapsed = context.clock.now() - connection.written_at;
        if connection.follows_recent_reply && elapsed < self.earliest_reply(connection.server) {
            return true;
        }
        // If the process was busy, the bytes may have arrived long before.
        if context.waited_for_events && !connection.follows_recent_reply {
            self.record(connection.server, connection.address, elapsed);
        }
        false
    }
}
