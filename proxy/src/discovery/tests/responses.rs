//! Responses of all supported HTTP forms, invalid responses, and the interpretation of endpoint lists.

use super::super::error::PollError;
use super::super::list::{Access, EndpointUpdate, ListedEndpoint, ListedState};
use super::super::watch::{EndpointWatch, PollResponse};

const LIST: &str = r#"{"rev":43,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"up"}]}"#;

/// A watch that has received bytes, and the result.
struct FedWatch {
    watch: EndpointWatch,
    result: Result<Option<PollResponse>, PollError>,
}

/// Feeds these bytes to a watch at revision 41.
fn feed(bytes: &str) -> FedWatch {
    let mut watch = EndpointWatch::new("agent".into(), Some(41));
    let result = watch.feed(bytes.as_bytes());
    FedWatch { watch, result }
}

/// Whether the result is the list of [`LIST`].
fn is_expected_list(result: &Result<Option<PollResponse>, PollError>) -> bool {
    matches!(result, Ok(Some(PollResponse::Updated(update))) if update.revision == 43 && update.endpoints.len() == 1)
}

/// Bodies with the same list: [`LIST`], and its indented form.
fn list_bodies() -> [String; 2] {
    let parsed: serde_json::Value = serde_json::from_str(LIST).unwrap();
    [LIST.into(), serde_json::to_string_pretty(&parsed).unwrap()]
}

fn response_with_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_list_with_a_length_or_in_chunks_can_arrive_byte_by_byte() {
    for body in list_bodies() {
        // Given responses whose end is declared
        let length = body.len();
        let responses = [
            response_with_length(&body),
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ];
        for text in responses {
            // When they arrive byte by byte, then no result is returned before the last byte
            let mut watch = EndpointWatch::new("agent".into(), Some(41));
            let (last, beginning) = text.as_bytes().split_last().unwrap();
            for byte in beginning {
                assert_eq!(watch.feed(&[*byte]), Ok(None));
                assert!(watch.response_started());
            }
            // And the last byte completes the list
            assert!(is_expected_list(&watch.feed(&[*last])));
            assert!(!watch.response_started());
        }
    }
}

#[test]
fn a_list_without_a_length_ends_with_the_connection() {
    for body in list_bodies() {
        // Given a response of undeclared length
        let FedWatch { mut watch, result } = feed(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        assert_eq!(result, Ok(None), "the response may continue");
        // When the connection is closed, then the list is complete
        assert!(is_expected_list(&watch.finish_on_close()));
    }
}

#[test]
fn a_response_truncated_by_a_closed_connection_is_an_error() {
    // Given an incomplete response
    let truncated = r#"HTTP/1.1 200 OK
Content-Length: 35

{"rev":43"#;
    let FedWatch { mut watch, result } = feed(&truncated.replace('\n', "\r\n"));
    assert_eq!(result, Ok(None));
    // When the connection is closed, then an error is returned
    assert_eq!(watch.finish_on_close(), Err(PollError::Truncated));
}

#[test]
fn an_invalid_response_is_an_error_and_changes_nothing() {
    for (text, wanted) in [
        ("HTTP/1.1 503 Service Unavailable\r\n\r\n".to_string(), "status 503"),
        ("HTTP/1.1 404 Not Found\r\n\r\n".to_string(), "status 404"),
        ("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n".to_string(), "Content-Length is not a number"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".to_string(), "too long"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_string(), "malformed chunk size"),
        ("SSH-2.0-x\r\n\r\n".to_string(), "invalid HTTP"),
        (format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)), "too long"),
        (response_with_length("{"), "line 1 column 1"),
        (response_with_length(r#"{"all":true,"targets":[]}"#), "`rev`"),
        (
            response_with_length(r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"asleep"}]}"#),
            "`asleep`",
        ),
        (
            response_with_length(
                r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"up","pod_group":-1}]}"#,
            ),
            "line 1 column 69",
        ),
    ] {
        // Given an invalid response, when it arrives
        let FedWatch { mut watch, result } = feed(&text);
        // Then the error describes the fault
        let error = result.expect_err(&text);
        assert!(error.to_string().contains(wanted), "{error} of {text}");
        // And the next poll requests the changes after the same revision
        watch.record_failure();
        assert!(watch.next_request().starts_with(b"GET /v1/endpoints?from=41&"), "the revision is unchanged");
    }
}

#[test]
fn the_complete_list_is_requested_after_stale_changes() {
    // Given an agent whose list is outdated, when it sends changes older than the watch's revision
    let FedWatch { mut watch, result } =
        feed(&response_with_length(r#"{"rev":40,"all":false,"targets":[]}"#));
    // Then the changes are not applied, and the next poll requests the complete list
    assert_eq!(result, Ok(Some(PollResponse::Stale)));
    assert!(watch.next_request().starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"));
}

#[test]
fn a_complete_list_is_applied_whatever_its_revision() {
    // Given an agent whose list is outdated, when it sends a complete list older than the watch's revision
    let result = feed(&response_with_length(r#"{"rev":40,"all":true, "targets":[]}"#)).result;
    // Then the list is applied
    assert!(matches!(result, Ok(Some(PollResponse::Updated(update))) if update.revision == 40));
}

/// The JSON names are written literally, because discovery defines them and its names differ from the program's.
#[test]
fn every_key_of_a_list_entry_is_read() {
    // Given a list with every key
    let list = r#"{"rev":43,"all":false,"targets":[
        {"uid":"s","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"draining","capacity_hint":2.5,"boot_ms":1700000000123,
         "access":"writer"},
        {"uid":"t","state":"removed","access":"reader"}]}"#;

    // When the list is parsed
    let update: EndpointUpdate = serde_json::from_str(list).unwrap();

    // Then each key is read into its field, and absent keys have their defaults
    let first = ListedEndpoint {
        uid: "s".into(),
        endpoint: "127.0.0.1:1".into(),
        zone: "a".into(),
        group: 3,
        state: ListedState::Draining,
        weight: 2.5,
        started_unix_ms: 1_700_000_000_123.0,
        access: Some(Access::Writer),
    };
    let second = ListedEndpoint {
        uid: "t".into(),
        endpoint: String::new(),
        zone: String::new(),
        group: 0,
        state: ListedState::Removed,
        weight: 1.0,
        started_unix_ms: 0.0,
        access: Some(Access::Reader),
    };
    assert_eq!((first.started_ms(), second.started_ms()), (Some(1_700_000_000_123), None));
    assert_eq!((first.is_primary(), second.is_primary()), (Some(true), Some(false)));
    assert_eq!(update, EndpointUpdate { revision: 43, complete: false, endpoints: vec![first, second] });
}
