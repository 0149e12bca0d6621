//! Lists with as many servers as the largest fleet: valid, malformed at the end, with each server twice, or beyond a limit.

use super::super::bounded_entries::MAX_ENTRIES;
use super::super::error::PollError;
use super::super::http::MAX_BODY_BYTES;
use super::super::list::{DuplicateEntry, EndpointUpdate};
use super::super::watch::{EndpointWatch, PollResponse};

/// The number of servers in the largest fleet.
const SERVERS: usize = 3_200;
/// The revision of the watch before the response.
const CURRENT_REVISION: u64 = 41;
/// The longest host name in DNS. The UID and the zone of each entry have this length.
const LONGEST_NAME_BYTES: usize = 253;
/// The number of bytes that arrive in one read.
const READ_BYTES: usize = 16 << 10;
/// The number of lines in a list before the first entry.
const LINES_BEFORE_ENTRIES: usize = 1;
/// The limit on the text of an error, so that it fits into one line of the log.
const MAX_ERROR_BYTES: usize = 400;

/// An entry with every key and with names of maximum length.
fn entry(number: usize) -> String {
    let uid = format!("{number:0>LONGEST_NAME_BYTES$}");
    let zone = "z".repeat(LONGEST_NAME_BYTES);
    format!(
        r#"{{"uid":"{uid}","endpoint":"[2001:0db8:1111:2222:3333:4444:5555:{number:04x}]:15432","az":"{zone}","pod_group":{number},"state":"draining","capacity_hint":1.5,"boot_ms":1700000000123,"access":"writer"}}"#
    )
}

