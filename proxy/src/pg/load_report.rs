//! Parsing of the status that databases send: load reports, and the role and log position that accompany a reply.

use crate::units::MICROS_PER_MILLI;
use birchreach::{LoadReport, Micros, Role};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The format of the databases' load reports, as configured in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadReportFormat {
    /// The name of the field with the log position. `None`: reports have no position.
    pub position_field: Option<String>,
    /// The name of the field with the role. `None`: reports have no role.
    pub role_field: Option<String>,
    /// Whether every reply carries a report, not only replies to health checks.
    pub in_responses: bool,
}

impl LoadReportFormat {
    /// Parses a report such as `x0=1767225600.123,x1=1`. The position is in seconds of Unix time. `None`: a configured field is
    /// missing or invalid.
    pub(crate) fn parse(&self, text: &[u8]) -> Option<LoadReport> {
        let text = std::str::from_utf8(text).ok()?;
        let role = match &self.role_field {
            None => None,
            Some(name) => match number(text, name)? {
                1.0 => Some(Role::Primary),
                0.0 => Some(Role::Replica),
                _ => return None,
            },
        };
        let position = match &self.position_field {
            None => None,
            Some(name) => Some(seconds_to_position_rounded_down(number(text, name)?)),
        };
        Some(LoadReport { position, role })
    }
}

/// Returns the value of a field. `None`: the field is missing or is not a finite non-negative number.
fn number(report: &str, field: &str) -> Option<f64> {
    let mut fields = report.split(',').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(name, _)| *name == field)?;
    value.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)
}

/// Converts seconds to a position and rounds it down by half a millisecond, because the database may have rounded the last digit
/// up. The result is thus never later than the true position.
fn seconds_to_position_rounded_down(seconds: f64) -> Micros {
    (seconds * MILLIS_PER_SECOND - 0.5).floor() as Micros * MICROS_PER_MILLI
}

/// Parses the value of the parameter `server_role`. `None`: the role is unknown.
pub(crate) fn parse_role(text: &str) -> Option<Role> {
    match text {
        "writer" => Some(Role::Primary),
        "reader" => Some(Role::Replica),
        _ => None,
    }
}

/// Parses a position in milliseconds of Unix time. `None`: the text is not a non-negative number, or the number is too large.
pub(crate) fn parse_position_millis(text: &str) -> Option<Micros> {
    text.parse::<Micros>().ok().filter(|millis| *millis >= 0)?.checked_mul(MICROS_PER_MILLI)
}
