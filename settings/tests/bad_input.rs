//! Settings that lack keys, have unknown ones or contradict themselves give errors and warnings by key, never a panic, and a safe
//! value instead.

use birchreach::{Consistency, LoadReportSource};
use birchreach_settings::{DeploymentSettings, from_value_with_errors, warnings};
use serde_json::{Value, json};

fn example() -> Value {
    let configuration: Value = serde_json::from_str(include_str!("../../example/config.json")).unwrap();
    configuration["settings"].clone()
}

/// The settings of another deployment: load reports in responses, no hedged requests, a Retry-After.
fn other() -> Value {
    let mut settings = example();
    settings["load_info"]["via"] = json!("piggyback");
    settings["limits"]["parallel_tries"] = json!(false);
    settings["limits"]["retry_after"] = json!(true);
    settings["limits"]["max_retry_after_ms"] = json!(2000.0);
    settings["extra"]["role_in_list"] = json!("start");
    settings["weights"] = json!("rough");
    settings
}

fn warnings_of(settings: &Value) -> Vec<String> {
    let (settings_read, errors) = from_value_with_errors(settings);
    assert!(errors.is_empty(), "{errors:?}");
    warning_texts(settings, &settings_read)
}

fn warning_texts(settings: &Value, settings_read: &DeploymentSettings) -> Vec<String> {
    warnings(settings, settings_read).iter().map(ToString::to_string).collect()
}

#[test]
fn settings_of_both_deployments_give_no_warning() {
    assert_eq!(warnings_of(&example()), [""; 0]);
    assert_eq!(warnings_of(&other()), [""; 0]);
    assert_eq!(from_value_with_errors(&other()).0.routing.load_reports, LoadReportSource::Responses);
}

#[test]
fn contradictions_and_unknown_keys_give_a_warning_by_key() {
    let cases: [(&str, Value, &str); 13] = [
        ("/my_zone", json!(9), "my_zone: "),
        ("/my_rack", json!(9), "my_rack: unknown"),
        ("/classes/1/colour", json!("red"), "classes[1].colour: unknown"),
        ("/limits/may_prob", json!(true), "limits.may_prob: unknown"),
        ("/classes/0/goal_time_ms", json!(9e9), "classes[0].goal_time_ms: "),
        ("/classes/3/idempotency", json!("free"), "classes[3].idempotency: "),
        ("/extra/class_read", json!(["bounded", "session", "any"]), "extra.class_read: "),
        ("/extra/max_age_ms", json!([0.0, 0.0, 0.0, 0.0]), "extra.max_age_ms: "),
        ("/limits/may_probe", json!(false), "load_info.via: "),
        ("/load_info/names", json!(["x1"]), "load_info.names: "),
        ("/obligations/cold_share", json!(15), "obligations.cold_share: "),
        ("/limits/connect_timeout_ms", Value::Null, "limits.connect_timeout_ms: "),
        ("/balancers", json!(1), ""),
    ];
    for (path, value, expected) in cases {
        let mut settings = example();
        let (parent, key) = path.rsplit_once('/').unwrap();
        settings.pointer_mut(parent).unwrap()[key] = value;

        let warnings = warnings_of(&settings);

        assert_eq!(warnings.len(), usize::from(!expected.is_empty()), "{path}: {warnings:?}");
        assert!(
            warnings.iter().all(|warning| warning.starts_with(&format!("settings: {expected}"))),
            "{path}: {warnings:?}"
        );
    }
}

#[test]
fn a_class_without_a_consistency_goes_to_the_primary_alone() {
    for consistencies in [json!(["any"]), json!([]), Value::Null] {
        let mut settings = example();
        settings["extra"]["class_read"] = consistencies;
        let (settings_read, errors) = from_value_with_errors(&settings);
        assert!(errors.is_empty(), "{errors:?}");
        assert!(
            settings_read.routing.classes[1..].iter().all(|c| c.consistency == Consistency::Strong),
            "a write among them too"
        );
        assert_eq!(warnings(&settings, &settings_read).len(), 1);
    }
}

#[test]
fn an_absent_key_or_one_of_another_kind_gives_an_error_or_a_default() {
    fn paths(node: &Value, path: &str, found: &mut Vec<String>) {
        match node {
            Value::Object(map) => {
                for (key, value) in map {
                    paths(value, &format!("{path}/{key}"), found);
                }
            }
            Value::Array(list) => {
                for (i, value) in list.iter().enumerate() {
                    paths(value, &format!("{path}/{i}"), found);
                }
            }
            _ => {}
        }
        found.push(path.to_string());
    }
    for form in [example(), other()] {
        let mut all = Vec::new();
        paths(&form, "", &mut all);
        assert!(all.len() > 60);
        for path in &all {
            for value in [Value::Null, json!({"a": [1]}), json!([[]]), json!(-1), json!(1e300), json!("?")] {
                let mut settings = form.clone();
                *settings.pointer_mut(path).unwrap() = value.clone();
                // Each error and each warning names a key, and all begin alike.
                let (settings_read, errors) = from_value_with_errors(&settings);
                let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
                for text in errors.iter().chain(&warning_texts(&settings, &settings_read)) {
                    assert!(
                        text.starts_with("settings: ") && text.matches(": ").count() >= 1,
                        "{path}: {text}"
                    );
                }
                let silent = errors.is_empty() && warnings(&settings, &settings_read).is_empty();
                let number = path.ends_with("_ms") && !path.contains("extra");
                assert!(!silent || !number || value == json!(1e300) || value.is_null(), "{path}: {value}");
            }
        }
    }
}
