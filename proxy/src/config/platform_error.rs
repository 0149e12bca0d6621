//! What is wrong with the platform's JSON, and where.

use birchreach_settings::SettingsError;
use std::error::Error;
use std::fmt::{self, Display};

/// A key of the platform's JSON that is absent or has an unusable value, or a text that is not JSON.
#[derive(Debug)]
pub(crate) enum PlatformFileError {
    /// The text is not JSON.
    InvalidJson(serde_json::Error),
    /// A string is absent, and the environment variable that may stand in for it is not set.
    MissingString { key: &'static str, variable: &'static str },
    /// A value is not a string.
    NotAString { key: &'static str },
    /// A string is not an address and a port.
    InvalidAddress { key: &'static str, found: String },
    /// The limit of descriptors is too low, or not a number.
    InvalidDescriptorLimit { min: u64 },
    /// The endpoint list as the proxy last had it cannot be read.
    InvalidKnownEndpoints(serde_json::Error),
    /// There are no settings.
    MissingSettings,
    /// A setting cannot be read.
    UnreadableSetting(SettingsError),
    /// A setting can be read, but no request can be served with it.
    UnusableSetting(UnusableSetting),
}

/// A setting with which no request can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnusableSetting {
    /// There are no request classes.
    NoClasses,
    /// The class with this index has no name, or that of an earlier one.
    NameNotUnique { class: usize },
    /// The client timeout of the class with this index is 0.
    ZeroTimeout { class: usize },
    /// No attempts are allowed.
    NoAttempts,
}

impl UnusableSetting {
    /// Path of the key within the settings.
    pub(super) fn key(self) -> String {
        match self {
            UnusableSetting::NoClasses => "classes".into(),
            UnusableSetting::NameNotUnique { class } => format!("classes[{class}].name"),
            UnusableSetting::ZeroTimeout { class } => format!("classes[{class}].deadline_ms"),
            UnusableSetting::NoAttempts => "limits.attempts_cap".into(),
        }
    }
}

impl PlatformFileError {
    /// Path of the key at fault; empty if it is the file as a whole.
    pub(super) fn key_path(&self) -> String {
        match self {
            PlatformFileError::InvalidJson(_) => String::new(),
            PlatformFileError::MissingString { key, .. }
            | PlatformFileError::NotAString { key }
            | PlatformFileError::InvalidAddress { key, .. } => (*key).into(),
            PlatformFileError::InvalidDescriptorLimit { .. } => "limits.sockets".into(),
            PlatformFileError::InvalidKnownEndpoints(_) => "known".into(),
            PlatformFileError::MissingSettings => "settings".into(),
            PlatformFileError::UnreadableSetting(error) => format!("settings.{}", error.key()),
            PlatformFileError::UnusableSetting(setting) => format!("settings.{}", setting.key()),
        }
    }
}

impl Display for UnusableSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expected = match self {
            UnusableSetting::NoClasses => "one at least",
            UnusableSetting::NameNotUnique { .. } => "a name of its own",
            UnusableSetting::ZeroTimeout { .. } | UnusableSetting::NoAttempts => "a positive number",
        };
        write!(f, "settings: {}: expected {expected}", self.key())
    }
}

impl Display for PlatformFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformFileError::InvalidJson(error) => write!(f, "not JSON: {error}"),
            PlatformFileError::MissingString { key, variable } => {
                write!(f, "{key}: absent, and {variable} is not set")
            }
            PlatformFileError::NotAString { key } => write!(f, "{key}: expected a word"),
            PlatformFileError::InvalidAddress { key, found } => {
                write!(f, "{key}: expected an address and a port, found '{found}'")
            }
            PlatformFileError::InvalidDescriptorLimit { min } => {
                write!(f, "limits.sockets: expected {min} or more")
            }
            PlatformFileError::InvalidKnownEndpoints(error) => write!(f, "known: {error}"),
            PlatformFileError::MissingSettings => f.write_str("settings: absent"),
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
