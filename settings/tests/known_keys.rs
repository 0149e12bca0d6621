//! Every settings key that is read, with a value other than its default: the keys and units of the platform's JSON stay as they are.

use birchreach::*;
use birchreach_settings::DeploymentSettings;

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

fn class(
    consistency: Consistency,
    idempotency: Idempotency,
    objective_ms: f64,
    timeout_ms: i64,
    weight: f64,
) -> RequestClass {
    RequestClass {
        consistency,
        idempotency,
        latency_objective: (objective_ms * 1_000.0) as Micros,
        client_timeout: timeout_ms * MILLISECOND,
        priority_weight: weight,
        late_weight_fraction: 0.0,
    }
}

fn classes() -> Vec<RequestClass> {
    let with_key = |scope, dedup_window| Idempotency::WithKey { scope, dedup_window };
    let write = class(Consistency::Write, Idempotency::NotIdempotent, 750.5, 3_000, 6.0);
    vec![
        RequestClass { late_weight_fraction: 0.5, ..write },
        class(Consistency::Write, with_key(DedupScope::Zone, 400 * MILLISECOND), 700.0, 2_000, 5.0),
        class(Consistency::BoundedStaleness(800 * MILLISECOND), Idempotency::Idempotent, 300.0, 1_200, 3.0),
        class(Consistency::Session, Idempotency::Idempotent, 500.0, 1_500, 2.0),
        class(Consistency::Any, Idempotency::Idempotent, 600.0, 2_500, 1.0),
        class(Consistency::Strong, with_key(DedupScope::AllServers, 1_500), 200.0, 900, 1.5),
    ]
}

#[test]
fn every_key_is_read_into_its_field() {
    let settings = birchreach_settings::parse(EVERY_KEY).unwrap();
    let routing = Settings {
        proxy_count: 7,
        zone: ZoneId(1),
        classes: classes(),
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
    };
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let expected = DeploymentSettings {
        routing,
        class_names: names(&["write", "keyed", "bounded", "session", "any", "fresh"]),
        zone_names: names(&["north", "south"]),
        load_report_fields: names(&["load", "x1", "x0"]),
        connection_idle_timeout: 20_000 * MILLISECOND,
        position_epoch: 1_500 * MILLISECOND,
        session_position_in_request: vec![false; 6],
        load_report_position_index: Some(2),
        load_report_role_index: Some(1),
    };
    assert_eq!(settings, expected);
}

#[test]
fn each_choice_is_read_into_its_variant() {
    let read = |key: &str, from: &str, to: &str| {
        let text = EVERY_KEY.replace(&format!(r#""{key}": "{from}""#), &format!(r#""{key}": "{to}""#));
        birchreach_settings::parse(&text).unwrap().routing
    };
    assert_eq!(read("guards", "wait", "silent").stale_reads, StaleReadPolicy::Served);
    assert_eq!(read("guards", "wait", "refuse").stale_reads, StaleReadPolicy::Rejected);
    assert_eq!(read("tokens", "remembered", "carried").session_positions, SessionPositionSource::FromRequest);
    assert_eq!(read("registry_mode", "subscribe", "automatic").endpoint_discovery, EndpointDiscovery::Pushed);
    assert_eq!(read("via", "piggyback", "pull").load_reports, LoadReportSource::HealthChecks);
    assert_eq!(read("via", "piggyback", "silent").load_reports, LoadReportSource::Never);
    let cell = Idempotency::WithKey { scope: DedupScope::Group, dedup_window: 400 * MILLISECOND };
    assert_eq!(read("dedup_scope", "zone", "cell").classes[1].idempotency, cell);
}
