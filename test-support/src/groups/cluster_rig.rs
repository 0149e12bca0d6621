//! A test rig of several groups, the discovery service that lists them, and a fleet of proxies that know one another.

use super::member::{Group, GroupProfile};
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

/// How long a member that restarts is away.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Groups, discovery and a fleet; dropping it stops the groups and the discovery.
pub struct ClusterRig {
    /// The groups of databases.
    pub groups: Vec<Group>,
    /// The discovery service.
    pub discovery: Discovery,
    /// The proxies' rig and network.
    pub fleet: Fleet,
}

impl ClusterRig {
    /// Starts discovery for these groups and prepares a fleet. `extra_options`: elements of the options file, beside `fleet`.
    pub fn new(
        groups: Vec<Group>,
        process_count: usize,
        loopback_address: [u8; 4],
        program: &Path,
        folder: &Path,
        seed: u64,
        extra_options: &str,
    ) -> io::Result<ClusterRig> {
        let discovery =
            Discovery::start(SocketAddr::new(IpAddr::from(loopback_address), 0), listed_databases(&groups))?;
        let mut fleet = Fleet::new(process_count, loopback_address, program, folder, seed)?;
        fleet.extra_options = extra_options.into();
        fleet.rig.external_discovery =
            Some(ExternalDiscovery { address: discovery.address(), settings: settings(process_count) });
        Ok(ClusterRig { groups, discovery, fleet })
    }

    /// Starts so many groups, none of which follows another.
    pub fn groups(count: usize, loopback_address: [u8; 4], profile: &GroupProfile) -> io::Result<Vec<Group>> {
        let address = SocketAddr::new(IpAddr::from(loopback_address), 0);
        (0..count).map(|_| Group::start(address, profile, None)).collect()
    }

    /// Starts a proxy process.
    pub fn start(&self, process: usize) -> io::Result<Process> {
        self.fleet.start(process, None)
    }

    /// Ends a member, takes it out of the list for a moment, and starts it again: with its data, or (`behind_ms` above 0) as
    /// another database, restored from a copy so old.
    pub fn restart(&self, group: usize, member: usize, behind_ms: i64) {
        self.groups[group].with_state(|state| state.members[member].running = false);
        self.update_discovery();
        thread::sleep(RESTART_TIME);
        self.groups[group].with_state(|state| state.restart(member, now_ms(), behind_ms));
        self.update_discovery();
    }

    /// Makes discovery list the members that run, and the primaries as they are.
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

/// The list as it should be: the running members, with the present primaries.
pub(super) fn listed_databases(groups: &[Group]) -> Vec<ListedDatabase> {
    let mut listed = Vec::new();
    for (group_index, group) in groups.iter().enumerate() {
        let (primary, members) = group.with_state(|state| (state.primary, state.members.clone()));
        for (index, member) in members.iter().enumerate().filter(|(_, member)| member.running) {
            listed.push(ListedDatabase {
                // A database restored from a copy has another identity.
                uid: format!("s-{group_index}-{index}-{}", member.restore_count),
                endpoint: group.address(index),
                group: group_index as u32,
                state: "up",
                primary: index == primary,
                started_at_ms: member.started_at_ms,
            });
        }
    }
    listed
}

/// The settings of such a cluster: a request class of each kind.
fn settings(proxies: usize) -> String {
    let class = |name: &str,
                 priority_weight: f64,
                 latency_objective_ms: f64,
                 deadline_ms: f64,
                 idempotency: &str| {
        format!(
            r#"{{"name": "{name}", "credit": {priority_weight}, "deadline_ms": {deadline_ms}, "goal_time_ms": {latency_objective_ms}, "idempotency": "{idempotency}", "late_worth": 0.2}}"#
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
