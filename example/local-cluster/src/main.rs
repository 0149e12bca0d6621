//! A local cluster for trying the proxy on one machine. The primary, the replica and discovery run in this program; each proxy is a
//! separate process.
//!
//! The program prints each statement that reaches a database and each line that the proxies log. Writes appear on the replica without
//! delay. The cluster is not meant for production use.

mod proxies;

use birchreach_test_support::database::Database;
use birchreach_test_support::discovery::{Discovery, ListedDatabase};
use birchreach_test_support::process::Process;
use clap::Parser;
use proxies::{ProxyAddresses, ProxyStarter, proxy_name};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PRIMARY_PORT: u16 = 6001;
const REPLICA_PORT: u16 = 6002;
const DISCOVERY_PORT: u16 = 8500;
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts databases, discovery and proxies on this machine, and prints commands to try
#[derive(Parser)]
struct Arguments {
    /// Number of proxies, which form one fleet; 0 starts the databases alone
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(0..=9))]
    proxies: u16,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The databases and discovery. They stop when this value is dropped.
struct Databases {
    primary: Database,
    replica: Database,
    discovery: Discovery,
}

impl Databases {
    /// Starts both databases on shared rows, and a discovery server that lists them.
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

/// Prints commands for another terminal.
fn print_commands(proxies: u16) {
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

/// Prints the log lines of the proxies until `stop` is set by a signal.
fn print_logs_until_stopped(proxies: &[Process], stop: &AtomicBool) {
    println!(
        "\nPress Ctrl-C to stop the cluster. Statements at the databases and log lines of the proxies:\n"
    );
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
        print_commands(count);
    }
    print_logs_until_stopped(&proxies, &stop);
    // Stops the proxies before their folder is removed.
    drop(proxies);
    std::fs::remove_dir_all(&folder)
}
