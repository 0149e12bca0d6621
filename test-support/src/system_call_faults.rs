//! Makes the system calls of a child process fail for a moment, with a library that is loaded into the process.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The source of the library.
const SHIM_SOURCE: &str = include_str!("../shim/system_calls.rs");

/// Error numbers of Linux that are the same on all of its architectures that the proxy runs on.
pub mod errno {
    /// A signal interrupted the call.
    pub const EINTR: i32 = 4;
    /// There is no memory for the call.
    pub const ENOMEM: i32 = 12;
    /// The system has no free file descriptor.
    pub const ENFILE: i32 = 23;
    /// The process has no free file descriptor.
    pub const EMFILE: i32 = 24;
    /// The address is in use.
    pub const EADDRINUSE: i32 = 98;
    /// The address, or a free port, is not available.
    pub const EADDRNOTAVAIL: i32 = 99;
    /// The network cannot be reached.
    pub const ENETUNREACH: i32 = 101;
    /// The connection was aborted before it was accepted.
    pub const ECONNABORTED: i32 = 103;
    /// There is no buffer space.
    pub const ENOBUFS: i32 = 105;
    /// Not an error: the call transfers one byte.
    pub const SHORT_TRANSFER: i32 = 0;
}

/// The faults of a child process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SystemCallFaults {
    faults: Vec<String>,
    seed: u64,
    duration_ms: Option<u64>,
    clock_step: Option<String>,
}

impl SystemCallFaults {
    /// No faults yet. The seed determines which calls fail.
    pub fn new(seed: u64) -> SystemCallFaults {
        SystemCallFaults { faults: Vec::new(), seed, duration_ms: None, clock_step: None }
    }

    /// Adds a call, of which one in `one_in` fails with one of these errors.
    pub fn failing(mut self, call: &str, one_in: u32, errors: &[i32]) -> SystemCallFaults {
        let errors: Vec<String> = errors.iter().map(i32::to_string).collect();
        self.faults.push(format!("{call}:{one_in}:{}", errors.join(",")));
        self
    }

    /// Lets calls fail only in this time after the start of the process, in milliseconds.
    pub fn for_milliseconds(mut self, duration_ms: u64) -> SystemCallFaults {
        self.duration_ms = Some(duration_ms);
        self
    }

    /// Steps the wall clock by this many seconds, at a time after the start of the process in milliseconds.
    pub fn stepping_clock(mut self, after_ms: u64, seconds: i64) -> SystemCallFaults {
        self.clock_step = Some(format!("{after_ms}:{seconds}"));
        self
    }

    /// Sets the environment variables of a process that is to have these faults.
    pub(crate) fn apply(&self, command: &mut Command, folder: &Path) -> io::Result<()> {
        command.env("BIRCHREACH_PRELOAD", library(folder)?).env("BIRCHREACH_FAULTS", self.faults.join(";"));
        command.env("BIRCHREACH_FAULT_SEED", self.seed.to_string());
        if let Some(duration) = self.duration_ms {
            command.env("BIRCHREACH_FAULT_MS", duration.to_string());
        }
        if let Some(step) = &self.clock_step {
            command.env("BIRCHREACH_CLOCK_STEP", step);
        }
        Ok(())
    }
}

/// Compiles the library once for each test process and returns its path.
fn library(folder: &Path) -> io::Result<PathBuf> {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    if let Some(path) = LIBRARY.get() {
        return Ok(path.clone());
    }
    let (source, library) = (folder.join("system_calls.rs"), folder.join("system_calls.so"));
    std::fs::write(&source, SHIM_SOURCE)?;
    let compiler = std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
    let mut command = Command::new(compiler);
    command.args(["--edition", "2024", "--crate-type", "cdylib", "-C", "opt-level=2", "-C", "panic=abort"]);
    let output = command.arg("-o").arg(&library).arg(&source).output()?;
    if !output.status.success() {
        return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
    }
    Ok(LIBRARY.get_or_init(|| library).clone())
}
