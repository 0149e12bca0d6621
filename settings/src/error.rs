//! Errors in the settings.

use serde_json::Value;
use std::fmt;

/// The key of errors that concern the entire text: it is not valid JSON, or its root is not an object.
pub(crate) const ROOT_KEY: &str = "info";
/// The most bytes of a value that a message shows. It keeps messages short whatever the settings contain.
const MAX_SHOWN_BYTES: usize = 60;

/// A text that is not valid JSON, or a key of the settings that is missing or has an unusable value.
#[derive(Debug)]
pub enum SettingsError {
    /// The text is not valid JSON.
    InvalidJson(serde_json::Error),
    /// A number without a default is missing.
    MissingNumber {
        /// Path of the key, with the index of each list element, such as `classes[2].deadline_ms`.
        key: String,
    },
    /// The value of a key is not one that the key can have.
    UnexpectedValue {
        /// Path of the key, with the index of each list element, such as `classes[2].deadline_ms`.
        key: String,
        /// The values that the key can have.
        expected: ExpectedValue,
        /// The value that the key has instead.
        found: FoundValue,
    },
}

/// The values that a key of the settings can have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedValue {
    /// A JSON object with further keys.
    Object,
    /// A JSON array.
    List,
    /// A number of zero or more.
    NonNegativeNumber,
    /// `true` or `false`.
    Boolean,
    /// A string with any content.
    String,
    /// One of these strings. There are at least two.
    OneOf(Vec<&'static str>),
}

/// A value of the settings, as an error message shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundValue {
    /// An object, whose contents the message leaves out.
    Object,
    /// A list, whose elements the message leaves out.
    List,
    /// The complete JSON text of a value of another kind, of which the message shows the first 60 bytes.
    Scalar(String),
}

impl From<&Value> for FoundValue {
    fn from(value: &Value) -> FoundValue {
        match value {
            Value::Object(_) => FoundValue::Object,
            Value::Array(_) => FoundValue::List,
            scalar => FoundValue::Scalar(scalar.to_string()),
        }
    }
}

impl SettingsError {
    /// Path of the key that is missing or has an unusable value; `info` if the error concerns the entire text.
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
            SettingsError::InvalidJson(error) => write!(f, "invalid JSON: {error}"),
            SettingsError::MissingNumber { .. } => {
                write!(f, "missing, expected {}", ExpectedValue::NonNegativeNumber)
            }
            SettingsError::UnexpectedValue { expected, found, .. } => {
                write!(f, "expected {expected}, found {found}")
            }
        }
    }
}

impl fmt::Display for ExpectedValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ExpectedValue::Object => f.write_str("an object"),
            ExpectedValue::List => f.write_str("a list"),
            ExpectedValue::NonNegativeNumber => f.write_str("a non-negative number"),
            ExpectedValue::Boolean => f.write_str("true or false"),
            ExpectedValue::String => f.write_str("a string"),
            ExpectedValue::OneOf(strings) => match strings.split_last() {
                Some((last, others)) => {
                    let others: Vec<String> = others.iter().map(|string| format!("\"{string}\"")).collect();
                    write!(f, "{} or \"{last}\"", others.join(", "))
                }
                None => Ok(()),
            },
        }
    }
}

impl fmt::Display for FoundValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FoundValue::Object => f.write_str("an object"),
            FoundValue::List => f.write_str("a list"),
            FoundValue::Scalar(text) => write_shortened(f, text),
        }
    }
}

/// Writes a text. A text that is too long for a message is cut at a character boundary and ends with `...`.
fn write_shortened(f: &mut fmt::Formatter, text: &str) -> fmt::Result {
    if text.len() <= MAX_SHOWN_BYTES {
        return f.write_str(text);
    }
    write!(f, "{}...", &text[..text.floor_char_boundary(MAX_SHOWN_BYTES)])
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::InvalidJson(error) => Some(error),
            SettingsError::MissingNumber { .. } | SettingsError::UnexpectedValue { .. } => None,
        }
    }
}
