//! A configuration that may not take the place of the one in force.

use super::Config;
use super::parse::parse;

fn config(text: &str) -> Config {
    parse(text, |_| None).unwrap()
}

/// The example configuration after one replacement.
fn replaced(old: &str, new: &str) -> Config {
    let example = include_str!("../../../example/config.json");
    assert!(example.contains(old), "{old}");
    config(&example.replacen(old, new, 1))
}

#[test]
fn a_reload_that_omits_a_key_in_use_is_rejected_with_its_path() {
    // Given a configuration in force, and successors that lack something of it or do not fit it
    let in_force = config(include_str!("../../../example/config.json"));
    let cases = [
        ("\"cores\": 1.0, ", "", "limits.cores: absent, or not of its kind"),
        ("\"cores\": 1.0", "\"cores\": \"1\"", "limits.cores: absent, or not of its kind"),
        ("\"deadline_ms\": 1500.0, ", "\"deadline_ms\": 1500.0, \"goal\": 1, ", ""),
        (", \"late_worth\": 0.5", "", "settings.classes[3].late_worth: absent, or not of its kind"),
        (
            "[\"bounded\", \"session\", \"any\", \"write\"]",
            "[\"any\"]",
            "settings.extra.class_read: expected one for each class",
        ),
        ("[800.0, 0.0, 0.0, 0.0]", "[800.0]", "settings.extra.max_age_ms: expected one for each class"),
    ];
    for (old, new, expected) in cases {
        // When each is to take its place
        let error = in_force.validate_replacement(&replaced(old, new)).err();

        // Then the error names the key; an unknown key is no error
        assert_eq!(error.map_or_else(String::new, |error| error.to_string()), expected, "{old}");
    }
}
