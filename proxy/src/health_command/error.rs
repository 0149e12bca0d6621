//! Errors of the command `health`.

use birchreach_options::OptionsError;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum HealthCommandError {
    /// The options cannot be read.
    OptionsUnreadable { file: PathBuf, error: io::Error },
    /// The options are invalid; this is the first error.
    OptionsInvalid { file: PathBuf, first: Option<OptionsError> },
    /// Neither the command line nor the options name an address.
    NoAddress,
    /// The request failed.
    Request { address: SocketAddr, error: ureq::Error },
    /// The proxy has no such class or group, or the address is not a proxy's.
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
                writeln!(f, "not reached: no address: give --at, or --options with an http element")
            }
            HealthCommandError::Request { address, error } => {
                writeln!(f, "not reached: {address}: {error}")
            }
            HealthCommandError::UnexpectedStatus { status, body } => {
                write!(f, "no such thing there: {status} {body}")
            }
            HealthCommandError::NotJson(error) => writeln!(f, "not reached: no JSON came: {error}"),
        }
    }
}

impl Error for HealthCommandError {}
