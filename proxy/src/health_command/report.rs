//! Formats a proxy's health answer as text.

use serde_json::Value;
use std::fmt::Write;

const MS_PER_SECOND: f64 = 1000.0;
/// The text for a value that is not in the answer.
const MISSING_FIELD: &str = "-";

/// Formats an answer as a summary line, one line for each class and two lines for each group.
pub(super) fn format_answer(answer: &Value) -> String {
    let mut output = String::new();
    append_summary(&mut output, answer);
    for class in elements(answer, "classes") {
        append_class(&mut output, class);
    }
    for group in elements(answer, "groups") {
        append_group_reads(&mut output, group);
        append_group_writes(&mut output, group);
    }
    output
}

/// Appends the summary line for the proxy, or for the class or group of the query. The proxy has a second line for its
/// load.
fn append_summary(output: &mut String, answer: &Value) {
    let is_for_proxy = answer.get("state").is_some();
    if is_for_proxy {
        let _ = write!(output, "{}: ", field_text(answer, "state"));
    }
    let (weight, reason) = (field_text(answer, "weight"), field_text(answer, "reason"));
    let since = format_seconds(&answer["since_ms"]);
    let _ = writeln!(output, "able {}, weight {weight}%, {reason}, for {since}", availability_text(answer));
    if is_for_proxy {
        let _ = writeln!(
            output,
            "pressure {}, {} in progress ({} held), places for {} clients, discovery heard {} ago",
            field_text(answer, "pressure"),
            field_text(answer, "in_progress"),
            field_text(answer, "held"),
            field_text(answer, "room"),
            format_seconds(&answer["discovery_ms"]),
        );
    }
}

fn append_class(output: &mut String, class: &Value) {
    let (name, weight, reason) =
        (field_text(class, "class"), field_text(class, "weight"), field_text(class, "reason"));
    let (able, since) = (availability_text(class), format_seconds(&class["since_ms"]));
    let _ = writeln!(output, "class {name:<20} {able:<8} {weight:>3}%  {reason:<18} {since}");
}

fn append_group_reads(output: &mut String, group: &Value) {
    append_group_columns(output, group, "read");
    let _ = writeln!(output, " {} members", field_text(group, "members"));
}

fn append_group_writes(output: &mut String, group: &Value) {
    append_group_columns(output, group, "write");
    let (primary, proven) = (field_text(group, "primary"), format_seconds(&group["proven_ms"]));
    let _ = writeln!(output, " primary {primary}, proven {proven} ago");
}

/// Appends the columns that the lines for a group's reads and writes have in common.
fn append_group_columns(output: &mut String, group: &Value, kind: &str) {
    let capability = &group[kind];
    let (number, weight, reason) =
        (field_text(group, "group"), field_text(capability, "weight"), field_text(capability, "reason"));
    let (able, since) = (availability_text(capability), format_seconds(&capability["since_ms"]));
    let _ = write!(output, "group {number:<5} {kind:<14} {able:<8} {weight:>3}%  {reason:<18} {since:<10}");
}

/// Returns the elements of a list in the answer. An absent list has no elements.
fn elements<'a>(answer: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    answer[key].as_array().into_iter().flatten()
}

/// Returns the text of a field, or [`MISSING_FIELD`] if the field is absent.
fn field_text(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::String(text) => text.clone(),
        Value::Null => MISSING_FIELD.into(),
        other => other.to_string(),
    }
}

/// Formats a number of milliseconds as seconds, or returns [`MISSING_FIELD`] if it is absent.
fn format_seconds(ms: &Value) -> String {
    ms.as_f64().map_or(MISSING_FIELD.into(), |ms| format!("{:.1} s", ms / MS_PER_SECOND))
}

/// Returns the text for whether the proxy, class or group can serve requests.
fn availability_text(value: &Value) -> &'static str {
    match (value["able"] == true, value["partial"] == true) {
        (true, false) => "yes",
        (true, true) => "in part",
        (false, _) => "no",
    }
}
