//! Formats events as `key=value` lines, for people and `grep`.

use std::fmt::{self, Debug, Display, Write};
use tracing::field::{Field, Visit};

/// Appends the fields of an event to a line, in the order in which the event declares them.
pub(super) struct LogfmtFields<'a> {
    line: &'a mut String,
    is_first: bool,
}

impl LogfmtFields<'_> {
    pub(super) fn new(line: &mut String) -> LogfmtFields<'_> {
        LogfmtFields { line, is_first: true }
    }
}

impl Visit for LogfmtFields<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let separator = if std::mem::replace(&mut self.is_first, false) { "" } else { " " };
        // Writing to a string never fails.
        let _ = write!(self.line, "{separator}{}={value:?}", field.name());
    }
}

/// A text that is displayed in quotes, with quotes, backslashes and control characters escaped, so that it remains a
/// single value on a single line.
pub(crate) struct Quoted<T>(pub T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_char('"')?;
        for character in self.0.to_string().chars() {
            match character {
                '"' | '\\' => write!(f, "\\{character}")?,
                control if control.is_control() => write!(f, "\\u{:04x}", u32::from(control))?,
                plain => f.write_char(plain)?,
            }
        }
        f.write_char('"')
    }
}
