//! The queries of balancers and their text form, which agent-check lines and gRPC service names share.

use crate::GroupId;
use crate::labels::Operation;
use std::fmt;

/// Selects the capability that a balancer asks about. If no field is set, the balancer asks about the entire proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthQuery {
    /// The name of a class of requests; `None` for all requests.
    pub class: Option<String>,
    /// The group of servers; `None` for all groups.
    pub group: Option<GroupId>,
    /// Reads or writes. `None` for the operation of the class, or for both operations without a class.
    pub operation: Option<Operation>,
}

/// Why a text is not a valid query. Replies to balancers contain the error's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// The line exceeds the maximum length.
    LineTooLong,
    /// The text is not valid UTF-8.
    NotText,
    /// The value of `group=` is not a number.
    InvalidGroup,
    /// The text contains a key other than `class` and `group`.
    UnknownKey,
    /// The text gives a class, a group or an operation twice.
    DuplicateTerm,
}

impl QueryError {
    /// Returns the label that replies to balancers contain.
    pub fn as_str(self) -> &'static str {
        match self {
            QueryError::LineTooLong => "line-too-long",
            QueryError::NotText => "not-text",
            QueryError::InvalidGroup => "group-is-no-number",
            QueryError::UnknownKey => "unknown-word",
            QueryError::DuplicateTerm => "word-twice",
        }
    }
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for QueryError {}

impl HealthQuery {
    /// Parses terms in any order: a class's name, `class=NAME`, `group=N`, `read`, `write`. Terms are separated by
    /// white space, commas or semicolons. A text without terms is a query for the entire proxy.
    pub fn parse(text: &[u8]) -> Result<HealthQuery, QueryError> {
        let text = std::str::from_utf8(text).map_err(|_| QueryError::NotText)?;
        let mut query = HealthQuery::default();
        let is_separator =
            |character: char| character.is_ascii_whitespace() || character == ',' || character == ';';
        for term in text.split(is_separator).filter(|term| !term.is_empty()) {
            query.add_term(term)?;
        }
        Ok(query)
    }

    /// Parses one term and sets the field that it gives.
    fn add_term(&mut self, term: &str) -> Result<(), QueryError> {
        let duplicate = match term.split_once('=') {
            Some(("group", number)) => {
                let number = number.parse().map_err(|_| QueryError::InvalidGroup)?;
                self.group.replace(GroupId(number)).is_some()
            }
            Some(("class", name)) => self.class.replace(name.to_string()).is_some(),
            Some(_) => return Err(QueryError::UnknownKey),
            None if term == Operation::Read.as_str() => self.operation.replace(Operation::Read).is_some(),
            None if term == Operation::Write.as_str() => self.operation.replace(Operation::Write).is_some(),
            None => self.class.replace(term.to_string()).is_some(),
        };
        if duplicate { Err(QueryError::DuplicateTerm) } else { Ok(()) }
    }
}
