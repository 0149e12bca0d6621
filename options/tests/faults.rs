//! A file with errors gives no options, and each of its errors names a line and an element.

use birchreach_health::{HealthSettings, Micros, ProbeSettings};
use birchreach_options::{Options, parse};

const MILLISECOND: Micros = 1_000;
const EXAMPLE: &str = include_str!("../../deploy/options.xml");

#[test]
fn each_value_of_the_example_is_the_default() {
    // When the example is read
    let health = parse(EXAMPLE).unwrap().health.unwrap();
    // Then each value is the default
    assert_eq!(
        health.settings,
        HealthSettings { probes: Some(ProbeSettings::default()), ..HealthSettings::default() }
    );
    assert_eq!(health.http.unwrap().listener.max_connections, 64);
    assert_eq!(health.shutdown_notice, 3_000 * MILLISECOND);
}

#[test]
fn a_missing_option_has_its_default() {
    // When the file has only a listener, then the other values are the defaults
    let listener_alone =
        "<birchreach-options><health><http listen='127.0.0.1:7081'/></health></birchreach-options>";
    let health = parse(listener_alone).unwrap().health.unwrap();
    assert_eq!(health.settings, HealthSettings::default());
    assert_eq!(health.shutdown_notice, 3_000 * MILLISECOND);
    // When the file has no element, then all options are switched off
    assert_eq!(parse("<birchreach-options/>"), Ok(Options::default()));
}

/// Returns the messages of the errors in the example after one replacement.
fn error_texts(old: &str, new: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(old), "{old}");
    parse(&EXAMPLE.replacen(old, new, 1)).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn an_error_names_its_line_its_element_and_the_cause() {
    for (old, new, line, element, expected) in [
        ("<probes", "<probs", 13, "", "probs"),
        ("every-ms=\"800\"", "each-ms=\"5000\"", 13, "probes", "each-ms"),
        ("every-ms=\"800\"", "every-ms=\"often\"", 13, "probes", "often"),
        ("every-ms=\"800\"", "every-ms=\"9\"", 13, "probes", "9"),
        ("callers=\"64\"", "callers=\"2\"", 6, "http", "2"),
        ("idle=\"trust\"", "idle=\"maybe\"", 9, "claims", "maybe"),
        ("127.0.0.1:7081", "localhost:7081", 6, "http", "localhost"),
        ("127.0.0.1:7081", "127.0.0.1:70810", 6, "http", "listen"),
        ("listen=\"127.0.0.1:7081\" ", "", 6, "http", "listen"),
        (
            "127.0.0.1:7082",
            "127.0.0.1:7081",
            7,
            "agent",
            "127.0.0.1:7081 is already used by the element http",
        ),
        ("127.0.0.1:7082", "0.0.0.0:7081", 7, "agent", "0.0.0.0:7081 is already used by the element http"),
        ("hang-ms=\"1700\"", "hang-ms=\"1900\"", 9, "claims", "1.9 s"),
        ("idle=\"trust\"", "idle=\"trust\">text</claims><claims", 9, "", ""),
        ("every-ms=\"800\"", "every-ms=\"8000\"", 13, "probes", "half of window-ms"),
        ("knee=\"0.6\"", "knee=\"0.96\"", 14, "weight", "must be below hot"),
        ("<stopping", "<health/><stopping", 15, "health", ""),
        ("</health>", "", 17, "file", "invalid XML"),
        ("<birchreach-options>", "<options>", 17, "file", "invalid XML"),
    ] {
        // When the example has one error
        let errors = error_texts(old, new);
        // Then an error names the line, the element and the cause
        let start = format!("line {line}: {element}");
        assert!(
            errors.iter().any(|error| error.starts_with(&start) && error.contains(expected)),
            "{new}: {errors:?}"
        );
    }
}

#[test]
fn all_errors_are_reported() {
    // Given the example with an error in each of three listeners
    let three_errors = EXAMPLE.replace("callers=\"64\"", "callers=\"2\"");
    // When the file is read, then there are three errors
    assert_eq!(parse(&three_errors).unwrap_err().len(), 3);
}

#[test]
fn a_text_that_is_not_an_options_file_gives_an_error() {
    for text in ["", "{}", "<a", "<other/>", "<!DOCTYPE x [<!ENTITY a 'b'>]><birchreach-options/>"] {
        // When the text is read, then there is an error
        assert!(!parse(text).unwrap_err().is_empty(), "{text}");
    }
}

#[test]
fn a_file_that_is_too_long_or_nested_too_deeply_gives_an_error() {
    // When a file is longer than 300 KiB, then the error has the length and the maximum
    let long = format!("<birchreach-options>{}</birchreach-options>", " ".repeat(300 << 10));
    let error = parse(&long).unwrap_err()[0].kind.to_string();
    assert_eq!(error, "the file has 307241 bytes, expected at most 262144");
    // When elements are nested 40,000 deep, then there is an error
    let deep = format!("{}{}", "<a>".repeat(40_000), "</a>".repeat(40_000));
    assert!(parse(&deep).is_err());
}

#[test]
fn health_without_a_listener_gives_an_error() {
    // When the element has no listener
    let no_listener = "<birchreach-options>\n<health/>\n</birchreach-options>";
    let errors = parse(no_listener).unwrap_err();
    // Then the error names the elements that configure a listener
    let expected = "line 2: health: no listener for health checks; add at least one of the elements http, agent and grpc";
    assert_eq!(errors[0].to_string(), expected);
}

#[test]
fn an_address_of_the_platforms_configuration_gives_a_conflict() {
    // Given the example
    let options = parse(EXAMPLE).unwrap();
    // When the platform's configuration has another address, then there is no conflict
    let conflicts = options.address_conflicts(&[("listen", "127.0.0.1:5432".parse().unwrap())]);
    assert_eq!(conflicts, []);
    // When the platform's configuration has an address of the example, then the conflict names element and key
    let conflicts = options.address_conflicts(&[("operator", "127.0.0.1:7082".parse().unwrap())]);
    assert_eq!(
        conflicts[0].to_string(),
        "line 7: agent: listen: 127.0.0.1:7082 is already used as operator in the platform's configuration"
    );
}

/// Returns the example after three bytes have been replaced at random.
fn damaged_example(seed: u64) -> Vec<u8> {
    let mut random = seed;
    let mut bytes = EXAMPLE.as_bytes().to_vec();
    for _ in 0..3 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let index = (random >> 33) as usize % bytes.len();
        bytes[index] = (random >> 25) as u8 & 0x7f;
    }
    bytes
}

/// Random bytes must not make the parser panic.
#[test]
fn a_damaged_file_gives_options_or_errors_with_lines() {
    for seed in 0..400 {
        // When a damaged file is read, then each error has a line and a text
        let damaged = damaged_example(seed);
        if let Err(errors) = parse(&String::from_utf8_lossy(&damaged)) {
            assert!(errors.iter().all(|error| error.line >= 1 && !error.kind.to_string().is_empty()));
        }
    }
}
