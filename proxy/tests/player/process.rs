//! A process of the program.

use super::PATIENCE;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A process of the program, and where operators call it.
pub struct Process {
    pub program: Child,
    pub log: Receiver<String>,
    pub admin: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

impl Process {
    /// Waits until it has stopped itself.
    pub fn stopped(&self) {
        let (stat, start) = (format!("/proc/{}/stat", self.program.id()), Instant::now());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(start.elapsed() < PATIENCE, "it goes on");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Starts the program and waits until it serves; also where clients connect, and its first log line.
    pub fn start(shell: &str, config: &str, shared: Option<&TcpListener>) -> (Process, SocketAddr, String) {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", shell]).env("RELAY_CONFIG", config).env("TMPDIR", format!("{config}.tmp"));
        if let Some(listener) = shared {
            let handed = OwnedFd::from(listener.try_clone().unwrap());
            command.stdin(Stdio::from(handed)).env("RELAY_INHERITED_FD", "3");
        }
        let mut program = command.stderr(Stdio::piped()).spawn().unwrap();
        let (lines, log) = channel();
        let errors = BufReader::new(program.stderr.take().unwrap());
        std::thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| lines.send(l)));
        let started = log.recv_timeout(PATIENCE).unwrap();
        let at = |name| started.split(' ').find_map(|w| w.strip_prefix(name)).unwrap().parse().unwrap();
        let (listen, admin) = (at("listen="), at("operator="));
        (Process { program, log, admin }, listen, started)
    }
}
