//! A test rig: groups of databases, the discovery service that lists them, and the configuration files that point
//! proxies to the discovery service.

use crate::database::{Database, Rows};
use crate::discovery::{Discovery, ListedDatabase};
use crate::process::{Process, ProcessSettings};
use crate::rig_settings::settings;
use crate::system_call_faults::SystemCallFaults;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

/// A group of two databases.
pub struct Group {
    /// The database that starts as the primary.
    pub primary: Database,
    /// The database that starts as the replica.
    pub replica: Database,
    /// The rows that both databases share.
    pub rows: Arc<Rows>,
}

/// How many more descriptors the system allows a process than its configuration does.
const EXTRA_DESCRIPTORS: u32 = 64;

/// The lowest port of free addresses. Their ports stay below those that the system chooses for listeners on port 0.
const FIRST_PORT: u16 = 10_000;

/// Number of ports at which rigs may start their search. Each test process starts at a different one, so that two
/// concurrent runs of the same tests do not use the same ports.
const START_PORTS: u32 = 20_000;

/// Distance between the start ports of test processes with consecutive process ids.
const START_PORT_STEP: u32 = 97;

/// A discovery service and settings that a rig's proxies use instead of the rig's own.
pub struct ExternalDiscovery {
    /// The address on which the service listens.
    pub address: SocketAddr,
    /// The configuration's `settings`, as JSON.
    pub settings: String,
}

/// Databases, a discovery service and configuration files for proxies.
pub struct Rig {
    /// The groups. The index of a group is its number in the endpoint list and in requests.
    pub groups: Vec<Group>,
    /// The service that lists the databases of `groups`. Proxies ignore it if `external_discovery` is set.
    pub discovery: Discovery,
    folder: PathBuf,
    program: PathBuf,
    loopback_address: IpAddr,
    /// The next port that [`Rig::free_address`] tries.
    next_port: AtomicU16,
    /// The limit on descriptors in the configuration of proxies that are started after it is set.
    pub max_descriptors: u32,
    /// The limit on memory in the configuration of proxies that are started after it is set, in megabytes. `None` leaves it out.
    pub memory_mb: Option<u32>,
    /// The system calls that fail in proxies that are started after it is set.
    pub system_call_faults: Option<SystemCallFaults>,
    /// The point at which each proxy that is started after it is set stops itself once.
    pub stop_at: Option<&'static str>,
    /// If set, proxies use these instead of the rig's own discovery service and settings.
    pub external_discovery: Option<ExternalDiscovery>,
}

