//! Finds unknown keys and contradictory settings.

use crate::DeploymentSettings;
use crate::reader::value_at;
use crate::{SettingsWarning, WarningKind};
use birchreach::{Consistency, Idempotency, LoadReportSource, RequestClass, Settings, StaleReadPolicy};
use serde_json::Value;

/// All keys that the platform documents, including those that this crate does not read.
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
/// Documented keys whose contents are not checked.
const OPAQUE_KEYS: [&str; 3] = ["client_habits", "objective_mix", "prices"];

/// Returns all warnings about the settings in `root`, those about unknown keys first. `settings` must have been read
/// from `root`.
pub fn warnings(root: &Value, settings: &DeploymentSettings) -> Vec<SettingsWarning> {
    let mut found = Vec::new();
    find_unknown_keys(root, "", "", &mut found);
    find_contradictions(root, settings, &mut found);
    found
}

/// Finds unknown keys below a node. `path` is the path of the node with the indices of list elements. `pattern` is the
/// same path without the indices, as in [`KNOWN_KEYS`].
fn find_unknown_keys(node: &Value, path: &str, pattern: &str, found: &mut Vec<SettingsWarning>) {
    match node {
        Value::Object(map) if !OPAQUE_KEYS.contains(&pattern) => {
            for (key, value) in map {
                let append_key =
                    |prefix: &str| if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
                let (path, pattern) = (append_key(path), append_key(pattern));
                if KNOWN_KEYS.split(' ').any(|known| known == pattern) {
                    find_unknown_keys(value, &path, &pattern, found);
                } else {
                    found.push(SettingsWarning { key: path, kind: WarningKind::UnknownKey });
                }
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                find_unknown_keys(value, &format!("{path}[{index}]"), &format!("{pattern}[]"), found);
            }
        }
        _ => {}
    }
}

/// Finds settings that contradict each other or are probably not intended.
fn find_contradictions(root: &Value, settings: &DeploymentSettings, found: &mut Vec<SettingsWarning>) {
    let routing = &settings.routing;
    let mut warn = |key: &str, kind| found.push(SettingsWarning { key: key.to_string(), kind });
    find_class_contradictions(root, &routing.classes, &mut warn);
    find_position_contradictions(routing, &mut warn);
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

/// Finds contradictions in the settings of the request classes.
fn find_class_contradictions(
    root: &Value,
    classes: &[RequestClass],
    warn: &mut impl FnMut(&str, WarningKind),
) {
    let consistencies = value_at(root, "extra.class_read").and_then(Value::as_array).map_or(0, Vec::len);
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

/// Finds settings that keep log positions out of the load reports. A replica can serve bounded and session reads only
/// if its position is known. Positions are not needed if servers reject stale reads.
fn find_position_contradictions(routing: &Settings, warn: &mut impl FnMut(&str, WarningKind)) {
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
