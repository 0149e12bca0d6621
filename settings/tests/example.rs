//! The example's settings, read as both programs read them.

use birchreach::{Consistency, Idempotency};

#[test]
fn the_example_reads_as_it_is_meant() {
    let text = include_str!("../../example/config.json");
    let root: serde_json::Value = serde_json::from_str(text).unwrap();
    let site = birchreach_settings::from_value(&root["settings"]).unwrap();
    assert_eq!(site.class_names, ["status-check", "own-draft", "tariff-lookup", "file-entry"]);
    let needs: Vec<Consistency> = site.routing.classes.iter().map(|c| c.consistency).collect();
    assert_eq!(
        needs,
        [Consistency::BoundedStaleness(800_000), Consistency::Session, Consistency::Any, Consistency::Write]
    );
    assert_eq!(site.routing.classes[3].idempotency, Idempotency::NotIdempotent);
    assert_eq!(site.session_position_in_request, [false, true, false, false]);
    assert_eq!((site.load_report_position_index, site.load_report_role_index), (Some(0), Some(1)));
    assert_eq!((site.connection_idle_timeout, site.routing.connect_timeout), (30_000_000, 250_000));
    assert_eq!(site.zone_names, ["a"]);
}

#[test]
fn what_is_missing_or_of_the_wrong_kind_is_named() {
    for (text, key) in [("[]", "info"), ("{", "info"), (r#"{"balancers": "two"}"#, "balancers")] {
        let said = birchreach_settings::parse(text).unwrap_err();
        assert!(said.starts_with("settings: ") && said.contains(key), "{said}");
    }
}
