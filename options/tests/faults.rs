//! Every error names line and element, and nothing of a file with errors is applied.

use birchreach_health::{HealthSettings, ProbeSettings};
use birchreach_options::{Options, parse};

const EXAMPLE: &str = include_str!("../../deploy/options.xml");

#[test]
fn the_example_has_the_default_of_every_option() {
    let options = parse(EXAMPLE).unwrap();
    let health = options.health.unwrap();
    assert_eq!(
        health.settings,
        HealthSettings { probes: Some(ProbeSettings::default()), ..HealthSettings::default() }
    );
    assert_eq!((health.http.unwrap().listener.max_connections, health.shutdown_notice), (64, 3_000_000));
    // An absent option has the same default.
    let listener_alone =
        "<birchreach-options><health><http listen='127.0.0.1:7081'/></health></birchreach-options>";
    let health = parse(listener_alone).unwrap().health.unwrap();
    assert_eq!((health.settings, health.shutdown_notice), (HealthSettings::default(), 3_000_000));
    assert_eq!(parse("<birchreach-options/>"), Ok(Options::default()));
}

/// The errors of the example after one replacement, as they are printed.
fn error_texts(old: &str, new: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(old), "{old}");
    parse(&EXAMPLE.replacen(old, new, 1)).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn an_error_names_its_line_and_element() {
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
        ("127.0.0.1:7082", "127.0.0.1:7081", 7, "agent", "used by http"),
        ("127.0.0.1:7082", "0.0.0.0:7081", 7, "agent", "used by http"),
        ("hang-ms=\"1700\"", "hang-ms=\"1900\"", 9, "claims", "1.9 s"),
        ("idle=\"trust\"", "idle=\"trust\">text</claims><claims", 9, "", ""),
        ("every-ms=\"800\"", "every-ms=\"8000\"", 13, "probes", "half of window-ms"),
        ("knee=\"0.6\"", "knee=\"0.96\"", 14, "weight", "not below hot"),
        ("<stopping", "<health/><stopping", 15, "health", ""),
        ("</health>", "", 17, "file", "not XML"),
        ("<birchreach-options>", "<options>", 17, "file", "not XML"),
    ] {
        let errors = error_texts(old, new);

        let start = format!("line {line}: {element}");
        assert!(
            errors.iter().any(|error| error.starts_with(&start) && error.contains(expected)),
            "{new}: {errors:?}"
        );
    }
    let two_errors = EXAMPLE.replace("callers=\"64\"", "callers=\"2\"");
    assert_eq!(parse(&two_errors).unwrap_err().len(), 3, "all of them are reported");
}

#[test]
fn a_text_that_is_not_an_options_file_gives_an_error() {
    for text in ["", "{}", "<a", "<other/>", "<!DOCTYPE x [<!ENTITY a 'b'>]><birchreach-options/>"] {
        assert!(!parse(text).unwrap_err().is_empty(), "{text}");
    }
    let long = format!("<birchreach-options>{}</birchreach-options>", " ".repeat(300 << 10));
    assert!(parse(&long).unwrap_err()[0].kind.to_string().contains("longer"));
    let deep = format!("{}{}", "<a>".repeat(40_000), "</a>".repeat(40_000));
    assert!(parse(&deep).is_err());
    let no_listener = "<birchreach-options>\n<health/>\n</birchreach-options>";
    assert_eq!(
        parse(no_listener).unwrap_err()[0].to_string(),
        "line 2: health: neither http, agent nor grpc: nobody could ask"
    );
}

#[test]
fn an_address_of_the_platform_gives_a_conflict() {
    let options = parse(EXAMPLE).unwrap();
    let conflicts = options.address_conflicts(&[("listen", "127.0.0.1:5432".parse().unwrap())]);
    assert_eq!(conflicts, []);
    let conflicts = options.address_conflicts(&[("operator", "127.0.0.1:7082".parse().unwrap())]);
    assert_eq!(conflicts[0].to_string(), "line 7: agent: listen: 127.0.0.1:7082 is used as operator already");
}

/// Random damage: errors or options, never a panic.
#[test]
fn a_damaged_file_gives_options_or_errors_with_lines() {
    for seed in 0..400u64 {
        let mut n = seed;
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for _ in 0..3 {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (n >> 33) as usize % bytes.len();
            bytes[at] = (n >> 25) as u8 & 0x7f;
        }
        if let Err(errors) = parse(&String::from_utf8_lossy(&bytes)) {
            assert!(errors.iter().all(|error| error.line >= 1 && !error.kind.to_string().is_empty()));
        }
    }
}
