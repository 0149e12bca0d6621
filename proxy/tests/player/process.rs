//! A process of the program.

use super::MAX_WAIT;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process of the program. Dropping it kills the process.
pub(super) struct Process {
    program: Child,
    /// Log lines that no step has read yet.
    pub log: Receiver<String>,
    /// The log line that reports that the process serves.
    pub first_log_line: String,
    pub client_address: SocketAddr,
    pub admin_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

impl Process {
    /// Starts the program with a shell command and waits until it serves.
    pub(super) fn start(shell_command: &str, config_path: &str, inherited: Option<&TcpListener>) -> Process {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", shell_command])
            .env("RELAY_CONFIG", config_path)
            .env("TMPDIR", format!("{config_path}.tmp"));
        if let Some(listener) = inherited {
            let descriptor = OwnedFd::from(listener.try_clone().unwrap());
            command.stdin(Stdio::from(descriptor)).env("RELAY_INHERITED_FD", "3");
        }
        let mut program = command.stderr(Stdio::piped()).spawn().unwrap();
        let (sender, log) = channel();
        let stderr = BufReader::new(program.stderr.take().unwrap());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        let first_log_line = log.recv_timeout(MAX_WAIT).unwrap();
        let client_address = address_after(&first_log_line, "listen=");
        let admin_address = address_after(&first_log_line, "operator=");
        Process { program, log, first_log_line, client_address, admin_address }
    }

    /// Waits until the process is in the stopped state, `T` in `/proc`.
    pub(super) fn wait_until_stopped(&self) {
        let stat_path = format!("/proc/{}/stat", self.program.id());
        let start = Instant::now();
        while !std::fs::read_to_string(&stat_path).unwrap().contains(") T ") {
            assert!(start.elapsed() < MAX_WAIT, "the process has not stopped within {MAX_WAIT:?}");
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    pub(super) fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.program.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < MAX_WAIT, "the process has not exited within {MAX_WAIT:?}");
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Sends a signal to the process. `name` has no `SIG` prefix: `HUP`.
    pub(super) fn signal(&self, name: &str) {
        let pid = self.program.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }
}

/// Returns the address that follows `key` in a log line. `key` includes the equals sign.
fn address_after(line: &str, key: &str) -> SocketAddr {
    line.split(' ').find_map(|word| word.strip_prefix(key)).unwrap().parse().unwrap()
}
