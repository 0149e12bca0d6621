//! Finds unknown keys, and settings that contradict each other.

use crate::DeploymentSettings;
use crate::reader::find;
use crate::{SettingsWarning, WarningKind};
use birchreach::{Consistency, Idempotency, LoadReportSource, RequestClass, Settings, StaleReadPolicy};
use serde_json::Value;

/// Every key that the platform documents, including those that are not read here.
const KNOWN_KEYS: &str = "balancers classes classes[].aim_stretch classes[].goal_time_ms classes[].deadline_ms \
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
/// Keys whose value is not looked into.
const OPAQUE_KEYS: [&str; 3] = ["client_habits", "objective_mix", "prices"];

/// All warnings about the settings in `root`.
pub fn warnings(root: &Value, settings: &DeploymentSettings) -> Vec<SettingsWarning> {
    let mut found = Vec::new();
    unknown_keys(root, "", "", &mut found);
    contradictions(root, settings, &mut found);
    found
}

/// Finds unknown keys below a node. `path` is that of the node with the indices of list elements, `form` the one
/// without.
fn unknown_keys(node: &Value, path: &str, form: &str, found: &mut Vec<SettingsWarning>) {
    match node {
        Value::Object(map) if !OPAQUE_KEYS.contains(&form) => {
            for (key, value) in map {
                let joined = |to: &str| if to.is_empty() { key.clone() } else { format!("{to}.{key}") };
                let (path, form) = (joined(path), joined(form));
                if KNOWN_KEYS.split(' ').any(|known| known == form) {
                    unknown_keys(value, &path, &form, found);
                } else {
                    found.push(SettingsWarning { key: path, kind: WarningKind::UnknownKey });
                }
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                unknown_keys(value, &format!("{path}[{index}]"), &format!("{form}[]"), found);
            }
        }
        _ => {}
    }
}

/// Finds settings that contradict each other, or cannot be meant as they are.
fn contradictions(root: &Value, settings: &DeploymentSettings, found: &mut Vec<SettingsWarning>) {
    let routing = &settings.routing;
    let mut warn = |key: &str, kind| found.push(SettingsWarning { key: key.to_string(), kind });
    class_contradictions(root, &routing.classes, &mut warn);
    position_contradictions(routing, &mut warn);
    if usize::from(routing.zone.0) >= settings.zone_names.len() {
        warn("my_zone", WarningKind::ZoneNotListed);
    }
    if routing.slow_start_initial_fraction > 1.0 {
        warn("obligations.cold_share", WarningKind::FractionAboveOne);
    }
    if routing.max_retry_after == Some(0) {
        warn("limits.max_retry_after_ms", WarningKind::ZeroRetryAfter);
    }
    if routing.connect_timeout == 0 {
        warn("limits.connect_timeout_ms", WarningKind::NoConnectTimeout);
    }
}

/// Finds contradictions within the request classes.
fn class_contradictions(root: &Value, classes: &[RequestClass], warn: &mut impl FnMut(&str, WarningKind)) {
    let consistencies = find(root, "extra.class_read").and_then(Value::as_array).map_or(0, Vec::len);
    if consistencies != classes.len() {
        warn("extra.class_read", WarningKind::ConsistencyCountMismatch);
    }
    for (index, class) in classes.iter().enumerate() {
        if class.latency_objective > class.client_timeout {
            warn(&format!("classes[{index}].goal_time_ms"), WarningKind::ObjectiveAfterTimeout);
        }
        if class.consistency == Consistency::BoundedStaleness(0) {
            warn("extra.max_age_ms", WarningKind::ZeroMaxAge { class: index });
        }
        if class.consistency == Consistency::Write && class.idempotency == Idempotency::Idempotent {
            warn(&format!("classes[{index}].idempotency"), WarningKind::IdempotentWrite);
        }
    }
}

/// Replicas are of use to bounded and session reads only if their positions are reported.
fn position_contradictions(routing: &Settings, warn: &mut impl FnMut(&str, WarningKind)) {
    let needs_position = |class: &RequestClass| {
        matches!(class.consistency, Consistency::BoundedStaleness(_) | Consistency::Session)
    };
    let positions_needed =
        routing.classes.iter().any(needs_position) && routing.stale_reads == StaleReadPolicy::Served;
    if !positions_needed {
        return;
    }
    if routing.load_reports == LoadReportSource::HealthChecks && !routing.health_checks_allowed {
        warn("load_info.via", WarningKind::HealthChecksNotAllowed);
    }
    if routing.load_reports != LoadReportSource::Never && !routing.load_reports_have_position {
        warn("load_info.names", WarningKind::NoPositionInLoadReports);
    }
}
