//! Groups of databases with discovery before them, and the files that let a proxy find them.

use crate::database::{Database, Rows};
use crate::discovery::{Discovery, ListedDatabase};
use crate::process::{Process, ProcessSettings};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

pub struct Group {
    pub primary: Database,
    pub replica: Database,
    pub rows: Arc<Rows>,
}

pub struct Rig {
    pub groups: Vec<Group>,
    pub discovery: Discovery,
    folder: PathBuf,
    program: PathBuf,
    loopback_address: IpAddr,
    /// Descriptors that a proxy is told it may hold.
    pub max_descriptors: u32,
    /// Another discovery and other settings than this rig's own.
    pub external_discovery: Option<(SocketAddr, String)>,
}

impl Rig {
    /// `own` is a loopback address that nobody else uses meanwhile; the folder is made anew.
    pub fn new(groups: u32, own: [u8; 4], program: &Path, folder: &Path) -> io::Result<Rig> {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder)?;
        let own = IpAddr::from(own);
        let free = SocketAddr::new(own, 0);
        let group = |_| {
            let rows = Arc::default();
            let primary = Database::start(free, true, &rows, false)?;
            Ok(Group { primary, replica: Database::start(free, false, &rows, false)?, rows })
        };
        let groups = (0..groups).map(group).collect::<io::Result<Vec<Group>>>()?;
        let discovery = Discovery::start(free, listed_databases(&groups))?;
        Ok(Rig {
            groups,
            discovery,
            folder: folder.into(),
            program: program.into(),
            loopback_address: own,
            max_descriptors: 1024,
            external_discovery: None,
        })
    }

    /// An address at a port that is free now.
    pub fn free_address(&self) -> io::Result<SocketAddr> {
        TcpListener::bind((self.loopback_address, 0))?.local_addr()
    }

    pub fn loopback_address(&self) -> IpAddr {
        self.loopback_address
    }

    pub fn config(&self, seed: u64) -> String {
        let (discovery, settings) = match &self.external_discovery {
            Some((discovery, settings)) => (*discovery, settings.clone()),
            None => (self.discovery.address(), settings()),
        };
        format!(
            r#"{{"name": "p{seed}", "listen": "{own}:0", "discovery": "{discovery}", "operator": "{own}:0",
 "seed": "{seed:016x}", "limits": {{"sockets": {sockets}}},
 "known": {{"rev": 0, "all": true, "targets": []}},
 "settings": {settings}}}"#,
            own = self.loopback_address,
            sockets = self.max_descriptors,
        )
    }

    /// Options with both listeners at these addresses, and whatever else stands within `health`.
    pub fn health_options(http: SocketAddr, agent: SocketAddr, callers: u32, more: &str) -> String {
        format!(
            "<birchreach-options>\n<health>\n<http listen='{http}' callers='{callers}'/>\n\
             <agent listen='{agent}' callers='{callers}'/>\n{more}\n</health>\n</birchreach-options>"
        )
    }

    /// Starts a proxy and waits until it serves.
    pub fn start(
        &self,
        n: u64,
        options: Option<&str>,
        inherited: Option<&TcpListener>,
    ) -> io::Result<Process> {
        let setup = ProcessSettings {
            program: &self.program,
            folder: &self.folder,
            name: &format!("p{n}"),
            config: &self.config(n),
            options,
            inherited_listener: inherited,
            max_descriptors: Some(self.max_descriptors + 64),
        };
        let mut process = Process::start(&setup)?;
        process
            .wait_until_serving()
            .ok_or_else(|| io::Error::other(format!("it does not serve: {:?}", process.log())))?;
        Ok(process)
    }

    /// One with both listeners at free ports of its own.
    pub fn start_with_checks(&self, n: u64, callers: u32, more: &str) -> io::Result<Process> {
        let free = SocketAddr::new(self.loopback_address, 0);
        self.start(n, Some(&Rig::health_options(free, free, callers, more)), None)
    }

    /// The replica of a group takes over. `told`: discovery says so too.
    pub fn fail_over(&self, group: usize, told: bool) {
        let g = &self.groups[group];
        g.primary.set_primary(false);
        g.replica.set_primary(true);
        if told {
            self.announce_primary(group, g.replica.address());
        }
    }

    /// The group's primary is its first one again, and it lives.
    pub fn restore(&self, group: usize) {
        let g = &self.groups[group];
        g.replica.set_primary(false);
        g.primary.set_primary(true);
        g.primary.set_available(true);
        g.primary.set_hung(false);
        self.announce_primary(group, g.primary.address());
    }

    /// Discovery names this one as the group's primary.
    pub fn announce_primary(&self, group: usize, primary: SocketAddr) {
        self.discovery.change_databases(|lines| {
            for line in lines.iter_mut().filter(|l| l.group as usize == group) {
                line.primary = line.endpoint == primary;
            }
        });
    }
}

fn listed_databases(groups: &[Group]) -> Vec<ListedDatabase> {
    let mut lines = Vec::new();
    for (n, g) in groups.iter().enumerate() {
        for (database, primary) in [(&g.primary, true), (&g.replica, false)] {
            let uid = format!("s-{n}{}", if primary { "p" } else { "r" });
            let (endpoint, group) = (database.address(), n as u32);
            lines.push(ListedDatabase { uid, endpoint, group, state: "up", primary, started_at_ms: 0 });
        }
    }
    lines
}

fn settings() -> String {
    let class = |name: &str, worth: f64, deadline: f64, idem: &str| {
        format!(
            r#"{{"name": "{name}", "credit": {worth}, "deadline_ms": {deadline}, "goal_time_ms": 750.0, "idempotency": "{idem}", "late_worth": 0.5}}"#
        )
    };
    let classes = [
        class("tariff-lookup", 1.0, 2500.0, "free"),
        class("file-entry", 6.0, 3000.0, "single_shot"),
        class("heavy", 1.0, 9000.0, "single_shot"),
    ];
    format!(
        r#"{{"balancers": 1, "my_zone": 0, "dcs": ["a"], "classes": [{}],
  "extra": {{"class_read": ["any", "write", "write"], "max_age_ms": [0.0, 0.0, 0.0], "guards": "silent", "tokens": "carried"}},
  "limits": {{"attempts_cap": 6, "may_cancel": true, "may_probe": true, "parallel_tries": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0}},
  "load_info": {{"names": ["x0", "x1"], "via": "pull"}},
  "obligations": {{"cold_ms": 18000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0}}}}"#,
        classes.join(", ")
    )
}
