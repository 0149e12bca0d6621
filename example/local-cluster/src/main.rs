//! A cluster to try the proxy with on one machine: a primary, a replica and discovery in this program, and proxies as processes of their
//! own.
//!
//! It prints each statement that reaches a database and what the proxies log. The replica has every write at once. Nothing here is meant
//! for real use.

use birchreach_test_support::database::Database;
use birchreach_test_support::discovery::{Discovery, ListedDatabase};
use birchreach_test_support::process::{Process, ProcessSettings};
use clap::Parser;
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Port of the primary database.
const PRIMARY_PORT: u16 = 6001;
/// Port of the replica.
const REPLICA_PORT: u16 = 6002;
/// Port of discovery.
const DISCOVERY_PORT: u16 = 8500;
/// Port at which the first proxy takes clients.
const CLIENT_PORT: u16 = 6432;
/// Port at which the first proxy takes operators.
const ADMIN_PORT: u16 = 6433;
/// Port at which the first proxy takes its peers; those of the others follow without a gap.
const FLEET_PORT: u16 = 7100;
/// The ports for clients and operators of one proxy and the next are this far apart.
const PORT_STEP: u16 = 10;
/// Length of the key by which proxies authenticate one another.
const KEY_BYTES: usize = 16;
/// How often the logs of the proxies are read.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts databases, discovery and proxies on this machine, and says what to type
#[derive(Parser)]
struct Arguments {
    /// So many proxies, which know of one another; 0: start them by hand
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(0..=9))]
    proxies: u16,
}

/// Where a proxy listens.
struct ProxyAddresses {
    clients: SocketAddr,
    admin: SocketAddr,
    fleet: SocketAddr,
}

