//! What is wrong with a configuration.

use super::key_file::KeyFileError;
use super::platform_error::PlatformFileError;
use birchreach_options::OptionsError;
use birchreach_settings::SettingsWarning;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::path::{Path, PathBuf};

/// Something wrong at a place in a file.
#[derive(Debug)]
pub(crate) struct ConfigFault {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1 on.
    pub line: usize,
    /// What is wrong, and with which key or element.
    pub kind: FaultKind,
}

/// What is wrong in a file.
#[derive(Debug)]
pub(crate) enum FaultKind {
    /// The environment variable that should name the file is not set.
    FileNotSpecified,
    /// The file cannot be read.
    Unreadable(io::Error),
    /// The platform's JSON is faulty.
    PlatformFile(PlatformFileError),
    /// A setting is probably not meant; it is applied all the same.
    Warning(SettingsWarning),
    /// The options are faulty.
    Options(Box<OptionsError>),
    /// A file of keys is faulty.
    KeyFile(KeyFileError),
}

/// Why a configuration is not applied. Each is printed as one plain line.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// `RELAY_CONFIG` names no file.
    FileNotSpecified,
    /// The file cannot be read.
    Unreadable { file: String, error: io::Error },
    /// The file's JSON is faulty; this is the first fault.
    Invalid { file: String, first: Option<PlatformFileError> },
    /// The options are faulty. `more` is the number of faults after the first.
    Options { first: Option<ConfigFault>, more: usize },
    /// A file of keys is faulty.
    KeyFile(ConfigFault),
    /// A key of the configuration in force is absent, or has a value of another kind.
    MissingKey(String),
    /// A list of settings has not one value for each class.
    ClassListLengthMismatch(&'static str),
}

impl ConfigFault {
    /// A fault of a file as a whole.
    pub(super) fn for_file(file: &Path, kind: FaultKind) -> ConfigFault {
        ConfigFault { file: file.into(), line: 1, kind }
    }
}

impl Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.kind)
    }
}

impl Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::FileNotSpecified => f.write_str("file: not set: it must name the configuration file"),
            FaultKind::Unreadable(error) => write!(f, "file: {error}"),
            FaultKind::PlatformFile(error @ PlatformFileError::InvalidJson(_)) => write!(f, "file: {error}"),
            FaultKind::PlatformFile(error) => error.fmt(f),
            FaultKind::Warning(warning) => warning.fmt(f),
            FaultKind::Options(error) => write!(f, "{}: {}", error.element, error.kind),
            FaultKind::KeyFile(error) => write!(f, "key: {error}"),
        }
    }
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::FileNotSpecified => {
                f.write_str("RELAY_CONFIG is not set: it must name the configuration file")
            }
            ConfigError::Unreadable { file, error } => write!(f, "{file}: {error}"),
            ConfigError::Invalid { file, first } => {
                let fault = first.as_ref().map(ToString::to_string).unwrap_or_default();
                write!(f, "{file}: {}", fault.replace('\n', " "))
            }
            ConfigError::Options { first, more } => {
                if let Some(fault) = first {
                    fault.fmt(f)?;
                }
                if *more > 0 { write!(f, " (and {more} more)") } else { Ok(()) }
            }
            ConfigError::KeyFile(fault) => fault.fmt(f),
            ConfigError::MissingKey(path) => write!(f, "{path}: absent, or not of its kind"),
            ConfigError::ClassListLengthMismatch(key) => {
                write!(f, "settings.extra.{key}: expected one for each class")
            }
        }
    }
}

impl Error for ConfigFault {}

impl Error for ConfigError {}
