//! What one proxy costs as its fleet grows: the same load and limits before an endpoint list of more and more databases.
//! Each size's medians stand beside those of the smallest, with the most that the proxy may need there.

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
use resources::{DescriptorWatch, Resources};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Databases on the endpoint list; the first size is the one that the others are compared with.
pub(super) const SIZES: [u32; 4] = [120, 480, 1_000, 3_200];

/// One primary and three replicas, unless the number of groups is fixed.
const DATABASES_PER_GROUP: u32 = 4;

const LOOPBACK_ADDRESS: [u8; 4] = [127, 94, 0, 1];

/// After the start, so that the load meets a proxy that holds the list.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// What every run has in common.
#[derive(Clone, Copy)]
pub(crate) struct ScaleSettings {
    pub(crate) rounds: u32,
    /// How long the load of a run lasts.
    pub(crate) seconds: u64,
    pub(crate) requests_per_second: u32,
    /// Groups at every size; without it they grow in proportion.
    pub(crate) groups: Option<u32>,
    pub(crate) seed: u64,
}

impl ScaleSettings {
    fn group_count(&self, size: u32) -> u32 {
        self.groups.unwrap_or(size / DATABASES_PER_GROUP)
    }
}

/// Measures all sizes in turn and prints the table.
pub(crate) fn run(program: &Path, folder: &Path, settings: ScaleSettings) -> MeasurementResult {
    let mut runs_by_size: [Vec<Resources>; SIZES.len()] = Default::default();
    for round in 0..settings.rounds as usize {
        for turn in 0..SIZES.len() {
            // Each size is first, second and last in turn.
            let index = (turn + round) % SIZES.len();
            let seed = settings.seed + round as u64;
            runs_by_size[index].push(measure(program, folder, SIZES[index], seed, settings)?);
        }
    }
    table::print(&runs_by_size, settings);
    Ok(())
}

/// Runs one proxy before so many databases.
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
    rig.discovery.set_databases((0..size).map(|index| listed(&databases, index, group_count)).collect());
    let proxy = rig.start(seed, None, None)?;
    let clients = proxy.client_address().ok_or("no clients")?;
    thread::sleep(SETTLING_TIME);
    let until = Instant::now() + Duration::from_secs(settings.seconds);
    let load = Load {
        address: clients,
        group_count,
        requests_per_second: settings.requests_per_second,
        until,
        seed,
    };
    let (peak_descriptors, outcomes) = thread::scope(|scope| {
        let descriptors = scope.spawn(|| DescriptorWatch::until(&proxy, until));
        scope.spawn(|| restarts::restart_until(&rig.discovery, &databases, group_count..size, until));
        let outcomes = load.run();
        (descriptors.join().unwrap_or_default(), outcomes)
    });
    let mut resources = Resources::new(outcomes, databases.statement_count());
    resources.measure_proxy(&proxy, peak_descriptors).ok_or("no account of the process")?;
    resources.set(Resource::Connections, databases.connection_count() as f64);
    resources.set(Resource::ListBytes, rig.discovery.sent_body_bytes() as f64);
    rig.discovery.stop();
    Ok(resources)
}

/// The database's entry on the endpoint list at the start: first all primaries, then the replicas in turn.
fn listed(databases: &ManyDatabases, index: u32, group_count: u32) -> ListedDatabase {
    ListedDatabase {
        uid: format!("s-{index}"),
        endpoint: databases.address(index),
        group: index % group_count,
        state: "up",
        primary: index < group_count,
        started_at_ms: 0,
    }
}
