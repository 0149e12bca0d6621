//! Settings that lack something, know too much or contradict themselves: told by key, never a crash, and what is done
//! instead is safe.

use birchreach::{Consistency, LoadReportSource};
use birchreach_settings::{from_value_with_errors, warnings};
use serde_json::{Value, json};

fn example() -> Value {
    let whole: Value = serde_json::from_str(include_str!("../../example/config.json")).unwrap();
    whole["settings"].clone()
}

/// The same as the other deployment has it: reports in answers, one attempt at a time, advice on return.
fn other() -> Value {
    let mut told = example();
    told["load_info"]["via"] = json!("piggyback");
    told["limits"]["parallel_tries"] = json!(false);
    told["limits"]["retry_after"] = json!(true);
    told["limits"]["max_retry_after_ms"] = json!(2000.0);
    told["extra"]["role_in_list"] = json!("start");
    told["weights"] = json!("rough");
    told
}

fn doubts_of(told: &Value) -> Vec<String> {
    let (site, faults) = from_value_with_errors(told);
    assert_eq!(faults, [""; 0]);
    warnings(told, &site)
}

#[test]
fn both_forms_are_beyond_doubt() {
    assert_eq!(doubts_of(&example()), [""; 0]);
    assert_eq!(doubts_of(&other()), [""; 0]);
    assert_eq!(from_value_with_errors(&other()).0.routing.load_reports, LoadReportSource::Responses);
}

#[test]
fn what_contradicts_itself_or_is_unknown_is_told_by_its_key() {
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
    for (path, value, told) in cases {
        let mut settings = example();
        let (parent, key) = path.rsplit_once('/').unwrap();
        settings.pointer_mut(parent).unwrap()[key] = value;
        let said = doubts_of(&settings);
        assert_eq!(said.len(), usize::from(!told.is_empty()), "{path}: {said:?}");
        assert!(said.iter().all(|doubt| doubt.starts_with(&format!("settings: {told}"))), "{path}: {said:?}");
    }
}

#[test]
fn a_class_that_is_not_told_what_it_needs_goes_to_the_primary_alone() {
    for reads in [json!(["any"]), json!([]), Value::Null] {
        let mut settings = example();
        settings["extra"]["class_read"] = reads;
        let (site, faults) = from_value_with_errors(&settings);
        assert_eq!(faults, [""; 0]);
        assert!(
            site.routing.classes[1..].iter().all(|c| c.consistency == Consistency::Strong),
            "a write among them too"
        );
        assert_eq!(warnings(&settings, &site).len(), 1);
    }
}

#[test]
fn each_key_left_out_or_of_another_kind_is_a_fault_by_its_name_or_has_a_default() {
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
                // Faults and doubts name a key each, and every one of them begins alike.
                let (site, faults) = from_value_with_errors(&settings);
                for said in faults.iter().chain(&warnings(&settings, &site)) {
                    assert!(
                        said.starts_with("settings: ") && said.matches(": ").count() >= 1,
                        "{path}: {said}"
                    );
                }
                let silent = faults.is_empty() && warnings(&settings, &site).is_empty();
                let number = path.ends_with("_ms") && !path.contains("extra");
                assert!(!silent || !number || value == json!(1e300) || value.is_null(), "{path}: {value}");
            }
        }
    }
}
