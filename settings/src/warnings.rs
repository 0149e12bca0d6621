//! What settings that can be served with are likely not to mean. A fault keeps a proxy from starting; a doubt is only
//! told, and says what is done instead. It owns the known keys and the contradictions; it never changes what was read.

use crate::{DeploymentSettings, find};
use birchreach::*;
use serde_json::Value;

/// Every key that the pages of the settings name, also those that nothing here reads.
const KNOWN: &str = "balancers classes classes[].aim_stretch classes[].goal_time_ms classes[].deadline_ms \
    classes[].idempotency classes[].dedup_scope classes[].late_worth classes[].name classes[].stream \
    classes[].repeat_window_ms classes[].credit client_habits counted_by registry_mode family extra extra.guards \
    extra.max_age_ms extra.class_read extra.role_in_list extra.notes extra.tells_position extra.report_x0 \
    extra.report_x1 extra.sync extra.tokens extra.wait_ms extra.counted_from_ms dcs objective_mix shapes limits \
    limits.may_cancel limits.conn_idle_ms limits.connect_timeout_ms limits.cpu_us_per_request limits.cpu_us_per_s \
    limits.attempts_cap limits.max_open limits.max_retry_after_ms limits.peers limits.may_probe limits.retry_after \
    limits.parallel_tries limits.max_streams me my_zone over_share_worth prices load_info load_info.names \
    load_info.via obligations obligations.answer_slack_ms obligations.ask_within_ms obligations.cold_share \
    obligations.cold_ms obligations.drain_grace_ms obligations.fall_multiple obligations.fall_ms \
    obligations.soft_removal parties parties[].name parties[].quota_per_s parties[].share stage tick_ms tiers weights";
/// Keys whose inside is of no concern here.
const WHOLE: [&str; 3] = ["client_habits", "objective_mix", "prices"];

/// Every doubt, each beginning with the path of its key, as faults do.
pub fn warnings(root: &Value, site: &DeploymentSettings) -> Vec<String> {
    let mut found = Vec::new();
    unknown(root, "", "", &mut found);
    contradictions(root, site, &mut found);
    found.iter().map(|doubt| format!("settings: {doubt}")).collect()
}

/// `path` has the places in lists, `form` has none.
fn unknown(node: &Value, path: &str, form: &str, found: &mut Vec<String>) {
    match node {
        Value::Object(map) if !WHOLE.contains(&form) => {
            for (key, value) in map {
                let joined = |to: &str| if to.is_empty() { key.clone() } else { format!("{to}.{key}") };
                let (path, form) = (joined(path), joined(form));
                if KNOWN.split(' ').any(|known| known == form) {
                    unknown(value, &path, &form, found);
                } else {
                    found.push(format!("{path}: unknown, and skipped"));
                }
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                unknown(value, &format!("{path}[{i}]"), &format!("{form}[]"), found);
            }
        }
        _ => {}
    }
}

fn contradictions(root: &Value, site: &DeploymentSettings, found: &mut Vec<String>) {
    let set = &site.routing;
    let mut doubt = |key: &str, what: &str| found.push(format!("{key}: {what}"));
    let length = |key: &str| find(root, key).and_then(Value::as_array).map_or(0, Vec::len);
    if length("extra.class_read") != set.classes.len() {
        doubt("extra.class_read", "not one for each class; a class without goes to the primary alone");
    }
    for (i, class) in set.classes.iter().enumerate() {
        if class.latency_objective > class.client_timeout {
            doubt(&format!("classes[{i}].goal_time_ms"), "later than deadline_ms, when clients have left");
        }
        if class.consistency == Consistency::BoundedStaleness(0) {
            doubt(
                "extra.max_age_ms",
                &format!("0 for the bounded class {i}, which goes to the primary alone"),
            );
        }
        if class.consistency == Consistency::Write && class.idempotency == Idempotency::Idempotent {
            doubt(
                &format!("classes[{i}].idempotency"),
                "free for a write, which may run more than once then",
            );
        }
    }
    let proven =
        |c: &RequestClass| matches!(c.consistency, Consistency::BoundedStaleness(_) | Consistency::Session);
    let needs_proof = set.classes.iter().any(proven) && set.stale_reads == StaleReadPolicy::Served;
    if needs_proof && set.load_reports == LoadReportSource::HealthChecks && !set.health_checks_allowed {
        doubt("load_info.via", "pull, but limits.may_probe is not true: only answers may tell of positions");
    }
    if needs_proof && set.load_reports != LoadReportSource::Never && !set.load_reports_have_position {
        doubt("load_info.names", "without x0: only answers may tell of positions");
    }
    if usize::from(set.zone.0) >= site.zone_names.len() {
        doubt("my_zone", "names no place in dcs; every server counts as elsewhere");
    }
    if set.slow_start_initial_fraction > 1.0 {
        doubt("obligations.cold_share", "more than 1; counts as 1");
    }
    if set.max_retry_after == Some(0) {
        doubt(
            "limits.max_retry_after_ms",
            "0, though limits.retry_after is true: refusals advise to return at once",
        );
    }
    if set.connect_timeout == 0 {
        doubt("limits.connect_timeout_ms", "absent or 0; no failed connection counts as turned down at once");
    }
}
