//! What is wrong with a configuration.

use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::path::PathBuf;

/// Something wrong at a place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1 on.
    pub line: usize,
    /// The key or the element.
    pub element: String,
    /// What is wrong with it.
    pub message: String,
}

/// Why a configuration is not taken. Each is printed as one plain line.
#[derive(Debug)]
pub enum ConfigError {
    /// `RELAY_CONFIG` names no file.
    NotNamed,
    /// The file cannot be read.
    Unreadable { file: String, error: io::Error },
    /// The file's JSON is faulty; this is the first fault.
    Invalid { file: String, fault: String },
    /// The options are faulty; this is the first fault, and so many follow.
    Options { first: Option<ConfigFault>, more: usize },
    /// A file of keys is faulty.
    KeyFile(ConfigFault),
    /// A key of the configuration in force is absent, or has a value of another kind.
    KeyAbsent(String),
    /// A list of settings has not one value for each class.
    NotOneForEachClass(&'static str),
}

impl Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file.display(), self.line, self.element, self.message)
    }
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NotNamed => {
                f.write_str("RELAY_CONFIG is not set: it must name the configuration file")
            }
            ConfigError::Unreadable { file, error } => write!(f, "{file}: {error}"),
            ConfigError::Invalid { file, fault } => write!(f, "{file}: {}", fault.replace('\n', " ")),
            ConfigError::Options { first, more } => {
                if let Some(fault) = first {
                    fault.fmt(f)?;
                }
                if *more > 0 { write!(f, " (and {more} more)") } else { Ok(()) }
            }
            ConfigError::KeyFile(fault) => fault.fmt(f),
            ConfigError::KeyAbsent(path) => write!(f, "{path}: absent, or not of its kind"),
            ConfigError::NotOneForEachClass(key) => {
                write!(f, "settings.extra.{key}: expected one for each class")
            }
        }
    }
}

impl Error for ConfigFault {}

impl Error for ConfigError {}
