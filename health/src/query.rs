//! What a balancer asks for, and its text form, which agent-check lines and gRPC service names share.

use crate::GroupId;
use crate::words::Operation;
use std::fmt;

/// What a balancer asks for. With no field set: the proxy as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthQuery {
    /// A class of requests, by its name.
    pub class: Option<String>,
    /// One group of servers; all of them if absent.
    pub group: Option<GroupId>,
    /// Reads or writes.
    pub operation: Option<Operation>,
}

/// Why a text is no query. Balancers' answers have its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// The text is longer than a line may be.
    LineTooLong,
    /// It is not UTF-8.
    NotText,
    /// The value of `group=` is not a number.
    InvalidGroup,
    /// A key other than `class` and `group`.
    UnknownKey,
    /// Class, group or operation is given twice.
    DuplicateWord,
}

impl QueryError {
    /// The word in the answer.
    pub fn as_str(self) -> &'static str {
        match self {
            QueryError::LineTooLong => "line-too-long",
            QueryError::NotText => "not-text",
            QueryError::InvalidGroup => "group-is-no-number",
            QueryError::UnknownKey => "unknown-word",
            QueryError::DuplicateWord => "word-twice",
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
    /// Parses words in any order: a class's name, `class=NAME`, `group=N`, `read`, `write`. No word at all asks for the
    /// proxy as a whole.
    pub fn parse(text: &[u8]) -> Result<HealthQuery, QueryError> {
        let text = std::str::from_utf8(text).map_err(|_| QueryError::NotText)?;
        let mut query = HealthQuery::default();
        let is_separator = |c: char| c.is_ascii_whitespace() || c == ',' || c == ';';
        for word in text.split(is_separator).filter(|word| !word.is_empty()) {
            query.add_word(word)?;
        }
        Ok(query)
    }

    fn add_word(&mut self, word: &str) -> Result<(), QueryError> {
        let duplicate = match word.split_once('=') {
            Some(("group", number)) => {
                let number = number.parse().map_err(|_| QueryError::InvalidGroup)?;
                self.group.replace(GroupId(number)).is_some()
            }
            Some(("class", name)) => self.class.replace(name.to_string()).is_some(),
            Some(_) => return Err(QueryError::UnknownKey),
            None if word == Operation::Read.as_str() => self.operation.replace(Operation::Read).is_some(),
            None if word == Operation::Write.as_str() => self.operation.replace(Operation::Write).is_some(),
            None => self.class.replace(word.to_string()).is_some(),
        };
        if duplicate { Err(QueryError::DuplicateWord) } else { Ok(()) }
    }
}
