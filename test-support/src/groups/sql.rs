//! Parsing of the statements that a member supports: those of clients, and those that proxies send in the background.

use super::history::Change;
use crate::statement_text::{comment_field, quoted_strings};

#[derive(Debug, PartialEq, Eq)]
pub(super) enum Statement {
    /// A read of a row. `background` is true if a proxy sent it without a client's request.
    Read { key: String, background: bool },
    /// A write by a client. `id` is the id of the client's request.
    Write { key: String, value: String, id: String },
    /// A read of the copy of another group's row, which requires the copy's position to be at least `min_position_ms`.
    CopyRead { home: u32, key: String, min_position_ms: i64 },
    /// A write of a copy of another group's row.
    CopyWrite(Change),
    /// A read of a row together with the time of its last commit.
    PositionRead { key: String },
    /// The health check that reads the usage figures.
    Usage,
    /// Any other statement.
    Unknown,
}

/// The text between the first `start` and the next `end`.
fn text_between<'a>(text: &'a str, start: &str, end: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(start)?;
    Some(rest.split_once(end)?.0)
}

pub(super) fn parse(query: &str) -> Statement {
    parse_known(query).unwrap_or(Statement::Unknown)
}

fn parse_known(query: &str) -> Option<Statement> {
    let quoted = quoted_strings(query);
    let key = || quoted.first().map(|key| key.to_string());
    if query == "SHOW usage" {
        Some(Statement::Usage)
    } else if query.starts_with("SELECT coalesce((SELECT int8send(at) || blob FROM copies") {
        let home = text_between(query, "home = ", " AND")?.parse().ok()?;
        let min_position_ms = text_between(query, "at >= ", ")")?.parse().ok()?;
        Some(Statement::CopyRead { home, key: key()?, min_position_ms })
    } else if query.starts_with("INSERT INTO copies ") {
        if !query.contains("ON CONFLICT (home, handle) DO UPDATE")
            || !query.contains("WHERE copies.at < excluded.at")
        {
            return None;
        }
        let mut values = text_between(query, "VALUES (", ")")?.split(", ");
        let home = values.next()?.parse().ok()?;
        let position_ms = values.nth(1)?.parse().ok()?;
        let value = quoted.get(1)?.trim_start_matches("\\x").to_string();
        Some(Statement::CopyWrite(Change::Copy { home, key: key()?, position_ms, value }))
    } else if query.starts_with("SELECT int8send(") {
        Some(Statement::PositionRead { key: key()? })
    } else if query.starts_with("SELECT blob FROM rows") {
        Some(Statement::Read { key: key()?, background: comment_field(query, "c=") == Some("background") })
    } else if query.starts_with("INSERT INTO rows") {
        let value = quoted.get(1)?.trim_start_matches("\\x").to_string();
        Some(Statement::Write { key: key()?, value, id: comment_field(query, "id=")?.into() })
    } else {
        None
    }
}
