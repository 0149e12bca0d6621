//! Settings that lack keys, have unknown ones or contradict themselves give errors and warnings by key, never a
//! panic, and a safe value instead.

use birchreach::{Consistency, LoadReportSource};
use birchreach_settings::{DeploymentSettings, from_value_with_errors, warnings};
use serde_json::{Value, json};

/// The settings of the example.
fn example() -> Value {
    let configuration: Value = serde_json::from_str(include_str!("../../example/config.json")).unwrap();
    configuration["settings"].clone()
}

/// The settings of another deployment: load reports in responses, no hedged requests, a Retry-After.
fn other_deployment() -> Value {
    let mut settings = example();
    settings["load_info"]["via"] = json!("piggyback");
    settings["limits"]["parallel_tries"] = json!(false);
    settings["limits"]["retry_after"] = json!(true);
    settings["limits"]["max_retry_after_ms"] = json!(2000.0);
    settings["extra"]["role_in_list"] = json!("start");
    settings["weights"] = json!("rough");
    settings
}

/// The warnings for settings without errors.
fn warnings_of(settings: &Value) -> Vec<String> {
    let (settings_read, errors) = from_value_with_errors(settings);
    assert!(errors.is_empty(), "{errors:?}");
    warning_texts(settings, &settings_read)
}

/// The warnings for settings, of which this was read.
fn warning_texts(settings: &Value, settings_read: &DeploymentSettings) -> Vec<String> {
    warnings(settings, settings_read).iter().map(ToString::to_string).collect()
}

#[test]
fn settings_of_both_deployments_give_no_warning() {
    // When the settings of either deployment are read, then there is no warning
    assert_eq!(warnings_of(&example()), [""; 0]);
    assert_eq!(warnings_of(&other_deployment()), [""; 0]);
    // Then values that differ from the example are read
    let (settings_read, _) = from_value_with_errors(&other_deployment());
    assert_eq!(settings_read.routing.load_reports, LoadReportSource::Responses);
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
        // Given settings in which one value is another
        let mut settings = example();
        let (parent, key) = path.rsplit_once('/').unwrap();
        settings.pointer_mut(parent).unwrap()[key] = value;
        // When they are read
        let warnings = warnings_of(&settings);
        // Then the one warning names its key, if there is anything to warn of
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
        // Given settings that name a consistency for the first class at most
        let mut settings = example();
        settings["extra"]["class_read"] = consistencies;
        // When they are read
        let (settings_read, errors) = from_value_with_errors(&settings);
        // Then the other classes need the primary, and there is one warning
        assert!(errors.is_empty(), "{errors:?}");
        assert!(
            settings_read.routing.classes[1..].iter().all(|class| class.consistency == Consistency::Strong),
            "a write among them too"
        );
        assert_eq!(warnings(&settings, &settings_read).len(), 1);
    }
}

/// Adds the JSON pointers to a node and all nodes below it to `found`.
fn find_pointers(node: &Value, pointer: &str, found: &mut Vec<String>) {
    match node {
        Value::Object(map) => {
            for (key, value) in map {
                find_pointers(value, &format!("{pointer}/{key}"), found);
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                find_pointers(value, &format!("{pointer}/{index}"), found);
            }
        }
        _ => {}
    }
    found.push(pointer.to_string());
}

/// Checks what these settings give, in which the value at a pointer was replaced by this one.
fn check_replaced_value(settings: &Value, pointer: &str, value: &Value) {
    let (settings_read, errors) = from_value_with_errors(settings);
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let warnings = warning_texts(settings, &settings_read);
    // Each error and each warning names a key, and all begin alike.
    for text in errors.iter().chain(&warnings) {
        assert!(text.starts_with("settings: ") && text.matches(": ").count() >= 1, "{pointer}: {text}");
    }
    // What is no number gives an error or a warning where a number has to be, unless it has a default.
    let is_silent = errors.is_empty() && warnings.is_empty();
    let is_number_expected = pointer.ends_with("_ms") && !pointer.contains("extra");
    let is_usable = *value == json!(1e300) || value.is_null();
    assert!(!is_silent || !is_number_expected || is_usable, "{pointer}: {value}");
}

#[test]
fn an_absent_key_or_one_of_another_kind_gives_an_error_or_a_default() {
    for deployment in [example(), other_deployment()] {
        // Given the settings of a deployment
        let mut pointers = Vec::new();
        find_pointers(&deployment, "", &mut pointers);
        assert!(pointers.len() > 60);
        for pointer in &pointers {
            for value in [Value::Null, json!({"a": [1]}), json!([[]]), json!(-1), json!(1e300), json!("?")] {
                // When one value is absent or of another kind
                let mut settings = deployment.clone();
                *settings.pointer_mut(pointer).unwrap() = value.clone();
                // Then there is an error or warning by key, or a default
                check_replaced_value(&settings, pointer, &value);
            }
        }
    }
}
