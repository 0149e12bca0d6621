//! Runs the built program as a child process of a test, with its own configuration and options files.

use crate::lock;
use crate::system_call_faults::SystemCallFaults;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of every wait. It is longer than any stall of a loaded test machine, so a test reaches it only when it
/// fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Interval at which waits check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Pause after the process has logged its start or has exited, so that the log lines written at the same time have
/// arrived.
const LOG_SETTLE_TIME: Duration = Duration::from_millis(10);

/// The settings that a process is started with.
pub struct ProcessSettings<'a> {
    /// Path of the built program. A shell receives it in single quotation marks, so it must not contain any.
    pub program: &'a Path,
    /// An existing folder for the process's files.
    pub folder: &'a Path,
    /// Base name of the configuration and options files within the folder, without extensions.
    pub name: &'a str,
    /// Text of the configuration file.
    pub config: &'a str,
    /// Text of the options file; `None` starts the process without options.
    pub options: Option<&'a str>,
    /// The listening socket for clients that the process inherits; `None` lets it bind its own.
    pub inherited_listener: Option<&'a TcpListener>,
    /// The limit on open file descriptors (`ulimit -n`); `None` keeps the test's own limit.
    pub max_descriptors: Option<u32>,
    /// The faults of the process's system calls; `None` lets all calls through.
    pub system_call_faults: Option<&'a SystemCallFaults>,
    /// The point at which a debug build of the program stops itself once; `None` lets it run.
    pub stop_at: Option<&'a str>,
}

/// A running process. Dropping this handle kills the process.
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
    /// Writes the configuration and options files and starts the program.
    pub fn start(settings: &ProcessSettings) -> std::io::Result<Process> {
        let file = |ending: &str| settings.folder.join(format!("{}.{ending}", settings.name));
        let (config, options, tmp) = (file("json"), file("xml"), settings.folder.join("tmp"));
        std::fs::create_dir_all(&tmp)?;
        std::fs::write(&config, settings.config)?;
        let mut shell = settings.max_descriptors.map_or(String::new(), |n| format!("ulimit -n {n}; "));
        if settings.system_call_faults.is_some() {
            // The shell itself runs without the library.
            shell += "export LD_PRELOAD=$BIRCHREACH_PRELOAD; ";
        }
        shell += &format!("exec '{}'", settings.program.display());
        if let Some(text) = settings.options {
            std::fs::write(&options, text)?;
            shell += &format!(" --options '{}'", options.display());
        }
        let mut command = Command::new("/bin/sh");
        command.env("RELAY_CONFIG", &config).env("TMPDIR", &tmp).stderr(Stdio::piped()).stdin(Stdio::null());
        if let Some(faults) = settings.system_call_faults {
            faults.apply(&mut command, settings.folder)?;
        }
        if let Some(point) = settings.stop_at {
            command.env("BIRCHREACH_TEST_STOP_AT", point);
        }
        if let Some(listener) = settings.inherited_listener {
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

    /// The process id of the program. The shell that starts the program replaces itself with it, so the id is the same.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The lines that the process has written to standard error since its start, oldest first. A line appears here
    /// shortly after the process has written it.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The first log line that contains all of these words; `None` if no such line has arrived yet.
    pub fn find_log_line(&self, words: &[&str]) -> Option<String> {
        lock(&self.log).iter().find(|line| words.iter().all(|w| line.contains(w))).cloned()
    }

    /// Waits for the first log line that contains all of these words; `None` after [`MAX_WAIT`].
    pub fn wait_for_log_line(&self, words: &[&str]) -> Option<String> {
        let start = Instant::now();
        loop {
            if let Some(line) = self.find_log_line(words) {
                return Some(line);
            }
            if start.elapsed() > MAX_WAIT {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the first log line that contains these words and returns the address after `key` (which includes the
    /// `=`).
    fn logged_address(&self, words: &[&str], key: &str) -> Option<SocketAddr> {
        self.wait_for_log_line(words)?.split(' ').find_map(|w| w.strip_prefix(key))?.parse().ok()
    }

    /// Waits until the process accepts clients and returns the address for clients. `None` if the process exits first.
    pub fn wait_until_serving(&mut self) -> Option<SocketAddr> {
        loop {
            let started = lock(&self.log).iter().any(|l| l.contains("event=started"));
            if started || matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                thread::sleep(LOG_SETTLE_TIME);
                return if started { self.client_address() } else { None };
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The address for clients, from the log. Waits up to [`MAX_WAIT`] for the start to be logged.
    pub fn client_address(&self) -> Option<SocketAddr> {
        self.logged_address(&["event=started"], "listen=")
    }

    /// The address of the admin listener, from the log. Waits up to [`MAX_WAIT`] for the start to be logged.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.logged_address(&["event=started"], "operator=")
    }

    /// The address of the health check listener of this kind, `http` or `agent`, from the log. Waits up to [`MAX_WAIT`]
    /// for the listener to be logged.
    pub fn check_address(&self, kind: &str) -> Option<SocketAddr> {
        self.logged_address(&["event=health-listening", &format!("kind={kind}")], "at=")
    }

    /// Sends the process a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Replaces the configuration and options files and makes the process reload them (SIGHUP).
    pub fn reload(&self, config: &str, options: &str) -> std::io::Result<()> {
        std::fs::write(&self.config, config)?;
        std::fs::write(&self.options, options)?;
        self.signal("HUP");
        Ok(())
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits and returns its exit code. `None` after [`MAX_WAIT`] or if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// CPU time that the process has used since its start; `None` if the system does not report it. The file read
    /// covers only the main thread, which suffices because the program has one thread.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid())).ok()?;
        Some(Duration::from_nanos(stat.split(' ').next()?.parse().ok()?))
    }

    /// Kills the process as soon as its resident memory exceeds the limit, as the platform does. The returned flag tells whether
    /// that has happened.
    pub fn enforce_memory_limit(&self, limit_kib: u64) -> Arc<AtomicBool> {
        let exceeded = Arc::new(AtomicBool::new(false));
        let (pid, flag) = (self.pid(), exceeded.clone());
        thread::spawn(move || {
            while let Some(resident) = memory_kib(pid, "VmRSS:") {
                if resident > limit_kib {
                    flag.store(true, Ordering::Relaxed);
                    let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                    return;
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
        exceeded
    }

    /// Current resident memory in KiB; `None` if the system does not report it.
    pub fn resident_memory_kib(&self) -> Option<u64> {
        memory_kib(self.pid(), "VmRSS:")
    }

    /// Highest resident memory since the start in KiB; `None` if the system does not report it.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        memory_kib(self.pid(), "VmHWM:")
    }

    /// Number of open file descriptors; `None` if the system does not report it.
    pub fn open_descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.pid())).ok()?.count())
    }
}

/// The value with this label in `/proc/<pid>/status`, in KiB. `None` once the process has exited.
fn memory_kib(pid: u32, label: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|l| l.strip_prefix(label))?.trim().split(' ').next()?.parse().ok()
}
