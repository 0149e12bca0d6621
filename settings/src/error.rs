//! Errors in the settings.

use std::fmt;

/// What errors of the settings as a whole name in place of a key.
pub(crate) const ROOT_KEY: &str = "info";

/// A key of the settings that is absent or has an unusable value, or a text that is not JSON.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not JSON.
    InvalidJson(serde_json::Error),
    /// A number without a default is absent.
    MissingNumber {
        /// Path of the key, with the index of each list element: `classes[2].deadline_ms`.
        key: String,
    },
    /// The value of a key is of the wrong kind.
    UnexpectedValue {
        /// Path of the key, as above.
        key: String,
        /// What the key should hold.
        expected: ExpectedValue,
    },
}

/// What a key of the settings should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedValue {
    /// An object.
    Object,
    /// A list.
    List,
    /// A number of zero or more.
    NonNegativeNumber,
    /// A boolean.
    Boolean,
    /// A string, whichever.
    String,
    /// One of these strings, of which there are two or more.
    OneOf(Vec<&'static str>),
}

impl SettingsError {
    /// Path of the key at fault.
    pub fn key(&self) -> &str {
        match self {
            SettingsError::InvalidJson(_) => ROOT_KEY,
            SettingsError::MissingNumber { key } | SettingsError::UnexpectedValue { key, .. } => key,
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "settings: {}: ", self.key())?;
        match self {
            SettingsError::InvalidJson(error) => error.fmt(f),
            SettingsError::MissingNumber { .. } => f.write_str("expected a number, but it is absent"),
            SettingsError::UnexpectedValue { expected, .. } => write!(f, "expected {expected}"),
        }
    }
}

impl fmt::Display for ExpectedValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ExpectedValue::Object => f.write_str("an object"),
            ExpectedValue::List => f.write_str("a list"),
            ExpectedValue::NonNegativeNumber => f.write_str("a number that is not negative"),
            ExpectedValue::Boolean => f.write_str("true or false"),
            ExpectedValue::String => f.write_str("a word"),
            ExpectedValue::OneOf(strings) => match strings.split_last() {
                Some((last, others)) => write!(f, "{} or {last}", others.join(", ")),
                None => Ok(()),
            },
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::InvalidJson(error) => Some(error),
            SettingsError::MissingNumber { .. } | SettingsError::UnexpectedValue { .. } => None,
        }
    }
}
