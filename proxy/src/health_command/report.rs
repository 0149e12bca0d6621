//! The answer of a proxy about its health, as text for people.

use serde_json::Value;
use std::fmt::Write;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;
/// Shown for a value that is not in the answer.
const ABSENT: &str = "-";

/// A summary line, then one for each class and two for each group.
pub(super) fn text(answer: &Value) -> String {
    let mut out = String::new();
    summary(&mut out, answer);
    for class in elements(answer, "classes") {
        class_line(&mut out, class);
    }
    for group in elements(answer, "groups") {
        read_line(&mut out, group);
        write_line(&mut out, group);
    }
    out
}

/// The line for the proxy, or for the one class or group of the query.
fn summary(out: &mut String, answer: &Value) {
    let is_whole_proxy = answer.get("state").is_some();
    if is_whole_proxy {
        let _ = write!(out, "{}: ", field_text(answer, "state"));
    }
    let (weight, reason) = (field_text(answer, "weight"), field_text(answer, "reason"));
    let since = seconds(&answer["since_ms"]);
    let _ = writeln!(out, "able {}, weight {weight}%, {reason}, for {since}", able(answer));
    if is_whole_proxy {
        let _ = writeln!(
            out,
            "pressure {}, {} in progress ({} held), places for {} clients, discovery heard {} ago",
            field_text(answer, "pressure"),
            field_text(answer, "in_progress"),
            field_text(answer, "held"),
            field_text(answer, "room"),
            seconds(&answer["discovery_ms"]),
        );
    }
}

/// The line for a class.
fn class_line(out: &mut String, class: &Value) {
    let (name, weight, reason) =
        (field_text(class, "class"), field_text(class, "weight"), field_text(class, "reason"));
    let (able, since) = (able(class), seconds(&class["since_ms"]));
    let _ = writeln!(out, "class {name:<20} {able:<8} {weight:>3}%  {reason:<18} {since}");
}

/// The line for the reads of a group.
fn read_line(out: &mut String, group: &Value) {
    group_columns(out, group, "read");
    let _ = writeln!(out, " {} members", field_text(group, "members"));
}

/// The line for the writes of a group.
fn write_line(out: &mut String, group: &Value) {
    group_columns(out, group, "write");
    let (primary, proven) = (field_text(group, "primary"), seconds(&group["proven_ms"]));
    let _ = writeln!(out, " primary {primary}, proven {proven} ago");
}

/// The columns that the lines for a group's reads and writes have in common.
fn group_columns(out: &mut String, group: &Value, kind: &str) {
    let claim = &group[kind];
    let (number, weight, reason) =
        (field_text(group, "group"), field_text(claim, "weight"), field_text(claim, "reason"));
    let (able, since) = (able(claim), seconds(&claim["since_ms"]));
    let _ = write!(out, "group {number:<5} {kind:<14} {able:<8} {weight:>3}%  {reason:<18} {since:<10}");
}

/// The elements of a list in the answer; none if it is absent.
fn elements<'a>(answer: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    answer[key].as_array().into_iter().flatten()
}

/// The text of a field.
fn field_text(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::String(text) => text.clone(),
        Value::Null => ABSENT.into(),
        other => other.to_string(),
    }
}

/// A duration in seconds.
fn seconds(ms: &Value) -> String {
    ms.as_f64().map_or(ABSENT.into(), |ms| format!("{:.1} s", ms / MS_PER_SECOND))
}

/// Whether the proxy, class or group can serve requests.
fn able(value: &Value) -> &'static str {
    match (value["able"] == true, value["partial"] == true) {
        (true, false) => "yes",
        (true, true) => "in part",
        (false, _) => "no",
    }
}
