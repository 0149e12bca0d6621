//! Checks the text that the command `health` prints for a proxy's answer.

use super::report::format_answer;
use serde_json::{Value, json};

/// Returns an answer about the entire proxy, with each kind of value that a line shows.
fn proxy_answer() -> Value {
    json!({
        "state": "degraded", "able": true, "partial": true, "weight": 40, "reason": "pressure", "since_ms": 1234.0,
        "pressure": 0.85, "in_progress": 12, "held": 3, "room": 20, "discovery_ms": 350,
        "classes": [
            {"class": "point-read", "able": true, "weight": 100, "reason": "ok", "since_ms": 60000},
            {"class": "scan", "able": false, "weight": 0, "reason": "no-server"},
        ],
        "groups": [{
            "group": 7,
            "read": {"able": true, "weight": 100, "reason": "ok", "since_ms": 2000},
            "write": {"able": false, "weight": 0, "reason": "no-primary", "since_ms": 10},
            "primary": "db-1", "proven_ms": 90, "members": 3,
        }],
    })
}

#[test]
fn the_proxy_answer_has_one_line_per_class_and_two_per_group() {
    // Given an answer about the entire proxy
    let answer = proxy_answer();

    // When it is formatted as text
    let text = format_answer(&answer);

    // Then the text has a line for the proxy, a line for its load, and the lines for classes and groups
    let lines = [
        "degraded: able in part, weight 40%, pressure, for 1.2 s",
        "pressure 0.85, 12 in progress (3 held), places for 20 clients, discovery heard 0.3 s ago",
        "class point-read           yes      100%  ok                 60.0 s",
        "class scan                 no         0%  no-server          -",
        "group 7     read           yes      100%  ok                 2.0 s      3 members",
        "group 7     write          no         0%  no-primary         0.0 s      primary db-1, proven 0.1 s ago",
    ];

    assert_eq!(text, lines.join("\n") + "\n");
}

#[test]
fn the_answer_for_one_class_has_one_line() {
    // Given an answer about one class
    let answer = json!({"able": true, "weight": 100, "reason": "ok", "since_ms": 500});

    // When it is formatted as text, then the text has one line
    assert_eq!(format_answer(&answer), "able yes, weight 100%, ok, for 0.5 s\n");
}
