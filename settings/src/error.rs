//! Errors in the settings.

use std::fmt;

/// A key of the settings that is absent or has an unusable value, or a text that is not JSON.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not JSON.
    InvalidJson(serde_json::Error),
    /// The value of a key is absent or of the wrong kind.
    UnexpectedValue {
        /// Path of the key, with the index of each list element: `classes[2].deadline_ms`.
        key: String,
        /// What the key should hold.
        expected: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SettingsError::InvalidJson(error) => write!(f, "settings: info: {error}"),
            SettingsError::UnexpectedValue { key, expected } => {
                write!(f, "settings: {key}: expected {expected}")
            }
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::InvalidJson(error) => Some(error),
            SettingsError::UnexpectedValue { .. } => None,
        }
    }
}
