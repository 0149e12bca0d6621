//! A test rig of several groups, the discovery service that lists them, and a fleet of proxies that are each other's
//! peers.

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

/// Downtime of a member that restarts.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Groups, a discovery service and a fleet. Dropping this value stops the groups and the discovery service.
pub struct ClusterRig {
    /// The groups. The index of a group is its number in the endpoint list and in requests.
    pub groups: Vec<Group>,
    /// The service that lists the running members. Call [`ClusterRig::update_discovery`] after a change of a primary or
    /// of the members that run.
    pub discovery: Discovery,
    /// The proxies' configuration and network.
    pub fleet: Fleet,
}

impl ClusterRig {
    /// Starts a discovery service for these groups and prepares a fleet without starting its processes. For the
    /// parameters, see [`Fleet::new`]; `extra_options` is the value of [`Fleet::extra_options`].
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

    /// Starts `count` groups without a parent group.
    pub fn groups(count: usize, loopback_address: [u8; 4], profile: &GroupProfile) -> io::Result<Vec<Group>> {
        let address = SocketAddr::new(IpAddr::from(loopback_address), 0);
        (0..count).map(|_| Group::start(address, profile, None)).collect()
    }

    /// Starts the proxy process with this index.
    pub fn start(&self, process: usize) -> io::Result<Process> {
        self.fleet.start(process, None)
    }

    /// Stops a member, removes it from the endpoint list for the downtime, and starts it again. If `behind_ms` is 0,
    /// the member keeps its data. Otherwise it is a new database, restored from a backup that is `behind_ms` old.
    pub fn restart(&self, group: usize, member: usize, behind_ms: i64) {
        self.groups[group].with_state(|state| state.members[member].running = false);
        self.update_discovery();
        thread::sleep(RESTART_TIME);
        self.groups[group].with_state(|state| state.restart(member, now_ms(), behind_ms));
        self.update_discovery();
    }

    /// Updates the endpoint list to the running members and the current primaries.
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

/// The correct endpoint list: the running members with the current primaries.
pub(super) fn listed_databases(groups: &[Group]) -> Vec<ListedDatabase> {
    let mut listed = Vec::new();
    for (group_index, group) in groups.iter().enumerate() {
        let (primary, members) = group.with_state(|state| (state.primary, state.members.clone()));
        for (index, member) in members.iter().enumerate().filter(|(_, member)| member.running) {
            listed.push(ListedDatabase {
                // A database that was restored from a backup has a new identity.
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

/// The value of `settings` in the configuration, with a request class of each consistency level.
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
