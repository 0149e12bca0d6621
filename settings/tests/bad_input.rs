//! Settings with missing keys, unknown keys or contradictions give errors and warnings that name the key. They never
//! cause a panic, and an unusable value is replaced by a safe one.

use birchreach::{Consistency, LoadReportSource};
use birchreach_settings::{DeploymentSettings, from_value_with_errors, warnings};
use serde_json::{Value, json};

/// Returns the settings of the example.
fn example() -> Value {
    let configuration: Value = serde_json::from_str(include_str!("../../example/config.json")).unwrap();
    configuration["settings"].clone()
}

/// Returns the settings of another deployment: load reports in responses, no hedged requests, and a Retry-After.
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

/// Returns the texts of the warnings about settings that have no errors.
fn warnings_of(settings: &Value) -> Vec<String> {
    let (settings_read, errors) = from_value_with_errors(settings);
    assert!(errors.is_empty(), "{errors:?}");
    warning_texts(settings, &settings_read)
}

/// Returns the texts of the warnings. `settings_read` must have been read from `settings`.
fn warning_texts(settings: &Value, settings_read: &DeploymentSettings) -> Vec<String> {
    warnings(settings, settings_read).iter().map(ToString::to_string).collect()
}

#[test]
fn settings_of_both_deployments_give_no_warning() {
    // When the settings of each deployment are read, then there are no warnings
    assert_eq!(warnings_of(&example()), [""; 0]);
    assert_eq!(warnings_of(&other_deployment()), [""; 0]);
    // And a value that differs from the example is read
    let (settings_read, _) = from_value_with_errors(&other_deployment());
    assert_eq!(settings_read.routing.load_reports, LoadReportSource::Responses);
}

#[test]
fn a_contradiction_or_an_unknown_key_gives_one_warning_that_names_the_key() {
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
        // Given the settings of the example with one changed value
        let mut settings = example();
        let (parent, key) = path.rsplit_once('/').unwrap();
        settings.pointer_mut(parent).unwrap()[key] = value;
        // When the settings are read
        let warnings = warnings_of(&settings);
        // Then one warning names the key, or there is no warning if none is expected
        assert_eq!(warnings.len(), usize::from(!expected.is_empty()), "{path}: {warnings:?}");
        assert!(
            warnings.iter().all(|warning| warning.starts_with(&format!("settings: {expected}"))),
            "{path}: {warnings:?}"
        );
    }
}

#[test]
fn requests_of_a_class_without_a_consistency_go_to_the_primary_only() {
    for consistencies in [json!(["any"]), json!([]), Value::Null] {
        // Given settings that have a consistency for the first class or for no class
        let mut settings = example();
        settings["extra"]["class_read"] = consistencies;
        // When the settings are read
        let (settings_read, errors) = from_value_with_errors(&settings);
        // Then the requests of the other classes go to the primary, and there is one warning
        assert!(errors.is_empty(), "{errors:?}");
        assert!(
            settings_read.routing.classes[1..].iter().all(|class| class.consistency == Consistency::Strong),
            "requests of a class without a consistency, such as a write, can go to a replica"
        );
        assert_eq!(warnings(&settings, &settings_read).len(), 1);
    }
}

/// Adds the JSON pointers of a node and of all nodes below it to `found`.
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

/// Checks the errors and warnings about settings in which `value` has replaced the value at `pointer`.
fn check_replaced_value(settings: &Value, pointer: &str, value: &Value) {
    let (settings_read, errors) = from_value_with_errors(settings);
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let warnings = warning_texts(settings, &settings_read);
    // Each error and each warning starts with the same prefix and has a key.
    for text in errors.iter().chain(&warnings) {
        assert!(text.starts_with("settings: ") && text.matches(": ").count() >= 1, "{pointer}: {text}");
    }
    // A value that is not a number gives an error or a warning if the key needs a number and has no default.
    let is_silent = errors.is_empty() && warnings.is_empty();
    let is_number_expected = pointer.ends_with("_ms") && !pointer.contains("extra");
    let is_usable = *value == json!(1e300) || value.is_null();
    assert!(!is_silent || !is_number_expected || is_usable, "{pointer}: {value}");
}

#[test]
fn a_missing_value_or_a_value_of_the_wrong_type_gives_an_error_a_warning_or_a_default() {
    for deployment in [example(), other_deployment()] {
        // Given the settings of a deployment
        let mut pointers = Vec::new();
        find_pointers(&deployment, "", &mut pointers);
        assert!(pointers.len() > 60);
        for pointer in &pointers {
            for value in [Value::Null, json!({"a": [1]}), json!([[]]), json!(-1), json!(1e300), json!("?")] {
                // When one value is missing, has the wrong type or is out of range
                let mut settings = deployment.clone();
                *settings.pointer_mut(pointer).unwrap() = value.clone();
                // Then there is an error or a warning that names a key, or the default is used
                check_replaced_value(&settings, pointer, &value);
            }
        }
    }
}