/// An entry with the required keys only.
fn short_entry(number: usize) -> String {
    format!(r#"{{"uid":"s-{number}","state":"up"}}"#)
}

/// The body of a complete list, with one entry on each line.
fn list_of(entries: &[String]) -> String {
    format!("{{\"rev\":42,\"all\":true,\"targets\":[\n{}\n]}}", entries.join(",\n"))
}

fn all_entries() -> Vec<String> {
    (0..SERVERS).map(entry).collect()
}

/// Feeds a response in parts of [`READ_BYTES`] to a watch that has a list. Returns the watch and the result.
fn feed(body: &str) -> (EndpointWatch, Result<Option<PollResponse>, PollError>) {
    let mut watch = EndpointWatch::new("agent".into(), Some(CURRENT_REVISION));
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut result = Ok(None);
    for part in response.as_bytes().chunks(READ_BYTES) {
        result = watch.feed(part);
        if result != Ok(None) {
            break;
        }
    }
    (watch, result)
}

/// Feeds a valid body and returns the update.
fn read_update(body: &str) -> EndpointUpdate {
    match feed(body).1 {
        Ok(Some(PollResponse::Updated(update))) => update,
        other => panic!("{other:?}"),
    }
}

/// Feeds a malformed body and returns the text of the error. The next poll must request the changes after the watch's revision.
fn rejection_message(body: &str) -> String {
    let (mut watch, result) = feed(body);
    let error = result.expect_err("a malformed list");
    watch.record_failure();
    let request = String::from_utf8(watch.next_request()).unwrap();
    assert!(request.starts_with(&format!("GET /v1/endpoints?from={CURRENT_REVISION}&")), "{request}");
    error.to_string()
}

#[test]
fn a_list_of_maximum_size_is_read() {
    // Given a list with all servers that is shorter than the limit
    let body = list_of(&all_entries());
    assert!(body.len() < MAX_BODY_BYTES, "{} bytes", body.len());

    // When the list arrives, then all entries are read and no server is repeated
    let update = read_update(&body);
    assert_eq!((update.revision, update.endpoints.len()), (42, SERVERS));
    assert_eq!(update.first_duplicate(), None);
}

#[test]
fn a_malformed_last_entry_is_rejected_with_its_position() {
    let last_line = format!("line {} column ", LINES_BEFORE_ENTRIES + SERVERS);
    let valid = entry(SERVERS - 1);
    for (malformed, wanted) in [
        (valid.replace("\"access\"", "\"access"), "expected"),
        (valid.replace(":1.5,", ":1.5"), "expected `,` or `}`"),
        (valid.replace("\"draining\"", "\"asleep\""), "unknown variant `asleep`"),
        (valid.replace("\"uid\"", "\"name\""), "missing field `uid`"),
        (valid.replace("\"pod_group\":3199", "\"pod_group\":-1"), "invalid value"),
    ] {
        // Given a list with an error on the line of its last entry
        let mut entries = all_entries();
        *entries.last_mut().unwrap() = malformed;

        // When the list arrives, then the error describes the fault and its position
        let error = rejection_message(&list_of(&entries));
        assert!(error.starts_with("invalid list: ") && error.contains(wanted), "{error}");
        assert!(error.contains(&last_line), "{error}");
    }
}

#[test]
fn a_truncated_last_entry_is_rejected_with_its_position() {
    // Given a truncated list
    let body = list_of(&all_entries());
    let truncated = &body[..body.len() - "}\n]}".len()];

    // When the list arrives, then the error has the position of the truncation
    let position = format!("line {} column ", LINES_BEFORE_ENTRIES + SERVERS);
    let error = rejection_message(truncated);
    assert!(error.contains("EOF") && error.contains(&position), "{error}");
}

#[test]
fn the_error_for_a_long_invalid_value_is_short_and_has_the_position() {
    // Given a list whose last state is very long
    let mut entries = all_entries();
    let last = entries.last_mut().unwrap();
    *last = last.replace("draining", &"é".repeat(500_000));

    // When the list arrives, then the error is one short line with the position
    let error = rejection_message(&list_of(&entries));
    assert!(error.len() < MAX_ERROR_BYTES, "{} bytes", error.len());
    let position = format!("line {} column ", LINES_BEFORE_ENTRIES + SERVERS);
    assert!(error.contains("unknown variant") && error.contains(&position), "{error}");
}

#[test]
fn a_content_length_above_the_limit_is_rejected() {
    // Given a valid list, followed by white space up to the limit, or to one byte beyond it
    let list = list_of(&all_entries());
    let at_limit = list.clone() + &" ".repeat(MAX_BODY_BYTES - list.len());
    let beyond_limit = format!("{at_limit} ");

    // When the lists arrive, then the one within the limit is read, and the one beyond the limit is rejected
    assert_eq!(read_update(&at_limit).endpoints.len(), SERVERS);
    assert_eq!(rejection_message(&beyond_limit), "response too long");
}

#[test]
fn a_list_without_a_length_is_rejected_once_it_exceeds_the_limit() {
    let chunk = format!("{READ_BYTES:x}\r\n{}\r\n", " ".repeat(READ_BYTES));
    let part = " ".repeat(READ_BYTES);
    for (head, part) in [("", part), ("Transfer-Encoding: chunked\r\n", chunk)] {
        // Given a response of undeclared length that never ends
        let mut watch = EndpointWatch::new("agent".into(), Some(CURRENT_REVISION));
        let mut result = watch.feed(format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes());

        // When more bytes arrive, then the response is rejected as soon as it exceeds the limit
        let mut received = 0;
        while result == Ok(None) {
            assert!(received <= MAX_BODY_BYTES, "{received} bytes are buffered");
            received += READ_BYTES;
            result = watch.feed(part.as_bytes());
        }
        assert_eq!(result, Err(PollError::TooLong));
    }
}

#[test]
fn the_first_duplicate_entry_is_found() {
    // Given a list in which each entry is repeated
    let entries: Vec<String> = (0..SERVERS).map(short_entry).collect();
    let body = list_of(&[&entries[..], &entries[..]].concat());

    // When the list is read, then it has all entries, and the first repeated entry is found
    let update = read_update(&body);
    assert_eq!(update.endpoints.len(), 2 * SERVERS);
    let uid = update.endpoints[0].uid.as_str();
    let duplicate = DuplicateEntry { uid, entry: SERVERS, first_entry: 0, count: SERVERS };
    assert_eq!(update.first_duplicate(), Some(duplicate));
}

#[test]
fn a_list_with_too_many_entries_is_rejected_with_the_position() {
    // Given a list with the maximum number of entries, and one with two more
    let entries: Vec<String> = (0..MAX_ENTRIES + 2).map(short_entry).collect();
    let (most, too_many) = (list_of(&entries[..MAX_ENTRIES]), list_of(&entries));

    // When the lists arrive, then the first is read, and the second is rejected at the first entry beyond the limit
    assert_eq!(read_update(&most).endpoints.len(), MAX_ENTRIES);
    // The parser has read that entry and the comma after it, so the error has the position at the end of the entry's line.
    let position = format!("line {} column 0", LINES_BEFORE_ENTRIES + MAX_ENTRIES + 2);
    assert_eq!(
        rejection_message(&too_many),
        format!("invalid list: more than {MAX_ENTRIES} entries at {position}")
    );
}
