//! Errors in the options file.

use std::fmt;

/// Something wrong in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionsError {
    /// Its line, from 1.
    pub line: usize,
    /// The element, or `file`.
    pub element: String,
    /// What is wrong; it begins with the name of the attribute, if one is at fault.
    pub message: String,
}

impl OptionsError {
    pub(crate) fn new(line: usize, element: impl Into<String>, message: impl Into<String>) -> OptionsError {
        OptionsError { line, element: element.into(), message: message.into() }
    }

    /// An error of the file as a whole.
    pub(crate) fn in_file(line: usize, message: impl Into<String>) -> OptionsError {
        OptionsError::new(line, "file", message)
    }
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.element, self.message)
    }
}

impl std::error::Error for OptionsError {}
