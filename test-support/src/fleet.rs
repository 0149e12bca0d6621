//! A fleet of proxy processes that are configured as each other's peers, with a network relay in front of each. Also
//! reads reports from their admin listeners.

use crate::process::{MAX_WAIT, Process};
use crate::relay::Relays;
use crate::rig::Rig;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// The key file of all members: the key's number and its 16 bytes in hexadecimal.
const KEY_FILE_TEXT: &str = "1 000102030405060708090a0b0c0d0e0f\n";

/// Read and write permission for the owner only, which the proxy requires of a key file.
const KEY_FILE_MODE: u32 = 0o600;

/// The test rig and the network relays of a fleet's processes.
pub struct Fleet {
    /// Databases, discovery service and configuration files.
    pub rig: Rig,
    /// The network between the processes.
    pub relays: Relays,
    key_file: String,
    /// XML elements that are added to the options file after `fleet`.
    pub extra_options: String,
}

impl Fleet {
    /// Prepares a fleet of `process_count` processes without starting any. `loopback_address` and `folder` are those of
    /// [`Rig::new`]. `seed` determines the random choices of the relays.
    pub fn new(
        process_count: usize,
        loopback_address: [u8; 4],
        program: &Path,
        folder: &Path,
        seed: u64,
    ) -> io::Result<Fleet> {
        let rig = Rig::new(1, loopback_address, program, folder)?;
        let key_file = folder.join("keys");
        std::fs::write(&key_file, KEY_FILE_TEXT)?;
        std::fs::set_permissions(&key_file, std::fs::Permissions::from_mode(KEY_FILE_MODE))?;
        let relays = Relays::start(process_count, rig.loopback_address(), seed)?;
        Ok(Fleet { rig, relays, key_file: key_file.to_string_lossy().into(), extra_options: String::new() })
    }

    /// The text of a process's options file.
    pub fn options_xml(&self, process: usize) -> String {
        let listen = self.relays.process_addresses[process];
        let advertise = self.relays.relay_addresses[process];
        let peers: Vec<String> = self.relays.relay_addresses.iter().map(ToString::to_string).collect();
        format!(
            "<birchreach-options><fleet listen='{listen}' advertise='{advertise}' key-file='{}' peers='{}'/>{}</birchreach-options>",
            self.key_file,
            peers.join(" "),
            self.extra_options
        )
    }

    /// Starts a process. `shared_listener` is the listening socket for clients if another process of the same proxy
    /// uses it too; `None` lets the process bind its own.
    pub fn start(&self, process: usize, shared_listener: Option<&TcpListener>) -> io::Result<Process> {
        self.rig.start(process as u64 + 1, Some(&self.options_xml(process)), shared_listener)
    }
}

/// The answer of a process's admin listener to a call; empty if the process does not answer.
pub fn admin_call(process: &Process, call: &str) -> String {
    try_admin_call(process, call).unwrap_or_default()
}

fn try_admin_call(process: &Process, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(process.admin_address()?).ok()?;
    stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
    writeln!(stream, "{call}").ok()?;
    let _ = stream.shutdown(Shutdown::Write);
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// The value after `key` (which includes the `=`) in a process's answer to the admin call `fleet`; empty if the key is
/// missing.
pub fn fleet_value(process: &Process, key: &str) -> String {
    value_after(&admin_call(process, "fleet"), key)
}

/// The value after `key` (which includes the `=`) in a text of words; empty if the key is missing.
fn value_after(text: &str, key: &str) -> String {
    text.split_whitespace().find_map(|word| word.strip_prefix(key)).unwrap_or_default().to_string()
}

/// One process's view of the fleet, with the values as its admin listener writes them.
#[derive(Debug)]
struct FleetView {
    state: String,
    members: String,
    digest: String,
}

impl FleetView {
    fn of(process: &Process) -> FleetView {
        let text = admin_call(process, "fleet");
        FleetView {
            state: value_after(&text, "state="),
            members: value_after(&text, "members="),
            digest: value_after(&text, "digest="),
        }
    }
}

/// Checks that all these processes report the same settled fleet of `member_count` members. The error contains their
/// reports.
pub fn check_settled(member_count: usize, processes: &[&Process]) -> Result<(), String> {
    let views: Vec<FleetView> = processes.iter().map(|process| FleetView::of(process)).collect();
    let is_settled = |view: &FleetView| {
        view.state == "settled" && view.members == member_count.to_string() && view.digest == views[0].digest
    };
    if views.iter().all(is_settled) { Ok(()) } else { Err(format!("{views:?}")) }
}
