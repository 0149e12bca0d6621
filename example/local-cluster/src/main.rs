//! A toy to try the proxy with: a primary, a replica and discovery's agent in one program, which prints each statement
//! that reaches it, and proxies before them, as processes of their own. The replica has every write at once. Nothing here is meant
//! for real use.

use birchreach_test_support::database::Database;
use birchreach_test_support::discovery::{Discovery, Line};
use birchreach_test_support::process::{Process, Setup};
use clap::Parser;
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Starts toy databases, discovery and proxies on this machine, and says what to type
#[derive(Parser)]
struct Toy {
    /// So many proxies, which know of one another; 0: start them by hand
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(0..=9))]
    proxies: u16,
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The ports of proxy n: clients, operators, other proxies.
fn ports(n: u16) -> [SocketAddr; 3] {
    [at(6432 + 10 * n), at(6433 + 10 * n), at(7100 + n)]
}

/// The proxy's program, beside this one; built first where it is not there.
fn program() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("birchreach-proxy");
    if !program.exists() {
        println!("building the proxy ...");
        let mut build =
            std::process::Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.args(["build", "-p", "birchreach-proxy", "--locked"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        build.status()?;
    }
    Ok(program)
}

fn start(program: &Path, folder: &Path, keys: &Path, n: u16, of: u16) -> io::Result<Process> {
    let [clients, operators, fleet] = ports(n);
    let mut config: Value = serde_json::from_str(include_str!("../../config.json"))?;
    config["name"] = json!(format!("toy-{}", n + 1));
    config["listen"] = json!(clients);
    config["operator"] = json!(operators);
    config["seed"] = json!(format!("{:x}", n + 1));
    config["settings"]["balancers"] = json!(of);
    let peers: Vec<String> = (0..of).map(|n| ports(n)[2].to_string()).collect();
    let options = format!(
        "<birchreach-options><fleet listen='{fleet}' key-file='{}' peers='{}'/></birchreach-options>",
        keys.display(),
        peers.join(" ")
    );
    let mut process = Process::start(&Setup {
        program,
        folder,
        name: &format!("toy-{}", n + 1),
        config: &config.to_string(),
        options: (of > 1).then_some(&options),
        inherited: None,
        descriptors: None,
    })?;
    process
        .serves()
        .ok_or_else(|| io::Error::other(format!("proxy {} does not serve: {:?}", n + 1, process.log())))?;
    Ok(process)
}

/// A key that all of them share, and only this user may read.
fn keys(folder: &Path) -> io::Result<PathBuf> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut secret = [0; 16];
    getrandom::fill(&mut secret).map_err(|e| io::Error::other(e.to_string()))?;
    let digits: String = secret.iter().map(|b| format!("{b:02x}")).collect();
    let path = folder.join("keys");
    let _ = std::fs::remove_file(&path);
    let mut file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
    writeln!(file, "1 {digits}")?;
    Ok(path)
}

fn main() -> io::Result<()> {
    let Toy { proxies } = Toy::parse();
    let over = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, over.clone())?;
    }
    let rows = Arc::default();
    let line = |uid: &str, primary, database: &Database| Line {
        uid: uid.into(),
        endpoint: database.address(),
        group: 0,
        state: "up",
        boot_ms: 0,
        primary,
    };
    let primary = Database::start(at(6001), true, &rows, true)?;
    let replica = Database::start(at(6002), false, &rows, true)?;
    let list = vec![line("toy-primary", true, &primary), line("toy-replica", false, &replica)];
    let discovery = Discovery::start(at(8500), list)?;
    println!(
        "primary {}, replica {}, discovery {}",
        primary.address(),
        replica.address(),
        discovery.address()
    );
    let folder = std::env::temp_dir().join(format!("birchreach-toy-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let keys = keys(&folder)?;
    let mut all = Vec::new();
    if proxies > 0 {
        let program = program()?;
        for n in 0..proxies {
            all.push(start(&program, &folder, &keys, n, proxies)?);
            println!("proxy toy-{}: clients {}, operators {}", n + 1, ports(n)[0], ports(n)[1]);
        }
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
    println!("\nCtrl-C ends all of it. What reaches the databases, and what the proxies log:\n");
    let mut told = vec![0; all.len()];
    while !over.load(Ordering::Relaxed) {
        for (process, told) in all.iter().zip(&mut told) {
            let log = process.log();
            log[*told..].iter().for_each(|line| println!("{line}"));
            *told = log.len();
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    // The proxies end with it.
    drop(all);
    std::fs::remove_dir_all(&folder)
}
