//! The settings of the example, read as both programs read them.

use birchreach::{Consistency, Idempotency};

#[test]
fn the_example_is_read_into_its_fields() {
    let text = include_str!("../../example/config.json");
    let root: serde_json::Value = serde_json::from_str(text).unwrap();
    let settings = birchreach_settings::from_value(&root["settings"]).unwrap();
    assert_eq!(settings.class_names, ["status-check", "own-draft", "tariff-lookup", "file-entry"]);
    let consistencies: Vec<Consistency> = settings.routing.classes.iter().map(|c| c.consistency).collect();
    assert_eq!(
        consistencies,
        [Consistency::BoundedStaleness(800_000), Consistency::Session, Consistency::Any, Consistency::Write]
    );
    assert_eq!(settings.routing.classes[3].idempotency, Idempotency::NotIdempotent);
    assert_eq!(settings.session_position_in_request, [false, true, false, false]);
    assert_eq!((settings.load_report_position_index, settings.load_report_role_index), (Some(0), Some(1)));
    assert_eq!((settings.connection_idle_timeout, settings.routing.connect_timeout), (30_000_000, 250_000));
    assert_eq!(settings.zone_names, ["a"]);
}

#[test]
fn an_error_names_the_key_at_fault() {
    for (text, key) in [("[]", "info"), ("{", "info"), (r#"{"balancers": "two"}"#, "balancers")] {
        let error = birchreach_settings::parse(text).unwrap_err().to_string();
        assert!(error.starts_with("settings: ") && error.contains(key), "{error}");
    }
}
