//! Typed access to the keys of the settings JSON. An absent key and `null` are the same.

use crate::error::{ExpectedValue, ROOT_KEY, SettingsError};
use birchreach::Micros;
use serde_json::Value;
use std::cell::RefCell;

const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// Looks up a path such as `limits.may_probe`.
pub(crate) fn find<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(root, |value, key| value.get(key))?;
    (!found.is_null()).then_some(found)
}

pub(crate) fn micros_from_ms(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND) as Micros
}

/// Reads values from the settings. An unusable value is recorded as an error and replaced by a harmless one, so that reading goes
/// on and all errors are found.
pub(crate) struct Reader<'a> {
    root: &'a Value,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'a> Reader<'a> {
    pub fn new(root: &'a Value) -> Reader<'a> {
        let reader = Reader { root, errors: RefCell::default() };
        if !root.is_object() {
            reader.unexpected(ROOT_KEY, ExpectedValue::Object);
        }
        reader
    }

    pub fn into_errors(self) -> Vec<SettingsError> {
        self.errors.into_inner()
    }

    /// Records a value of the wrong kind.
    pub fn unexpected(&self, key: &str, expected: ExpectedValue) {
        self.record(SettingsError::UnexpectedValue { key: key.to_string(), expected });
    }

    fn record(&self, error: SettingsError) {
        self.errors.borrow_mut().push(error);
    }

    /// A number that must be present.
    pub fn required_number(&self, path: &str) -> f64 {
        self.required_number_in(find(self.root, path), path)
    }

    /// A number, or its default if it is absent.
    pub fn number_or(&self, path: &str, default: f64) -> f64 {
        self.number_in(find(self.root, path), path, default)
    }

    pub fn required_number_in(&self, value: Option<&Value>, key: &str) -> f64 {
        if value.is_none() {
            self.record(SettingsError::MissingNumber { key: key.to_string() });
        }
        self.number_in(value, key, 0.0)
    }

    pub fn number_in(&self, value: Option<&Value>, key: &str, default: f64) -> f64 {
        let Some(value) = value else { return default };
        match value.as_f64() {
            Some(number) if number.is_finite() && number >= 0.0 => number,
            _ => {
                self.unexpected(key, ExpectedValue::NonNegativeNumber);
                default
            }
        }
    }

    pub fn required_micros(&self, path: &str) -> Micros {
        micros_from_ms(self.required_number(path))
    }

    pub fn micros_or(&self, path: &str, default_ms: f64) -> Micros {
        micros_from_ms(self.number_or(path, default_ms))
    }

    /// A boolean, false if it is absent.
    pub fn flag(&self, path: &str) -> bool {
        let Some(value) = find(self.root, path) else { return false };
        value.as_bool().unwrap_or_else(|| {
            self.unexpected(path, ExpectedValue::Boolean);
            false
        })
    }

    /// A word, or its default if it is absent.
    pub fn word_or(&self, path: &str, default: &'a str) -> &'a str {
        self.word_in(find(self.root, path), path, default)
    }

    pub fn word_in(&self, value: Option<&'a Value>, key: &str, default: &'a str) -> &'a str {
        let Some(value) = value else { return default };
        value.as_str().unwrap_or_else(|| {
            self.unexpected(key, ExpectedValue::Word);
            default
        })
    }

    /// The elements of a list; none if it is absent.
    pub fn list(&self, path: &str) -> &'a [Value] {
        let Some(value) = find(self.root, path) else { return &[] };
        value.as_array().map_or_else(
            || {
                self.unexpected(path, ExpectedValue::List);
                &[][..]
            },
            Vec::as_slice,
        )
    }

    /// The words of a list. An element that is not a word becomes an empty word and keeps its index.
    pub fn words(&self, path: &str) -> Vec<String> {
        self.list(path).iter().map(|value| value.as_str().unwrap_or_default().to_string()).collect()
    }
}
