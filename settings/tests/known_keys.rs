//! Reads every settings key with a value other than its default. The keys and units are those of the platform's JSON
//! and must not change.

use birchreach::*;
use birchreach_settings::DeploymentSettings;

/// Settings with every key that is read.
const EVERY_KEY: &str = r#"{
    "balancers": 7, "my_zone": 1, "registry_mode": "subscribe", "dcs": ["north", "south"],
    "classes": [
        {"name": "write", "credit": 6.0, "deadline_ms": 3000.0, "goal_time_ms": 750.5, "idempotency": "single_shot", "late_worth": 0.5},
        {"name": "keyed", "credit": 5.0, "deadline_ms": 2000.0, "goal_time_ms": 700.0, "idempotency": "guarded",
         "dedup_scope": "zone", "repeat_window_ms": 400.0},
        {"name": "bounded", "credit": 3.0, "deadline_ms": 1200.0, "goal_time_ms": 300.0, "idempotency": "free"},
        {"name": "session", "credit": 2.0, "deadline_ms": 1500.0, "goal_time_ms": 500.0, "idempotency": "free"},
        {"name": "any", "credit": 1.0, "deadline_ms": 2500.0, "goal_time_ms": 600.0, "idempotency": "free"},
        {"name": "fresh", "credit": 1.5, "deadline_ms": 900.0, "goal_time_ms": 200.0, "idempotency": "guarded",
         "dedup_scope": "all", "repeat_window_ms": 1.5}],
    "parties": [{"name": "tenant", "quota_per_s": 12.5}],
    "extra": {"class_read": ["write", "write", "bounded", "session", "any", "fresh"], "max_age_ms": [0, 0, 800.0, 0, 0, 0],
              "guards": "wait", "tokens": "remembered", "counted_from_ms": 1500.0},
    "limits": {"attempts_cap": 6, "may_cancel": true, "may_probe": true, "parallel_tries": true, "conn_idle_ms": 20000.0,
               "connect_timeout_ms": 250.0, "retry_after": true, "max_retry_after_ms": 1250.0},
    "load_info": {"names": ["load", "x1", "x0"], "via": "piggyback"},
    "obligations": {"cold_ms": 18000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0,
                    "soft_removal": true}}"#;

const MILLISECOND: Micros = 1_000;

/// Idempotency with a key that the servers in `scope` recognise for the time `dedup_window`.
fn with_key(scope: DedupScope, dedup_window: Micros) -> Idempotency {
    Idempotency::WithKey { scope, dedup_window }
}

/// The expected read classes of [`EVERY_KEY`].
fn read_classes() -> [RequestClass; 4] {
    [
        RequestClass {
            consistency: Consistency::BoundedStaleness(800 * MILLISECOND),
            idempotency: Idempotency::Idempotent,
            latency_objective: 300 * MILLISECOND,
            client_timeout: 1_200 * MILLISECOND,
            priority_weight: 3.0,
            late_weight_fraction: 0.0,
        },
        RequestClass {
            consistency: Consistency::Session,
            idempotency: Idempotency::Idempotent,
            latency_objective: 500 * MILLISECOND,
            client_timeout: 1_500 * MILLISECOND,
            priority_weight: 2.0,
            late_weight_fraction: 0.0,
        },
        RequestClass {
            consistency: Consistency::Any,
            idempotency: Idempotency::Idempotent,
            latency_objective: 600 * MILLISECOND,
            client_timeout: 2_500 * MILLISECOND,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
        },
        RequestClass {
            consistency: Consistency::Strong,
            idempotency: with_key(DedupScope::AllServers, 1_500),
            latency_objective: 200 * MILLISECOND,
            client_timeout: 900 * MILLISECOND,
            priority_weight: 1.5,
            late_weight_fraction: 0.0,
        },
    ]
}

