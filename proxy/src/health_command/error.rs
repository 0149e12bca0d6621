//! Errors of the command `health`.

use birchreach_options::OptionsError;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the command has no valid answer.
#[derive(Debug)]
pub(crate) enum HealthCommandError {
    /// The options file cannot be read.
    OptionsUnreadable { file: PathBuf, error: io::Error },
    /// The options are invalid. `first` is their first error.
    OptionsInvalid { file: PathBuf, first: Option<OptionsError> },
    /// Neither the command line nor the options name an address.
    NoAddress,
    /// The connection, the request or reading the response failed.
    Request { address: SocketAddr, error: ureq::Error },
    /// The HTTP status is neither 200 nor 503: the proxy has no such class or group, or the address is not that of a
    /// proxy.
    UnexpectedStatus { status: u16, body: String },
    /// The answer is not JSON.
    NotJson(serde_json::Error),
}

impl Display for HealthCommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HealthCommandError::OptionsUnreadable { file, error } => {
                write!(f, "{}: {error}", file.display())
            }
            HealthCommandError::OptionsInvalid { file, first } => {
                write!(f, "{}: ", file.display())?;
                first.iter().try_for_each(|error| error.fmt(f))
            }
            HealthCommandError::NoAddress => {
                writeln!(f, "no address to query: pass --at, or --options with an http element")
            }
            HealthCommandError::Request { address, error } => {
                writeln!(f, "the health query to {address} failed: {error}")
            }
            HealthCommandError::UnexpectedStatus { status, body } => {
                write!(f, "expected HTTP status 200 or 503 from the proxy, got {status}: {body}")
            }
            HealthCommandError::NotJson(error) => writeln!(f, "the proxy's answer is not JSON: {error}"),
        }
    }
}

impl Error for HealthCommandError {}
