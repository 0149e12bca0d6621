//! The answer of a proxy about its health, as text for people.

use serde_json::Value;
use std::fmt::Write;

const MS_PER_SECOND: f64 = 1000.0;
/// Shown for a value that the answer lacks.
const ABSENT: &str = "-";

/// A line for the proxy or what was asked about, then one for each class and two for each group.
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

fn summary(out: &mut String, answer: &Value) {
    let is_whole_proxy = answer.get("state").is_some();
    if is_whole_proxy {
        let _ = write!(out, "{}: ", word(answer, "state"));
    }
    let (weight, reason) = (word(answer, "weight"), word(answer, "reason"));
    let since = seconds(&answer["since_ms"]);
    let _ = writeln!(out, "able {}, weight {weight}%, {reason}, for {since}", able(answer));
    if is_whole_proxy {
        let _ = writeln!(
            out,
            "pressure {}, {} in progress ({} held), places for {} clients, discovery heard {} ago",
            word(answer, "pressure"),
            word(answer, "in_progress"),
            word(answer, "held"),
            word(answer, "room"),
            seconds(&answer["discovery_ms"]),
        );
    }
}

fn class_line(out: &mut String, class: &Value) {
    let (name, weight, reason) = (word(class, "class"), word(class, "weight"), word(class, "reason"));
    let (able, since) = (able(class), seconds(&class["since_ms"]));
    let _ = writeln!(out, "class {name:<20} {able:<8} {weight:>3}%  {reason:<18} {since}");
}

fn read_line(out: &mut String, group: &Value) {
    group_columns(out, group, "read");
    let _ = writeln!(out, " {} members", word(group, "members"));
}

fn write_line(out: &mut String, group: &Value) {
    group_columns(out, group, "write");
    let (primary, proven) = (word(group, "primary"), seconds(&group["proven_ms"]));
    let _ = writeln!(out, " primary {primary}, proven {proven} ago");
}

/// What a group's lines for reads and for writes have in common.
fn group_columns(out: &mut String, group: &Value, kind: &str) {
    let claim = &group[kind];
    let (number, weight, reason) = (word(group, "group"), word(claim, "weight"), word(claim, "reason"));
    let (able, since) = (able(claim), seconds(&claim["since_ms"]));
    let _ = write!(out, "group {number:<5} {kind:<14} {able:<8} {weight:>3}%  {reason:<18} {since:<10}");
}

fn elements<'a>(answer: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    answer[key].as_array().into_iter().flatten()
}

fn word(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::String(word) => word.clone(),
        Value::Null => ABSENT.into(),
        other => other.to_string(),
    }
}

fn seconds(ms: &Value) -> String {
    ms.as_f64().map_or(ABSENT.into(), |ms| format!("{:.1} s", ms / MS_PER_SECOND))
}

fn able(value: &Value) -> &'static str {
    match (value["able"] == true, value["partial"] == true) {
        (true, false) => "yes",
        (true, true) => "in part",
        (false, _) => "no",
    }
}
