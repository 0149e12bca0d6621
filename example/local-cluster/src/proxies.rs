//! Starts the proxies of the cluster as processes, with their files in a temporary folder.

use crate::loopback;
use birchreach_test_support::process::{Process, ProcessSettings};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Client port of the first proxy.
const CLIENT_PORT: u16 = 6432;
/// Admin port of the first proxy.
const ADMIN_PORT: u16 = 6433;
/// Gossip port of the first proxy. The other proxies use the ports that follow.
const FLEET_PORT: u16 = 7100;
/// Distance between the client ports, and between the admin ports, of consecutive proxies.
const PORT_STEP: u16 = 10;
/// Length of the key with which proxies authenticate one another.
const KEY_BYTES: usize = 16;

/// The addresses on which a proxy listens.
pub(crate) struct ProxyAddresses {
    pub(crate) clients: SocketAddr,
    pub(crate) admin: SocketAddr,
    fleet: SocketAddr,
}

impl ProxyAddresses {
    /// Returns the addresses of a proxy. Proxy numbers start at 0.
    pub(crate) fn of(number: u16) -> ProxyAddresses {
        ProxyAddresses {
            clients: loopback(CLIENT_PORT + PORT_STEP * number),
            admin: loopback(ADMIN_PORT + PORT_STEP * number),
            fleet: loopback(FLEET_PORT + number),
        }
    }
}

/// Returns the name of a proxy. Names count from 1, proxy numbers from 0.
pub(crate) fn proxy_name(number: u16) -> String {
    format!("local-{}", number + 1)
}

/// Starts proxies that share a program, a folder and a key file.
pub(crate) struct ProxyStarter {
    program: PathBuf,
    folder: PathBuf,
    key_file: PathBuf,
    /// The number of proxies in the cluster.
    count: u16,
}

impl ProxyStarter {
    /// Finds the proxy's program, building it if it is missing, and writes the key file.
    pub(crate) fn new(folder: &Path, count: u16) -> io::Result<ProxyStarter> {
        Ok(ProxyStarter {
            program: proxy_program()?,
            folder: folder.into(),
            key_file: write_key_file(folder)?,
            count,
        })
    }

    /// Starts a proxy and waits until it accepts clients.
    pub(crate) fn start(&self, number: u16) -> io::Result<Process> {
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
            system_call_faults: None,
            stop_at: None,
        })?;
        let serving = process.wait_until_serving();
        serving.ok_or_else(|| {
            io::Error::other(format!("{name} did not start to accept clients; its log: {:?}", process.log()))
        })?;
        Ok(process)
    }

    /// Returns `example/config.json` with the name, addresses and seed of one proxy.
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

    /// Returns the options that make the proxies one fleet.
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

/// Returns the path of the proxy's program in the folder of this executable. Builds the program if it is missing.
fn proxy_program() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("birchreach-proxy");
    if !program.exists() {
        println!("building birchreach-proxy ...");
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

/// Writes a random key that all proxies share. Only this user may read the file.
fn write_key_file(folder: &Path) -> io::Result<PathBuf> {
    let mut secret = [0; KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|error| io::Error::other(error.to_string()))?;
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let path = folder.join("keys");
    // An earlier process with the same pid may have left a key file.
    let _ = std::fs::remove_file(&path);
    let mut file = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
    writeln!(file, "1 {digits}")?;
    Ok(path)
}
