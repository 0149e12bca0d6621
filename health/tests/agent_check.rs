//! Parsing of agent-check lines, independent of how the bytes of a line are split.

use birchreach_health::agent::{AgentCheckConnection, ParsedQuery};
use birchreach_health::query::QueryError;
use birchreach_health::{GroupId, HealthQuery, Operation};

/// Parses a line that arrives at once, and checks that the result is the same if the line arrives byte by byte.
fn query_of(line: &str) -> ParsedQuery {
    let mut at_once = AgentCheckConnection::default();
    let query = at_once.feed(line.as_bytes());
    let mut split = AgentCheckConnection::default();
    let pieces: Vec<ParsedQuery> = line.bytes().filter_map(|byte| split.feed(&[byte])).collect();
    assert_eq!(query.iter().collect::<Vec<_>>(), pieces.iter().collect::<Vec<_>>());
    assert_eq!(at_once.feed(b"more\n"), None, "input after the first line is ignored");
    query.unwrap()
}

/// Replaces the error by its label.
fn error_label(query: ParsedQuery) -> Result<HealthQuery, &'static str> {
    query.map_err(QueryError::as_str)
}

fn expected(class: Option<&str>, group: Option<u32>, operation: Option<Operation>) -> ParsedQuery {
    Ok(HealthQuery { class: class.map(Into::into), group: group.map(GroupId), operation })
}

#[test]
fn a_line_is_parsed_into_a_query_or_rejected_with_a_reason() {
    // When a line contains known terms in any order, then the query has their fields
    assert_eq!(query_of("\n"), expected(None, None, None));
    assert_eq!(query_of("file-entry\r\n"), expected(Some("file-entry"), None, None));
    assert_eq!(query_of("group=3\n"), expected(None, Some(3), None));
    assert_eq!(query_of(" group=3, class=file-entry \n"), expected(Some("file-entry"), Some(3), None));
    assert_eq!(query_of("write;group=0\n"), expected(None, Some(0), Some(Operation::Write)));
    // When a line is invalid, then the error states the reason
    assert_eq!(error_label(query_of("group=x\n")), Err("group-is-no-number"));
    assert_eq!(error_label(query_of("group=1 group=2\n")), Err("word-twice"));
    assert_eq!(error_label(query_of("a b\n")), Err("word-twice"));
    assert_eq!(error_label(query_of("port=1\n")), Err("unknown-word"));
    let mut endless = AgentCheckConnection::default();
    assert_eq!(endless.feed(&[b'x'; 4096]).map(error_label), Some(Err("line-too-long")));
    let mut not_utf8 = AgentCheckConnection::default();
    assert_eq!(not_utf8.feed(b"\xff\xfe\n").map(error_label), Some(Err("not-text")));
}

#[test]
fn input_without_a_line_end_is_parsed_when_the_input_ends() {
    // Given a balancer that sends nothing, when its input ends, then the query for the entire proxy is returned
    // once
    let mut silent = AgentCheckConnection::default();
    assert_eq!(silent.input_ended(), Some(expected(None, None, None)));
    assert_eq!(silent.input_ended(), None);
    // Given a balancer that sends a line without a line end, when its input ends, then the line is parsed
    let mut unfinished = AgentCheckConnection::default();
    assert_eq!(
        (unfinished.feed(b"file-entry"), unfinished.input_ended()),
        (None, Some(expected(Some("file-entry"), None, None)))
    );
}
