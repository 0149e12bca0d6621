//! Databases that restart, at a rate in proportion to their number: each drains, breaks its connections and is listed
//! again with a new start.

use birchreach_test_support::discovery::Discovery;
use birchreach_test_support::many_databases::ManyDatabases;
use std::collections::VecDeque;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// In this time as many databases restart as there are, primaries included.
const RESTART_PERIOD: Duration = Duration::from_secs(120);

/// How long a database drains: over the grace that the proxy's settings name.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// A database that drains.
struct Draining {
    index: u32,
    until: Instant,
}

/// Restarts one replica after the other.
pub(super) fn restart_until(
    discovery: &Discovery,
    databases: &ManyDatabases,
    replicas: Range<u32>,
    until: Instant,
) {
    let interval = RESTART_PERIOD / replicas.end;
    let mut draining = VecDeque::new();
    let mut next = Instant::now();
    for index in replicas.cycle() {
        next += interval;
        if next > until {
            return;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        discovery.change_database(index as usize, |database| database.state = "draining");
        draining.push_back(Draining { index, until: Instant::now() + DRAIN_TIME });
        while let Some(drained) = draining.pop_front_if(|first: &mut Draining| first.until <= Instant::now())
        {
            restart(discovery, databases, drained.index);
        }
    }
}

/// Breaks a database's connections and lists it with a new start.
fn restart(discovery: &Discovery, databases: &ManyDatabases, index: u32) {
    databases.break_connections(index);
    discovery.change_database(index as usize, |database| {
        database.state = "up";
        database.started_at_ms = unix_time_ms();
    });
}

fn unix_time_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}
