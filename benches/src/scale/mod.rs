//! Measures the resources of one proxy as the number of databases grows. Load and limits are the same at every size. The table
//! compares the medians of each size with those of the smallest size, and with bounds computed from them.

mod bounds;
mod load;
mod resources;
mod restarts;
mod table;

use crate::MeasurementResult;
use birchreach_test_support::discovery::ListedDatabase;
use birchreach_test_support::many_databases::ManyDatabases;
use birchreach_test_support::rig::Rig;
use bounds::Resource;
use load::Load;
use resources::{Resources, peak_descriptors};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Numbers of databases on the endpoint list. The first, smallest size is the reference of the others.
pub(super) const SIZES: [u32; 4] = [120, 480, 1_000, 3_200];

/// One primary and three replicas. Does not apply if the number of groups is fixed.
const DATABASES_PER_GROUP: u32 = 4;

const LOOPBACK_ADDRESS: [u8; 4] = [127, 94, 0, 1];

/// Wait after the start of the proxy, so that the proxy has the endpoint list when the load begins.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Settings that all runs share.
#[derive(Clone, Copy)]
pub(crate) struct ScaleSettings {
    pub(crate) rounds: u32,
    /// Duration of the load of a run.
    pub(crate) seconds: u64,
    pub(crate) requests_per_second: u32,
    /// Number of groups at every size; with `None`, one group per [`DATABASES_PER_GROUP`] databases.
    pub(crate) groups: Option<u32>,
    pub(crate) seed: u64,
}

impl ScaleSettings {
    fn group_count(&self, size: u32) -> u32 {
        self.groups.unwrap_or(size / DATABASES_PER_GROUP)
    }
}

/// Measures all sizes in each round and prints the table.
pub(crate) fn run(program: &Path, folder: &Path, settings: ScaleSettings) -> MeasurementResult {
    let mut runs_by_size: [Vec<Resources>; SIZES.len()] = Default::default();
    for round in 0..settings.rounds as usize {
        for turn in 0..SIZES.len() {
            // Rotates the order: each size takes each place of the order in successive rounds.
            let index = (turn + round) % SIZES.len();
            let seed = settings.seed + round as u64;
            runs_by_size[index].push(measure(program, folder, SIZES[index], seed, settings)?);
        }
    }
    table::print(&runs_by_size, settings);
    Ok(())
}

/// Runs one proxy with `size` databases under the load.
fn measure(
    program: &Path,
    folder: &Path,
    size: u32,
    seed: u64,
    settings: ScaleSettings,
) -> Result<Resources, Box<dyn std::error::Error>> {
    let group_count = settings.group_count(size);
    let databases = ManyDatabases::start(0..group_count)?;
    let rig = Rig::new(0, LOOPBACK_ADDRESS, program, folder)?;
    rig.discovery
        .set_databases((0..size).map(|index| listed_database(&databases, index, group_count)).collect());
    let proxy = rig.start(seed, None, None)?;
    let clients = proxy.client_address().ok_or("proxy has no client address")?;
    thread::sleep(SETTLING_TIME);
    let deadline = Instant::now() + Duration::from_secs(settings.seconds);
    let load = Load {
        address: clients,
        group_count,
        requests_per_second: settings.requests_per_second,
        deadline,
        seed,
    };
    let (descriptor_peak, outcomes) = thread::scope(|scope| {
        let descriptors = scope.spawn(|| peak_descriptors(&proxy, deadline));
        scope.spawn(|| restarts::restart_until(&rig.discovery, &databases, group_count..size, deadline));
        let outcomes = load.run();
        (descriptors.join().unwrap_or_default(), outcomes)
    });
    let mut resources = Resources::new(outcomes, databases.statement_count());
    resources
        .measure_proxy(&proxy, descriptor_peak)
        .ok_or("cannot read processor time and memory of the proxy")?;
    resources.set(Resource::Connections, databases.connection_count() as f64);
    resources.set(Resource::ListBytes, rig.discovery.sent_body_bytes() as f64);
    rig.discovery.stop();
    Ok(resources)
}

/// Returns the initial endpoint list entry of a database. The list has all primaries first, then the replicas. Databases
/// are assigned to groups round-robin.
fn listed_database(databases: &ManyDatabases, index: u32, group_count: u32) -> ListedDatabase {
    ListedDatabase {
        uid: format!("s-{index}"),
        endpoint: databases.address(index),
        group: index % group_count,
        state: "up",
        primary: index < group_count,
        started_at_ms: 0,
    }
}