impl ProxyAddresses {
    /// The addresses of a proxy, numbered from 0.
    fn of(number: u16) -> ProxyAddresses {
        ProxyAddresses {
            clients: loopback(CLIENT_PORT + PORT_STEP * number),
            admin: loopback(ADMIN_PORT + PORT_STEP * number),
            fleet: loopback(FLEET_PORT + number),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The name of a proxy, which counts from 1.
fn proxy_name(number: u16) -> String {
    format!("local-{}", number + 1)
}

/// The databases and discovery, which live as long as this value.
struct Databases {
    primary: Database,
    replica: Database,
    discovery: Discovery,
}

impl Databases {
    /// Starts both databases on the same rows, and discovery that lists them.
    fn start() -> io::Result<Databases> {
        let rows = Arc::default();
        let primary = Database::start(loopback(PRIMARY_PORT), true, &rows, true)?;
        let replica = Database::start(loopback(REPLICA_PORT), false, &rows, true)?;
        let listed = |uid: &str, primary, database: &Database| ListedDatabase {
            uid: uid.into(),
            endpoint: database.address(),
            group: 0,
            state: "up",
            started_at_ms: 0,
            primary,
        };
        let list = vec![listed("local-primary", true, &primary), listed("local-replica", false, &replica)];
        let discovery = Discovery::start(loopback(DISCOVERY_PORT), list)?;
        Ok(Databases { primary, replica, discovery })
    }

    fn print_addresses(&self) {
        println!(
            "primary {}, replica {}, discovery {}",
            self.primary.address(),
            self.replica.address(),
            self.discovery.address()
        );
    }
}

/// Starts proxies with files in a folder of their own.
struct ProxyStarter {
    program: PathBuf,
    folder: PathBuf,
    key_file: PathBuf,
    /// How many proxies there are in all.
    count: u16,
}

impl ProxyStarter {
    fn new(folder: &Path, count: u16) -> io::Result<ProxyStarter> {
        Ok(ProxyStarter {
            program: proxy_program()?,
            folder: folder.into(),
            key_file: write_key_file(folder)?,
            count,
        })
    }

    /// Starts a proxy and waits until it serves.
    fn start(&self, number: u16) -> io::Result<Process> {
        let name = proxy_name(number);
        let options = self.options(number);
        let mut process = Process::start(&ProcessSettings {
            program: &self.program,
            folder: &self.folder,
            name: &name,
            config: &self.configuration(number)?,
            options: (self.count > 1).then_some(&options),
            inherited_listener: None,
            max_descriptors: None,
        })?;
        let serving = process.wait_until_serving();
        serving.ok_or_else(|| io::Error::other(format!("{name} does not serve: {:?}", process.log())))?;
        Ok(process)
    }

    /// The example's configuration with what differs from proxy to proxy.
    fn configuration(&self, number: u16) -> io::Result<String> {
        let addresses = ProxyAddresses::of(number);
        let mut configuration: Value = serde_json::from_str(include_str!("../../config.json"))?;
        configuration["name"] = json!(proxy_name(number));
        configuration["listen"] = json!(addresses.clients);
        configuration["operator"] = json!(addresses.admin);
        configuration["seed"] = json!(format!("{:x}", number + 1));
        configuration["settings"]["balancers"] = json!(self.count);
        Ok(configuration.to_string())
    }

    /// The options by which the proxies know of one another.
    fn options(&self, number: u16) -> String {
        let peers: Vec<String> =
            (0..self.count).map(|number| ProxyAddresses::of(number).fleet.to_string()).collect();
        format!(
            "<birchreach-options><fleet listen='{}' key-file='{}' peers='{}'/></birchreach-options>",
            ProxyAddresses::of(number).fleet,
            self.key_file.display(),
            peers.join(" ")
        )
    }
}

/// The proxy's program, beside this one; built first if it is not there.
fn proxy_program() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("birchreach-proxy");
    if !program.exists() {
        println!("building the proxy ...");
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "-p", "birchreach-proxy", "--locked"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        build.status()?;
    }
    Ok(program)
}

/// A key that all proxies share and only this user may read.
fn write_key_file(folder: &Path) -> io::Result<PathBuf> {
    let mut secret = [0; KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|error| io::Error::other(error.to_string()))?;
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let path = folder.join("keys");
    // A process with the same pid may have left one.
    let _ = std::fs::remove_file(&path);
    let mut file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
    writeln!(file, "1 {digits}")?;
    Ok(path)
}

/// Prints what to type in another terminal.
fn print_statements(proxies: u16) {
    println!(
        "\nPaste into another terminal:\n\n  psql -h 127.0.0.1 -p 6432 -U api ledger -c \"INSERT INTO rows (handle, blob) \
         VALUES ('7f3a', '\\x9f03') RETURNING blob /* id=01,c=file-entry,d=3000,cluster=0 */\"\n  psql -h 127.0.0.1 -p 6432 \
         -U api ledger -c \"SELECT blob FROM rows WHERE handle = '7f3a' /* id=02,c=tariff-lookup,d=2500,cluster=0 */\"\n  \
         echo stats | nc 127.0.0.1 6433"
    );
    if proxies > 1 {
        println!("  echo fleet | nc 127.0.0.1 6433");
    }
}

/// Prints what the proxies log until the program receives a signal to stop.
fn print_logs(proxies: &[Process], stop: &AtomicBool) {
    println!("\nCtrl-C ends all of it. What reaches the databases, and what the proxies log:\n");
    let mut printed = vec![0; proxies.len()];
    while !stop.load(Ordering::Relaxed) {
        for (proxy, printed) in proxies.iter().zip(&mut printed) {
            let log = proxy.log();
            log[*printed..].iter().for_each(|line| println!("{line}"));
            *printed = log.len();
        }
        std::thread::sleep(LOG_POLL_INTERVAL);
    }
}

fn main() -> io::Result<()> {
    let Arguments { proxies: count } = Arguments::parse();
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let databases = Databases::start()?;
    databases.print_addresses();
    let folder = std::env::temp_dir().join(format!("birchreach-local-cluster-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut proxies = Vec::new();
    if count > 0 {
        let starter = ProxyStarter::new(&folder, count)?;
        for number in 0..count {
            proxies.push(starter.start(number)?);
            let ProxyAddresses { clients, admin, .. } = ProxyAddresses::of(number);
            println!("proxy {}: clients {clients}, operators {admin}", proxy_name(number));
        }
        print_statements(count);
    }
    print_logs(&proxies, &stop);
    // Ends the proxies, which use the folder.
    drop(proxies);
    std::fs::remove_dir_all(&folder)
}
