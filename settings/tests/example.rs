//! Reads the settings of the example from parsed JSON, and invalid settings from text.

use birchreach::{Consistency, Idempotency, Micros};
use birchreach_settings::{from_value, parse};

const MILLISECOND: Micros = 1_000;

#[test]
fn the_settings_of_the_example_are_read_into_their_fields() {
    // Given the configuration of the example
    let text = include_str!("../../example/config.json");
    let root: serde_json::Value = serde_json::from_str(text).unwrap();
    // When the settings in it are read
    let settings = from_value(&root["settings"]).unwrap();
    // Then each field has its value
    assert_eq!(settings.class_names, ["status-check", "own-draft", "tariff-lookup", "file-entry"]);
    let classes = &settings.routing.classes;
    let consistencies: Vec<Consistency> = classes.iter().map(|class| class.consistency).collect();
    let bounded = Consistency::BoundedStaleness(800 * MILLISECOND);
    assert_eq!(consistencies, [bounded, Consistency::Session, Consistency::Any, Consistency::Write]);
    assert_eq!(classes[3].idempotency, Idempotency::NotIdempotent);
    assert_eq!(settings.session_position_in_request, [false, true, false, false]);
    assert_eq!(settings.load_report_position_index, Some(0));
    assert_eq!(settings.load_report_role_index, Some(1));
    assert_eq!(settings.connection_idle_timeout, 30_000 * MILLISECOND);
    assert_eq!(settings.routing.connect_timeout, 250 * MILLISECOND);
    assert_eq!(settings.zone_names, ["a"]);
}

#[test]
fn an_error_names_the_key_with_the_invalid_value() {
    for (text, key) in [("[]", "info"), ("{", "info"), (r#"{"balancers": "two"}"#, "balancers")] {
        // When invalid settings are read, then the error names the key
        let error = parse(text).unwrap_err().to_string();
        assert!(error.starts_with("settings: ") && error.contains(key), "{error}");
    }
}
