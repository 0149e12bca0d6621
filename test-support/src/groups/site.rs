//! Several groups with discovery before them, and a fleet of proxies that know of one another.

use super::member::{CapacityModel, Group};
use super::now_ms;
use crate::discovery::{Discovery, ListedDatabase};
use crate::fleet::Fleet;
use crate::process::Process;
use crate::rig::ExternalDiscovery;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// How long a member that ends is away.
const RESTART_TIME: Duration = Duration::from_millis(300);

pub struct ClusterRig {
    pub groups: Vec<Group>,
    pub discovery: Discovery,
    pub fleet: Fleet,
}

impl ClusterRig {
    /// `more`: elements of the options beside the fleet's.
    pub fn new(
        groups: Vec<Group>,
        places: usize,
        own: [u8; 4],
        program: &Path,
        folder: &Path,
        seed: u64,
        more: &str,
    ) -> io::Result<ClusterRig> {
        let discovery = Discovery::start(SocketAddr::new(IpAddr::from(own), 0), listed_databases(&groups))?;
        let mut fleet = Fleet::new(places, own, program, folder, seed)?;
        fleet.extra_options = more.into();
        fleet.rig.external_discovery =
            Some(ExternalDiscovery { address: discovery.address(), settings: settings(places) });
        Ok(ClusterRig { groups, discovery, fleet })
    }

    /// Groups of so many members each, none of which follows another.
    pub fn groups(
        count: usize,
        members: usize,
        own: [u8; 4],
        lag: i64,
        load: &CapacityModel,
    ) -> io::Result<Vec<Group>> {
        let at = SocketAddr::new(IpAddr::from(own), 0);
        (0..count).map(|_| Group::start(at, members, lag, load.clone(), None)).collect()
    }

    pub fn start(&self, n: usize) -> io::Result<Process> {
        self.fleet.start(n, None)
    }

    /// A member ends, is out of the list for a moment, and comes back cold: from where it stood, or as another database from a copy so
    /// old, by another name.
    pub fn restart(&self, group: usize, member: usize, back: i64) {
        self.groups[group].with_state(|s| s.members[member].running = false);
        self.update_discovery();
        thread::sleep(RESTART_TIME);
        self.groups[group].with_state(|s| s.restart(member, now_ms(), back));
        self.update_discovery();
    }

    /// Discovery names the primaries that there are.
    pub fn update_discovery(&self) {
        self.discovery.set_databases(listed_databases(&self.groups));
    }
}

impl Drop for ClusterRig {
    fn drop(&mut self) {
        self.groups.iter().for_each(Group::stop);
        self.discovery.stop();
    }
}

/// The list as it should be: who is up, and who is primary.
pub fn listed_databases(groups: &[Group]) -> Vec<ListedDatabase> {
    let mut all = Vec::new();
    for (n, group) in groups.iter().enumerate() {
        let (primary, state) = group.with_state(|s| {
            (
                s.primary,
                s.members.iter().map(|m| (m.running, m.started_at_ms, m.restore_count)).collect::<Vec<_>>(),
            )
        });
        for (member, (_, born, copies)) in state.into_iter().enumerate().filter(|(_, (up, ..))| *up) {
            all.push(ListedDatabase {
                // A database from a copy is another one.
                uid: format!("s-{n}-{member}-{copies}"),
                endpoint: group.address(member),
                group: n as u32,
                state: "up",
                primary: member == primary,
                started_at_ms: born,
            });
        }
    }
    all
}

/// The settings of such a site: a class of each kind.
fn settings(proxies: usize) -> String {
    let class = |name: &str, worth: f64, goal: f64, deadline: f64, idem: &str| {
        format!(
            r#"{{"name": "{name}", "credit": {worth}, "deadline_ms": {deadline}, "goal_time_ms": {goal}, "idempotency": "{idem}", "late_worth": 0.2}}"#
        )
    };
    let classes = [
        class("status-check", 3.0, 300.0, 1200.0, "free"),
        class("own-draft", 2.0, 500.0, 1500.0, "free"),
        class("tariff-lookup", 1.0, 600.0, 2500.0, "free"),
        class("file-entry", 6.0, 750.0, 3000.0, "single_shot"),
    ];
    format!(
        r#"{{"balancers": {proxies}, "my_zone": 0, "dcs": ["a"], "classes": [{}],
  "extra": {{"class_read": ["bounded", "session", "any", "write"], "max_age_ms": [800.0, 0.0, 0.0, 0.0], "guards": "silent", "tokens": "carried"}},
  "limits": {{"attempts_cap": 6, "may_cancel": false, "may_probe": true, "parallel_tries": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0}},
  "load_info": {{"names": ["x0", "x1"], "via": "pull"}},
  "obligations": {{"cold_ms": 6000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0}}}}"#,
        classes.join(", ")
    )
}
