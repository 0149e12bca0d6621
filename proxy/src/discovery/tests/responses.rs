//! Responses in every form that HTTP has, and such that are not endpoint lists.

use super::super::error::PollError;
use super::super::list::{Access, EndpointUpdate, ListedEndpoint, ListedState};
use super::super::watch::{EndpointWatch, PollResponse};

const LIST: &str = r#"{"rev":43,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"up"}]}"#;

/// A watch that was fed bytes, and what it returned.
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

/// The result is the list of [`LIST`].
fn is_the_list(result: &Result<Option<PollResponse>, PollError>) -> bool {
    matches!(result, Ok(Some(PollResponse::Updated(update))) if update.revision == 43 && update.endpoints.len() == 1)
}

/// Byte by byte, with a length, in chunks, indented, without a length up to the close.
#[test]
fn a_list_is_read_in_every_form_that_http_has() {
    let indented =
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(LIST).unwrap()).unwrap();
    for body in [LIST, &indented] {
        let length = body.len();
        let responses = [
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ];
        for text in responses {
            let mut watch = EndpointWatch::new("agent".into(), Some(41));
            let (last, beginning) = text.as_bytes().split_last().unwrap();
            for byte in beginning {
                assert_eq!(watch.feed(&[*byte]), Ok(None));
                assert!(watch.response_started());
            }
            assert!(is_the_list(&watch.feed(&[*last])));
            assert!(!watch.response_started());
        }
        let FedWatch { mut watch, result } = feed(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        assert_eq!(result, Ok(None), "it may go on");
        assert!(is_the_list(&watch.finish_on_close()));
    }
}

#[test]
fn an_invalid_response_is_reported_with_its_fault_and_changes_nothing() {
    let truncated = r#"HTTP/1.1 200 OK
Content-Length: 35

{"rev":43"#;
    let FedWatch { mut watch, result } = feed(&truncated.replace('\n', "\r\n"));
    assert_eq!(result, Ok(None));
    assert_eq!(watch.finish_on_close(), Err(PollError::Truncated));
    let list = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for (text, wanted) in [
        ("HTTP/1.1 503 Service Unavailable\r\n\r\n".to_string(), "status 503"),
        ("HTTP/1.1 404 Not Found\r\n\r\n".to_string(), "status 404"),
        ("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n".to_string(), "a length that is no number"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".to_string(), "too long"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_string(), "a chunk without a size"),
        ("SSH-2.0-x\r\n\r\n".to_string(), "invalid HTTP"),
        (format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)), "too long"),
        (list("{"), "line 1 column 1"),
        (list(r#"{"all":true,"targets":[]}"#), "`rev`"),
        (list(r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"asleep"}]}"#), "`asleep`"),
        (
            list(r#"{"rev":1,"all":true,"targets":[{"uid":"s","state":"up","pod_group":-1}]}"#),
            "line 1 column 69",
        ),
    ] {
        let FedWatch { mut watch, result } = feed(&text);
        let error = result.expect_err(&text);
        assert!(error.to_string().contains(wanted), "{error} of {text}");
        watch.record_failure();
        assert!(watch.next_request().starts_with(b"GET /v1/endpoints?from=41&"), "the revision stays");
    }
}

/// An agent that is behind sends old changes: the complete list is requested next. A complete list counts, however old.
#[test]
fn old_changes_are_not_applied_and_an_old_complete_list_is() {
    let old_changes = r#"{"rev":40,"all":false,"targets":[]}"#;
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{old_changes}", old_changes.len());
    let FedWatch { mut watch, result } = feed(&text);
    assert_eq!(result, Ok(Some(PollResponse::Stale)));
    assert!(watch.next_request().starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"));
    let result = feed(&text.replace("false", "true ").replace("true ,", "true, ")).result;
    assert!(matches!(result, Ok(Some(PollResponse::Updated(update))) if update.revision == 40));
}

/// Each name of the list's JSON, literally: discovery's names are not ours.
#[test]
fn every_key_of_the_list_is_read() {
    let list = r#"{"rev":43,"all":false,"targets":[
        {"uid":"s","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"draining","capacity_hint":2.5,"boot_ms":1700000000123,
         "access":"writer"},
        {"uid":"t","state":"removed","access":"reader"}]}"#;

    let update: EndpointUpdate = serde_json::from_str(list).unwrap();

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
