//! The settings of a rig's proxies.

/// The value of `settings` in the configuration, with three request classes.
pub(crate) fn settings() -> String {
    let class = |name: &str, priority_weight: f64, deadline_ms: f64, idempotency: &str| {
        format!(
            r#"{{"name": "{name}", "credit": {priority_weight}, "deadline_ms": {deadline_ms}, "goal_time_ms": 750.0, "idempotency": "{idempotency}", "late_worth": 0.5}}"#
        )
    };
    let classes = [
        class("tariff-lookup", 1.0, 2500.0, "free"),
        class("file-entry", 6.0, 3000.0, "single_shot"),
        class("heavy", 1.0, 9000.0, "single_shot"),
    ];
    format!(
        r#"{{"balancers": 1, "my_zone": 0, "dcs": ["a"], "classes": [{}],
  "extra": {{"class_read": ["any", "write", "write"], "max_age_ms": [0.0, 0.0, 0.0], "guards": "silent", "tokens": "carried"}},
  "limits": {{"attempts_cap": 6, "may_cancel": true, "may_probe": true, "parallel_tries": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0}},
  "load_info": {{"names": ["x0", "x1"], "via": "pull"}},
  "obligations": {{"cold_ms": 18000.0, "cold_share": 0.15, "drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0}}}}"#,
        classes.join(", ")
    )
}
