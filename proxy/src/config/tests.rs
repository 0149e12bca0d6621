//! Checks which configurations cannot replace a running one.

use super::Config;
use super::parse::parse;

fn config(text: &str) -> Config {
    parse(text, |_| None).unwrap()
}

/// Returns the example configuration after one replacement.
fn replaced(old: &str, new: &str) -> Config {
    let example = include_str!("../../../example/config.json");
    assert!(example.contains(old), "{old}");
    config(&example.replacen(old, new, 1))
}

#[test]
fn a_reload_that_omits_a_key_in_use_is_rejected_with_its_path() {
    // Given a running configuration, and configurations that lack a key or have an unsuitable value
    let running = config(include_str!("../../../example/config.json"));
    let cases = [
        (
            "\"cores\": 1.0, ",
            "",
            "limits.cores: missing, or of another type than in the running configuration",
        ),
        (
            "\"cores\": 1.0",
            "\"cores\": \"1\"",
            "limits.cores: missing, or of another type than in the running configuration",
        ),
        ("\"deadline_ms\": 1500.0, ", "\"deadline_ms\": 1500.0, \"goal\": 1, ", ""),
        (
            ", \"late_worth\": 0.5",
            "",
            "settings.classes[3].late_worth: missing, or of another type than in the running configuration",
        ),
        (
            "[\"bounded\", \"session\", \"any\", \"write\"]",
            "[\"any\"]",
            "settings.extra.class_read: expected one entry for each class, found 1 for 4 classes",
        ),
        (
            "[800.0, 0.0, 0.0, 0.0]",
            "[800.0]",
            "settings.extra.max_age_ms: expected one entry for each class, found 1 for 4 classes",
        ),
    ];
    for (old, new, expected) in cases {
        // When one of them is checked as a replacement
        let error = running.validate_replacement(&replaced(old, new)).err();

        // Then the error names the key; an unknown key gives no error
        assert_eq!(error.map_or_else(String::new, |error| error.to_string()), expected, "{old}");
    }
}
