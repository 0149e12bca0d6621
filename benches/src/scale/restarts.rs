//! Restarts databases at a rate in proportion to their number. A restarting database drains, breaks its connections and is then
//! listed with a new start time.

use birchreach_test_support::discovery::Discovery;
use birchreach_test_support::many_databases::ManyDatabases;
use std::collections::VecDeque;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time in which the number of restarts equals the number of databases, including primaries.
const RESTART_PERIOD: Duration = Duration::from_secs(120);

/// Time that a database drains, which is longer than the drain grace in the proxy's settings.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// A draining database, which is restarted at the deadline.
struct DrainingDatabase {
    index: u32,
    deadline: Instant,
}

/// Restarts one replica after the other until the deadline.
pub(super) fn restart_until(
    discovery: &Discovery,
    databases: &ManyDatabases,
    replicas: Range<u32>,
    deadline: Instant,
) {
    let interval = RESTART_PERIOD / replicas.end;
    let mut draining = VecDeque::new();
    let mut next = Instant::now();
    for index in replicas.cycle() {
        next += interval;
        if next > deadline {
            return;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        discovery.change_database(index as usize, |database| database.state = "draining");
        draining.push_back(DrainingDatabase { index, deadline: Instant::now() + DRAIN_TIME });
        while let Some(drained) =
            draining.pop_front_if(|first: &mut DrainingDatabase| first.deadline <= Instant::now())
        {
            restart(discovery, databases, drained.index);
        }
    }
}

/// Breaks a database's connections and lists the database with a new start time.
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