impl Rig {
    /// Starts the databases and the discovery service. `loopback_address` must not be in use elsewhere at the same
    /// time. The folder is deleted and created again.
    pub fn new(
        group_count: u32,
        loopback_address: [u8; 4],
        program: &Path,
        folder: &Path,
    ) -> io::Result<Rig> {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder)?;
        let loopback_address = IpAddr::from(loopback_address);
        let free = SocketAddr::new(loopback_address, 0);
        let new_group = |_| {
            let rows = Arc::default();
            let primary = Database::start(free, true, &rows, false)?;
            Ok(Group { primary, replica: Database::start(free, false, &rows, false)?, rows })
        };
        let groups = (0..group_count).map(new_group).collect::<io::Result<Vec<Group>>>()?;
        let discovery = Discovery::start(free, listed_databases(&groups))?;
        Ok(Rig {
            groups,
            discovery,
            folder: folder.into(),
            program: program.into(),
            loopback_address,
            next_port: AtomicU16::new(first_port()),
            max_descriptors: 1024,
            memory_mb: None,
            system_call_faults: None,
            stop_at: None,
            external_discovery: None,
        })
    }

    /// An address with a port that is currently free and that this rig has not returned before.
    pub fn free_address(&self) -> io::Result<SocketAddr> {
        loop {
            let port = self.next_port.fetch_add(1, Ordering::Relaxed);
            match TcpListener::bind((self.loopback_address, port)) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => continue,
                bound => return bound?.local_addr(),
            }
        }
    }

    /// The loopback address on which the databases and the discovery service listen.
    pub fn loopback_address(&self) -> IpAddr {
        self.loopback_address
    }

    /// The text of the configuration file for the proxy `p{seed}`.
    pub fn config(&self, seed: u64) -> String {
        let (discovery, settings) = match &self.external_discovery {
            Some(external) => (external.address, external.settings.clone()),
            None => (self.discovery.address(), settings()),
        };
        format!(
            r#"{{"name": "p{seed}", "listen": "{address}:0", "discovery": "{discovery}", "operator": "{address}:0",
 "seed": "{seed:016x}", "limits": {{"sockets": {sockets}{memory}}},
 "known": {{"rev": 0, "all": true, "targets": []}},
 "settings": {settings}}}"#,
            address = self.loopback_address,
            sockets = self.max_descriptors,
            memory = self.memory_mb.map_or(String::new(), |limit| format!(r#", "memory_mb": {limit}"#)),
        )
    }

    /// The text of an options file with both health check listeners. `callers` is the limit on simultaneous connections
    /// to each listener. `extra` is added within the element `health`.
    pub fn health_options(http: SocketAddr, agent: SocketAddr, callers: u32, extra: &str) -> String {
        format!(
            "<birchreach-options>\n<health>\n<http listen='{http}' callers='{callers}'/>\n\
             <agent listen='{agent}' callers='{callers}'/>\n{extra}\n</health>\n</birchreach-options>"
        )
    }

    /// Starts the proxy `p{number}` and waits until it accepts clients.
    pub fn start(
        &self,
        number: u64,
        options: Option<&str>,
        inherited_listener: Option<&TcpListener>,
    ) -> io::Result<Process> {
        let mut process = self.spawn(number, options, inherited_listener)?;
        process.wait_until_serving().ok_or_else(|| {
            io::Error::other(format!("proxy p{number} does not accept clients; its log: {:?}", process.log()))
        })?;
        Ok(process)
    }

    /// Starts the proxy `p{number}` without waiting until it accepts clients.
    pub fn spawn(
        &self,
        number: u64,
        options: Option<&str>,
        inherited_listener: Option<&TcpListener>,
    ) -> io::Result<Process> {
        Process::start(&ProcessSettings {
            program: &self.program,
            folder: &self.folder,
            name: &format!("p{number}"),
            config: &self.config(number),
            options,
            inherited_listener,
            max_descriptors: Some(self.max_descriptors + EXTRA_DESCRIPTORS),
            system_call_faults: self.system_call_faults.as_ref(),
            stop_at: self.stop_at,
        })
    }

    /// Starts the proxy `p{number}` with both health check listeners on free ports and waits until it accepts clients.
    /// For `callers` and `extra`, see [`Rig::health_options`].
    pub fn start_with_checks(&self, number: u64, callers: u32, extra: &str) -> io::Result<Process> {
        let free = SocketAddr::new(self.loopback_address, 0);
        self.start(number, Some(&Rig::health_options(free, free, callers, extra)), None)
    }

    /// Makes the replica of a group its primary. If `announced` is true, discovery lists the new primary too.
    pub fn fail_over(&self, group: usize, announced: bool) {
        let Group { primary, replica, .. } = &self.groups[group];
        primary.set_primary(false);
        replica.set_primary(true);
        if announced {
            self.announce_primary(group, replica.address());
        }
    }

    /// Makes the group's original primary the primary again, available and not hung, and lists it in discovery.
    pub fn restore(&self, group: usize) {
        let Group { primary, replica, .. } = &self.groups[group];
        replica.set_primary(false);
        primary.set_primary(true);
        primary.set_available(true);
        primary.set_hung(false);
        self.announce_primary(group, primary.address());
    }

    /// Makes discovery list this database as the group's primary.
    pub fn announce_primary(&self, group: usize, primary: SocketAddr) {
        self.discovery.change_databases(|databases| {
            for database in databases.iter_mut().filter(|database| database.group as usize == group) {
                database.primary = database.endpoint == primary;
            }
        });
    }
}

/// The port at which this process's rigs start to search for free ports.
fn first_port() -> u16 {
    let offset = std::process::id().wrapping_mul(START_PORT_STEP) % START_PORTS;
    FIRST_PORT + offset as u16
}

/// The initial endpoint list: all databases of these groups.
fn listed_databases(groups: &[Group]) -> Vec<ListedDatabase> {
    let mut listed = Vec::new();
    for (index, Group { primary, replica, .. }) in groups.iter().enumerate() {
        for (database, primary) in [(primary, true), (replica, false)] {
            let uid = format!("s-{index}{}", if primary { "p" } else { "r" });
            let (endpoint, group) = (database.address(), index as u32);
            listed.push(ListedDatabase { uid, endpoint, group, state: "up", primary, started_at_ms: 0 });
        }
    }
    listed
}
