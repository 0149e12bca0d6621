//! Answers in all their forms, and such that are none.

use super::super::error::CallError;
use super::super::watch::{Answer, Watch};

const LIST: &str = r#"{"rev":43,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"up"}]}"#;

fn fed(bytes: &str) -> (Watch, Result<Option<Answer>, CallError>) {
    let mut watch = Watch::new("agent".into(), Some(41));
    let heard = watch.feed(bytes.as_bytes());
    (watch, heard)
}

fn is_news(heard: &Result<Option<Answer>, CallError>) -> bool {
    matches!(heard, Ok(Some(Answer::News(update))) if update.rev == 43 && update.targets.len() == 1)
}

/// Byte by byte, with a length, in chunks, indented, without a length up to the close.
#[test]
fn a_list_is_taken_in_every_form_that_http_has() {
    let indented =
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(LIST).unwrap()).unwrap();
    for body in [LIST, &indented] {
        let length = body.len();
        let whole = [
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ];
        for text in whole {
            let mut watch = Watch::new("agent".into(), Some(41));
            let (last, begun) = text.as_bytes().split_last().unwrap();
            for byte in begun {
                assert_eq!(watch.feed(&[*byte]), Ok(None));
                assert!(watch.answering());
            }
            assert!(is_news(&watch.feed(&[*last])));
            assert!(!watch.answering());
        }
        let (mut watch, heard) = fed(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"));
        assert_eq!(heard, Ok(None), "it may go on");
        assert!(is_news(&watch.closed()));
    }
}

#[test]
fn what_is_no_whole_list_is_told_by_its_fault_and_changes_nothing() {
    let short = r#"HTTP/1.1 200 OK
Content-Length: 35

{"rev":43"#;
    let (mut watch, heard) = fed(&short.replace('\n', "\r\n"));
    assert_eq!(heard, Ok(None));
    assert_eq!(watch.closed(), Err(CallError::CutShort));
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
        let (mut watch, heard) = fed(&text);
        let error = heard.expect_err(&text);
        assert!(error.to_string().contains(wanted), "{error} of {text}");
        watch.failed();
        assert!(watch.call().starts_with(b"GET /v1/endpoints?from=41&"), "the version held stays");
    }
}

/// An agent that is behind has old changes to tell: the whole list is asked for. A whole list counts, however old.
#[test]
fn old_changes_are_not_taken_and_an_old_whole_list_is() {
    let old = r#"{"rev":40,"all":false,"targets":[]}"#;
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{old}", old.len());
    let (mut watch, heard) = fed(&text);
    assert_eq!(heard, Ok(Some(Answer::Old)));
    assert!(watch.call().starts_with(b"GET /v1/endpoints HTTP/1.1\r\n"));
    let (_, heard) = fed(&text.replace("false", "true ").replace("true ,", "true, "));
    assert!(matches!(heard, Ok(Some(Answer::News(update))) if update.rev == 40));
}
