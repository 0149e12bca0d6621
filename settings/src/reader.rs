//! Typed access to the keys of the settings JSON. `null` at a path has the same meaning as a missing key. In an element
//! of a list it is an unusable value.

use crate::error::{ExpectedValue, FoundValue, ROOT_KEY, SettingsError};
use birchreach::Micros;
use serde_json::Value;
use std::cell::RefCell;

const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// Returns the value at a path such as `limits.may_probe`. Returns `None` if the key is missing or `null`.
pub(crate) fn value_at<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(root, |value, key| value.get(key))?;
    (!found.is_null()).then_some(found)
}

/// Converts milliseconds, which can have a fraction, to microseconds. Fractions of a microsecond are cut off.
pub(crate) fn micros_from_ms(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND) as Micros
}

/// Reads values from the settings. An unusable value is recorded as an error and replaced by a default, so that reading
/// continues and all errors are found.
///
/// Methods whose names end in `_from` take a value that the caller has looked up. Their parameter `key` is the path of
/// the value for the error message.
pub(crate) struct Reader<'a> {
    root: &'a Value,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(root: &'a Value) -> Reader<'a> {
        let reader = Reader { root, errors: RefCell::default() };
        if !root.is_object() {
            reader.record_unexpected(ROOT_KEY, ExpectedValue::Object, root);
        }
        reader
    }

    /// Returns the errors in the order in which they were found.
    pub(crate) fn into_errors(self) -> Vec<SettingsError> {
        self.errors.into_inner()
    }

    /// Records that a key does not have one of the expected values.
    pub(crate) fn record_unexpected(&self, key: &str, expected: ExpectedValue, found: &Value) {
        let found = FoundValue::from(found);
        self.record(SettingsError::UnexpectedValue { key: key.to_string(), expected, found });
    }

    fn record(&self, error: SettingsError) {
        self.errors.borrow_mut().push(error);
    }

    /// Reads a number. A missing number is an error.
    pub(crate) fn required_number(&self, path: &str) -> f64 {
        self.required_number_from(value_at(self.root, path), path)
    }

    /// Reads a number. Returns the default if the number is missing.
    pub(crate) fn number_or(&self, path: &str, default: f64) -> f64 {
        self.number_from(value_at(self.root, path), path, default)
    }

    /// Reads a number. A missing number is an error.
    pub(crate) fn required_number_from(&self, value: Option<&Value>, key: &str) -> f64 {
        if value.is_none() {
            self.record(SettingsError::MissingNumber { key: key.to_string() });
        }
        self.number_from(value, key, 0.0)
    }

    /// Reads a number. Returns the default if the number is missing.
    pub(crate) fn number_from(&self, value: Option<&Value>, key: &str, default: f64) -> f64 {
        let Some(value) = value else { return default };
        match value.as_f64() {
            Some(number) if number.is_finite() && number >= 0.0 => number,
            _ => {
                self.record_unexpected(key, ExpectedValue::NonNegativeNumber, value);
                default
            }
        }
    }

    /// Reads a duration in milliseconds. A missing duration is an error.
    pub(crate) fn required_micros(&self, path: &str) -> Micros {
        micros_from_ms(self.required_number(path))
    }

    /// Reads a duration in milliseconds. Returns the default if the duration is missing.
    pub(crate) fn micros_or(&self, path: &str, default_ms: f64) -> Micros {
        micros_from_ms(self.number_or(path, default_ms))
    }

    /// Reads a boolean. Returns `false` if the boolean is missing.
    pub(crate) fn flag(&self, path: &str) -> bool {
        let Some(value) = value_at(self.root, path) else { return false };
        value.as_bool().unwrap_or_else(|| {
            self.record_unexpected(path, ExpectedValue::Boolean, value);
            false
        })
    }

    /// Reads a string and returns the value that `choices` assigns to it. Returns the default if the string is missing.
    pub(crate) fn choice<T: Copy>(&self, path: &str, choices: &[(&'static str, T)], default: T) -> T {
        self.choice_from(value_at(self.root, path), path, choices, default)
    }

    /// Reads a string and returns the value that `choices` assigns to it. Returns the default if the string is missing.
    pub(crate) fn choice_from<T: Copy>(
        &self,
        value: Option<&Value>,
        key: &str,
        choices: &[(&'static str, T)],
        default: T,
    ) -> T {
        let Some(value) = value else { return default };
        let Some(string) = self.string_from(Some(value), key) else { return default };
        let Some((_, chosen)) = choices.iter().find(|(choice, _)| *choice == string) else {
            let expected = choices.iter().map(|(choice, _)| *choice).collect();
            self.record_unexpected(key, ExpectedValue::OneOf(expected), value);
            return default;
        };
        *chosen
    }

    /// Reads a string. Returns `None` if the string is missing.
    pub(crate) fn string_from<'value>(&self, value: Option<&'value Value>, key: &str) -> Option<&'value str> {
        let value = value?;
        let string = value.as_str();
        if string.is_none() {
            self.record_unexpected(key, ExpectedValue::String, value);
        }
        string
    }

    /// Reads the elements of a list. Returns an empty slice if the list is missing.
    pub(crate) fn list(&self, path: &str) -> &'a [Value] {
        let Some(value) = value_at(self.root, path) else { return &[] };
        value.as_array().map_or_else(
            || {
                self.record_unexpected(path, ExpectedValue::List, value);
                &[][..]
            },
            Vec::as_slice,
        )
    }

    /// Reads a list of strings. An element of another kind is read as an empty string, so that the other elements keep
    /// their indices.
    pub(crate) fn strings(&self, path: &str) -> Vec<String> {
        self.list(path).iter().map(|value| value.as_str().unwrap_or_default().to_string()).collect()
    }
}
