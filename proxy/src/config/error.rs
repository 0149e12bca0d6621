//! Errors and warnings about a configuration, its options and its key files.

use super::key_file::KeyFileError;
use super::platform_error::PlatformFileError;
use crate::startup_retry::StartupError;
use birchreach_options::OptionsError;
use birchreach_settings::SettingsWarning;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::path::{Path, PathBuf};

/// An error or a warning at a line of a file.
#[derive(Debug)]
pub(crate) struct ConfigDiagnostic {
    /// Path of the file, or the name of the environment variable that does not name a file.
    pub file: PathBuf,
    /// Line of the file, counted from 1. It is 1 if the diagnostic concerns the entire file.
    pub line: usize,
    /// The cause, with the key or element that it concerns.
    pub kind: DiagnosticKind,
}

/// The cause of an error or a warning.
#[derive(Debug)]
pub(crate) enum DiagnosticKind {
    /// The environment variable with the path of the configuration file is not set.
    FileNotSpecified,
    /// The file cannot be read.
    Unreadable(io::Error),
    /// The platform's JSON file has an error.
    PlatformFile(PlatformFileError),
    /// A setting is unknown or contradicts another one. It does not prevent the configuration from being applied.
    Warning(SettingsWarning),
    /// The options file has an error.
    Options(Box<OptionsError>),
    /// A key file has an error.
    KeyFile(KeyFileError),
}

/// The reason why a configuration is not applied. The message is a single line.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// `RELAY_CONFIG` is not set.
    FileNotSpecified,
    /// The file cannot be read.
    Unreadable { file: String, error: io::Error },
    /// The platform's JSON file has errors, of which this is the first.
    Invalid { file: String, first: Option<PlatformFileError> },
    /// The options file has errors. `more` is the number of errors after the first.
    Options { first: Option<ConfigDiagnostic>, more: usize },
    /// A key file has an error.
    KeyFile(ConfigDiagnostic),
    /// A key of the running configuration is missing, or has a value of another type.
    MissingKey(String),
    /// A list of settings does not have one entry for each class.
    ClassListLengthMismatch { key: &'static str, entries: usize, classes: usize },
}

impl StartupError for ConfigError {
    fn system_error(&self) -> Option<&io::Error> {
        match self {
            ConfigError::Unreadable { error, .. } => Some(error),
            ConfigError::Options { first: Some(diagnostic), .. } | ConfigError::KeyFile(diagnostic) => {
                diagnostic.kind.system_error()
            }
            _ => None,
        }
    }
}

impl DiagnosticKind {
    /// Returns the error of the system, if the cause is one.
    fn system_error(&self) -> Option<&io::Error> {
        match self {
            DiagnosticKind::Unreadable(error) | DiagnosticKind::KeyFile(KeyFileError::Unreadable(error)) => {
                Some(error)
            }
            _ => None,
        }
    }
}

impl ConfigDiagnostic {
    /// Returns an error that concerns an entire file.
    pub(super) fn for_file(file: &Path, kind: DiagnosticKind) -> ConfigDiagnostic {
        ConfigDiagnostic { file: file.into(), line: 1, kind }
    }
}

impl Display for ConfigDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.kind)
    }
}

impl Display for DiagnosticKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiagnosticKind::FileNotSpecified => f.write_str(
                "file: the environment variable is not set; set it to the path of the configuration file, or use --config",
            ),
            DiagnosticKind::Unreadable(error) => write!(f, "file: cannot be read: {error}"),
            DiagnosticKind::PlatformFile(error @ PlatformFileError::InvalidJson(_)) => write!(f, "file: {error}"),
            DiagnosticKind::PlatformFile(error) => error.fmt(f),
            DiagnosticKind::Warning(warning) => warning.fmt(f),
            DiagnosticKind::Options(error) => write!(f, "{}: {}", error.element, error.kind),
            DiagnosticKind::KeyFile(error) => write!(f, "key: {error}"),
        }
    }
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::FileNotSpecified => {
                f.write_str("RELAY_CONFIG is not set; set it to the path of the configuration file")
            }
            ConfigError::Unreadable { file, error } => write!(f, "{file}: cannot be read: {error}"),
            ConfigError::Invalid { file, first } => {
                let message = first.as_ref().map(ToString::to_string).unwrap_or_default();
                write!(f, "{file}: {}", message.replace('\n', " "))
            }
            ConfigError::Options { first, more } => {
                if let Some(error) = first {
                    error.fmt(f)?;
                }
                if *more > 0 { write!(f, " (and {more} more)") } else { Ok(()) }
            }
            ConfigError::KeyFile(error) => error.fmt(f),
            ConfigError::MissingKey(path) => {
                write!(f, "{path}: missing, or of another type than in the running configuration")
            }
            ConfigError::ClassListLengthMismatch { key, entries, classes } => write!(
                f,
                "settings.extra.{key}: expected one entry for each class, found {entries} for {classes} classes"
            ),
        }
    }
}

impl Error for ConfigDiagnostic {}

impl Error for ConfigError {}