/// The expected write classes of [`EVERY_KEY`].
fn write_classes() -> [RequestClass; 2] {
    [
        RequestClass {
            consistency: Consistency::Write,
            idempotency: Idempotency::NotIdempotent,
            latency_objective: 750_500,
            client_timeout: 3_000 * MILLISECOND,
            priority_weight: 6.0,
            late_weight_fraction: 0.5,
        },
        RequestClass {
            consistency: Consistency::Write,
            idempotency: with_key(DedupScope::Zone, 400 * MILLISECOND),
            latency_objective: 700 * MILLISECOND,
            client_timeout: 2_000 * MILLISECOND,
            priority_weight: 5.0,
            late_weight_fraction: 0.0,
        },
    ]
}

/// The expected routing settings of [`EVERY_KEY`].
fn expected_routing() -> Settings {
    Settings {
        proxy_count: 7,
        zone: ZoneId(1),
        classes: write_classes().into_iter().chain(read_classes()).collect(),
        tenants: vec![Tenant { quota_per_second: 12.5 }],
        session_positions: SessionPositionSource::FromObservedWrites,
        stale_reads: StaleReadPolicy::Rejected,
        endpoint_discovery: EndpointDiscovery::Polled,
        load_reports: LoadReportSource::Responses,
        load_reports_have_position: true,
        max_attempts: 6,
        hedging_allowed: true,
        cancellation_allowed: true,
        health_checks_allowed: true,
        max_retry_after: Some(1_250 * MILLISECOND),
        connect_timeout: 250 * MILLISECOND,
        drain_grace: 2_000 * MILLISECOND,
        removal_is_advisory: true,
        slow_start_initial_fraction: 0.15,
        slow_start_window: 18_000 * MILLISECOND,
        overload_factor: 3.0,
        overload_window: 1_500 * MILLISECOND,
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn every_key_is_read_into_its_field() {
    // When settings with every key are read
    let settings = birchreach_settings::parse(EVERY_KEY).unwrap();
    // Then each field has its value
    let expected = DeploymentSettings {
        routing: expected_routing(),
        class_names: owned(&["write", "keyed", "bounded", "session", "any", "fresh"]),
        zone_names: owned(&["north", "south"]),
        load_report_fields: owned(&["load", "x1", "x0"]),
        connection_idle_timeout: 20_000 * MILLISECOND,
        position_epoch: 1_500 * MILLISECOND,
        session_position_in_request: vec![false; 6],
        load_report_position_index: Some(2),
        load_report_role_index: Some(1),
    };
    assert_eq!(settings, expected);
}

/// Reads the routing settings of [`EVERY_KEY`] with `other_value` in place of `value`.
fn routing_with(key: &str, value: &str, other_value: &str) -> Settings {
    let [from, to] = [value, other_value].map(|value| format!(r#""{key}": "{value}""#));
    birchreach_settings::parse(&EVERY_KEY.replace(&from, &to)).unwrap().routing
}

#[test]
fn each_value_of_stale_reads_is_read_into_its_variant() {
    assert_eq!(routing_with("guards", "wait", "silent").stale_reads, StaleReadPolicy::Served);
    assert_eq!(routing_with("guards", "wait", "refuse").stale_reads, StaleReadPolicy::Rejected);
}

#[test]
fn each_value_of_session_positions_is_read_into_its_variant() {
    let routing = routing_with("tokens", "remembered", "carried");
    assert_eq!(routing.session_positions, SessionPositionSource::FromRequest);
}

#[test]
fn each_value_of_endpoint_discovery_is_read_into_its_variant() {
    let routing = routing_with("registry_mode", "subscribe", "automatic");
    assert_eq!(routing.endpoint_discovery, EndpointDiscovery::Pushed);
}

#[test]
fn each_value_of_load_reports_is_read_into_its_variant() {
    let routing = routing_with("via", "piggyback", "pull");
    assert_eq!(routing.load_reports, LoadReportSource::HealthChecks);
    assert_eq!(routing_with("via", "piggyback", "silent").load_reports, LoadReportSource::Never);
}

#[test]
fn each_value_of_deduplication_scope_is_read_into_its_variant() {
    let routing = routing_with("dedup_scope", "zone", "cell");
    assert_eq!(routing.classes[1].idempotency, with_key(DedupScope::Group, 400 * MILLISECOND));
}
