//! A fleet of processes of the program that know of one another, with a relay before each, and what their listeners say of it.

use crate::process::{MAX_WAIT, Process};
use crate::relay::Relays;
use crate::rig::Rig;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

pub struct Fleet {
    pub rig: Rig,
    pub relays: Relays,
    key_file: String,
    /// Elements of the options beside this one.
    pub extra_options: String,
}

impl Fleet {
    /// Of so many places; nobody is there yet.
    pub fn new(count: usize, own: [u8; 4], program: &Path, folder: &Path, seed: u64) -> io::Result<Fleet> {
        let rig = Rig::new(1, own, program, folder)?;
        let keys = folder.join("keys");
        std::fs::write(&keys, "1 000102030405060708090a0b0c0d0e0f\n")?;
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600))?;
        let relays = Relays::start(count, rig.loopback_address(), seed)?;
        Ok(Fleet { rig, relays, key_file: keys.to_string_lossy().into(), extra_options: String::new() })
    }

    /// The options of a place's process.
    pub fn options_xml(&self, n: usize) -> String {
        let (listen, advertise) = (self.relays.process_addresses[n], self.relays.relay_addresses[n]);
        let peers: Vec<String> = self.relays.relay_addresses.iter().map(ToString::to_string).collect();
        format!(
            "<birchreach-options><fleet listen='{listen}' advertise='{advertise}' key-file='{}' peers='{}'/>{}</birchreach-options>",
            self.key_file,
            peers.join(" "),
            self.extra_options
        )
    }

    /// Starts the process of a place. `shared`: the clients' listening socket, where another process of its proxy has it too.
    pub fn start(&self, n: usize, shared: Option<&TcpListener>) -> io::Result<Process> {
        self.rig.start(n as u64 + 1, Some(&self.options_xml(n)), shared)
    }
}

/// What the admin listener of a process answers; empty if it does not.
pub fn admin_call(process: &Process, call: &str) -> String {
    let told = || {
        let mut stream = TcpStream::connect(process.admin_address()?).ok()?;
        stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
        writeln!(stream, "{call}").ok()?;
        let _ = stream.shutdown(Shutdown::Write);
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    };
    told().unwrap_or_default()
}

/// A value of the view, `key` with its `=`.
pub fn fleet_value(process: &Process, key: &str) -> String {
    let text = admin_call(process, "fleet");
    text.split_whitespace().find_map(|w| w.strip_prefix(key)).unwrap_or_default().to_string()
}

/// All of these say that the fleet is settled, of so many, and mean the same. Otherwise, what they say.
pub fn check_settled(members: usize, all: &[&Process]) -> Result<(), String> {
    let one = |p: &&Process| {
        let text = admin_call(p, "fleet");
        let word =
            |key| text.split_whitespace().find_map(|w| w.strip_prefix(key)).unwrap_or_default().to_string();
        (word("state="), word("members="), word("digest="))
    };
    let views: Vec<_> = all.iter().map(one).collect();
    let well =
        |v: &(String, String, String)| v.0 == "settled" && v.1 == members.to_string() && v.2 == views[0].2;
    if views.iter().all(well) { Ok(()) } else { Err(format!("{views:?}")) }
}
