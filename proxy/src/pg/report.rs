//! What databases say of themselves: load reports, and the role and position that stand beside an answer.

use birchreach::{LoadReport, Micros, Role};

/// How databases write their load reports, by the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat {
    /// The names of the log position and of the role, where reports hold them.
    pub position_field: Option<String>,
    pub role_field: Option<String>,
    /// Each answer carries one, not those to probes alone.
    pub in_responses: bool,
}

impl LoadReportFormat {
    /// A report as `x0=1767225600.123,x1=1`: the position in seconds, where answers tell it in milliseconds. One
    /// that cannot be read in all its parts is none.
    pub fn parse(&self, text: &[u8]) -> Option<LoadReport> {
        let text = std::str::from_utf8(text).ok()?;
        let field = |wanted: &str| {
            let (_, value) =
                text.split(',').filter_map(|f| f.split_once('=')).find(|(name, _)| *name == wanted)?;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        let role = match self.role_field.as_deref().map(field) {
            None => None,
            Some(Some(1.0)) => Some(Role::Primary),
            Some(Some(0.0)) => Some(Role::Replica),
            Some(_) => return None,
        };
        let position = match self.position_field.as_deref().map(field) {
            None => None,
            // Rounded down, by all that its last digit may have been rounded up: never read as later than it was.
            Some(seconds) => Some((seconds? * 1000.0 - 0.5).floor() as Micros * 1000),
        };
        Some(LoadReport { position, role })
    }
}

/// As `server_role` has it.
pub fn parse_role(word: &str) -> Option<Role> {
    match word {
        "writer" => Some(Role::Primary),
        "reader" => Some(Role::Replica),
        _ => None,
    }
}

/// A position, in milliseconds of Unix time.
pub fn parse_position_millis(word: &str) -> Option<Micros> {
    word.parse::<Micros>().ok().filter(|ms| *ms >= 0)?.checked_mul(1000)
}
