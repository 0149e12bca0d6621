//! Errors in the platform's JSON file, with the paths of the keys that they concern.

use birchreach_settings::{FoundValue, SettingsError};
use std::error::Error;
use std::fmt::{self, Display};

/// A key of the platform's JSON file that is missing or has an unusable value, or a text that is not valid JSON.
#[derive(Debug)]
pub(crate) enum PlatformFileError {
    /// The text is not valid JSON.
    InvalidJson(serde_json::Error),
    /// A string is missing, and the environment variable that can replace it is not set.
    MissingString { key: &'static str, variable: &'static str },
    /// A value is not a string.
    NotAString { key: &'static str, found: FoundValue },
    /// A string is not an IP address with a port.
    InvalidAddress { key: &'static str, found: FoundValue },
    /// The limit of file descriptors is less than `min`, or not an integer.
    InvalidDescriptorLimit { min: u64, found: FoundValue },
    /// The limit of memory is less than `min` megabytes, or not a number.
    InvalidMemoryLimit { min: f64, found: FoundValue },
    /// The saved endpoint list is invalid.
    InvalidKnownEndpoints(serde_json::Error),
    /// The key `settings` is missing.
    MissingSettings,
    /// A setting is missing, or is not of the expected kind.
    UnreadableSetting(SettingsError),
    /// A setting is of the expected kind, but no request can be served with its value.
    UnusableSetting(UnusableSetting),
}

/// A setting whose value makes it impossible to serve requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UnusableSetting {
    /// There are no request classes.
    NoClasses,
    /// The name of the class with this index is empty, or also the name of an earlier class.
    NameNotUnique { class: usize, found: FoundValue },
    /// The client timeout of the class with this index is 0.
    ZeroTimeout { class: usize, found: FoundValue },
    /// The maximum number of attempts is 0.
    NoAttempts { found: FoundValue },
}

impl UnusableSetting {
    /// Returns the path of the key within the settings.
    pub(super) fn key(&self) -> String {
        match self {
            UnusableSetting::NoClasses => "classes".into(),
            UnusableSetting::NameNotUnique { class, .. } => format!("classes[{class}].name"),
            UnusableSetting::ZeroTimeout { class, .. } => format!("classes[{class}].deadline_ms"),
            UnusableSetting::NoAttempts { .. } => "limits.attempts_cap".into(),
        }
    }
}

impl PlatformFileError {
    /// Returns the path of the key that the error concerns; empty if the error concerns the entire file.
    pub(super) fn key_path(&self) -> String {
        match self {
            PlatformFileError::InvalidJson(_) => String::new(),
            PlatformFileError::MissingString { key, .. }
            | PlatformFileError::NotAString { key, .. }
            | PlatformFileError::InvalidAddress { key, .. } => (*key).into(),
            PlatformFileError::InvalidDescriptorLimit { .. } => "limits.sockets".into(),
            PlatformFileError::InvalidMemoryLimit { .. } => "limits.memory_mb".into(),
            PlatformFileError::InvalidKnownEndpoints(_) => "known".into(),
            PlatformFileError::MissingSettings => "settings".into(),
            PlatformFileError::UnreadableSetting(error) => format!("settings.{}", error.key()),
            PlatformFileError::UnusableSetting(setting) => format!("settings.{}", setting.key()),
        }
    }
}

impl Display for UnusableSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: ", self.key())?;
        match self {
            UnusableSetting::NoClasses => f.write_str("expected at least one class, found none"),
            UnusableSetting::NameNotUnique { found, .. } => {
                write!(f, "expected a name that is not empty and not used by an earlier class, found {found}")
            }
            UnusableSetting::ZeroTimeout { found, .. } => {
                write!(f, "expected a positive number, found {found}")
            }
            UnusableSetting::NoAttempts { found } => {
                write!(f, "expected a number of at least 1, found {found}")
            }
        }
    }
}

impl Display for PlatformFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformFileError::InvalidJson(error) => write!(f, "invalid JSON: {error}"),
            PlatformFileError::MissingString { key, variable } => {
                write!(f, "{key}: missing, expected a string here or in the environment variable {variable}")
            }
            PlatformFileError::NotAString { key, found } => {
                write!(f, "{key}: expected a string, found {found}")
            }
            PlatformFileError::InvalidAddress { key, found } => {
                write!(f, "{key}: expected an IP address and a port, found {found}")
            }
            PlatformFileError::InvalidDescriptorLimit { min, found } => {
                write!(f, "limits.sockets: expected an integer of at least {min}, found {found}")
            }
            PlatformFileError::InvalidMemoryLimit { min, found } => {
                write!(f, "limits.memory_mb: expected a number of at least {min}, found {found}")
            }
            PlatformFileError::InvalidKnownEndpoints(error) => {
                write!(f, "known: invalid endpoint list: {error}")
            }
            PlatformFileError::MissingSettings => f.write_str("settings: missing, expected an object"),
            PlatformFileError::UnreadableSetting(error) => error.fmt(f),
            PlatformFileError::UnusableSetting(setting) => setting.fmt(f),
        }
    }
}

impl Error for PlatformFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PlatformFileError::InvalidJson(error) | PlatformFileError::InvalidKnownEndpoints(error) => {
                Some(error)
            }
            PlatformFileError::UnreadableSetting(error) => Some(error),
            _ => None,
        }
    }
}

impl Error for UnusableSetting {}
