//! The built program as a child of a test, with files of its own.

use crate::lock;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than any machine stalls; nothing waits for it unless it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// What a process is started with.
pub struct ProcessSettings<'a> {
    pub program: &'a Path,
    /// A folder that is there.
    pub folder: &'a Path,
    pub name: &'a str,
    pub config: &'a str,
    /// Without it the process has no options.
    pub options: Option<&'a str>,
    /// The clients' listening socket, where the platform holds it.
    pub inherited_listener: Option<&'a TcpListener>,
    /// Descriptors that the system gives it.
    pub max_descriptors: Option<u32>,
}

pub struct Process {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    config: PathBuf,
    options: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn start(setup: &ProcessSettings) -> std::io::Result<Process> {
        let file = |ending: &str| setup.folder.join(format!("{}.{ending}", setup.name));
        let (config, options, tmp) = (file("json"), file("xml"), setup.folder.join("tmp"));
        std::fs::create_dir_all(&tmp)?;
        std::fs::write(&config, setup.config)?;
        let mut shell = setup.max_descriptors.map_or(String::new(), |n| format!("ulimit -n {n}; "));
        shell += &format!("exec '{}'", setup.program.display());
        if let Some(text) = setup.options {
            std::fs::write(&options, text)?;
            shell += &format!(" --options '{}'", options.display());
        }
        let mut command = Command::new("/bin/sh");
        command.env("RELAY_CONFIG", &config).env("TMPDIR", &tmp).stderr(Stdio::piped()).stdin(Stdio::null());
        if let Some(listener) = setup.inherited_listener {
            shell += " 3<&0 </dev/null";
            command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("RELAY_INHERITED_FD", "3");
        }
        let mut child = command.args(["-c", &shell]).spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(errors) = child.stderr.take() {
            let log = log.clone();
            thread::spawn(move || {
                BufReader::new(errors).lines().map_while(Result::ok).for_each(|line| lock(&log).push(line));
            });
        }
        Ok(Process { child, log, config, options })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The first line so far that has all of these words.
    pub fn find_log_line(&self, words: &[&str]) -> Option<String> {
        lock(&self.log).iter().find(|line| words.iter().all(|w| line.contains(w))).cloned()
    }

    /// The first line with all of these words, once it is there.
    pub fn wait_for_log_line(&self, words: &[&str]) -> Option<String> {
        let start = Instant::now();
        loop {
            if let Some(line) = self.find_log_line(words) {
                return Some(line);
            }
            if start.elapsed() > MAX_WAIT {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn logged_address(&self, words: &[&str], key: &str) -> Option<SocketAddr> {
        self.wait_for_log_line(words)?.split(' ').find_map(|w| w.strip_prefix(key))?.parse().ok()
    }

    /// Where clients connect, once it serves; none if it ends before.
    pub fn wait_until_serving(&mut self) -> Option<SocketAddr> {
        loop {
            let started = lock(&self.log).iter().any(|l| l.contains("event=started"));
            if started || matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                thread::sleep(Duration::from_millis(10));
                return if started { self.client_address() } else { None };
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn client_address(&self) -> Option<SocketAddr> {
        self.logged_address(&["event=started"], "listen=")
    }

    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.logged_address(&["event=started"], "operator=")
    }

    /// Where checks of a kind, `http` or `agent`, are answered.
    pub fn check_address(&self, kind: &str) -> Option<SocketAddr> {
        self.logged_address(&["event=health-listening", &format!("kind={kind}")], "at=")
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Replaces the files' texts and has them read again.
    pub fn reload(&self, config: &str, options: &str) -> std::io::Result<()> {
        std::fs::write(&self.config, config)?;
        std::fs::write(&self.options, options)?;
        self.signal("HUP");
        Ok(())
    }

    /// Its exit code, once it has ended.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(2));
        }
        None
    }

    /// Time on a processor so far; the program has one thread.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).ok()?;
        Some(Duration::from_nanos(stat.split(' ').next()?.parse().ok()?))
    }

    /// Resident memory, in KiB.
    pub fn resident_memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().split(' ').next()?.parse().ok()
    }
}
