//! Every fault names line and element, and nothing of a faulty file is taken.

use birchreach_health::{HealthSettings, ProbeSettings};
use birchreach_options::{Options, parse};

const EXAMPLE: &str = include_str!("../../deploy/options.xml");

#[test]
fn the_example_holds_every_default() {
    let options = parse(EXAMPLE).unwrap();
    let health = options.health.unwrap();
    assert_eq!(
        health.settings,
        HealthSettings { probes: Some(ProbeSettings::default()), ..HealthSettings::default() }
    );
    assert_eq!((health.http.unwrap().listener.max_connections, health.shutdown_notice), (64, 3_000_000));
    // What is left out is what it says.
    let short = "<birchreach-options><health><http listen='127.0.0.1:7081'/></health></birchreach-options>";
    let short = parse(short).unwrap().health.unwrap();
    assert_eq!((short.settings, short.shutdown_notice), (HealthSettings::default(), 3_000_000));
    assert_eq!(parse("<birchreach-options/>"), Ok(Options::default()));
}

/// The faults of the example after one replacement, as they are printed.
fn faults(old: &str, new: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(old), "{old}");
    parse(&EXAMPLE.replacen(old, new, 1)).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn faults_name_line_and_element() {
    for (old, new, line, element, says) in [
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
        let faults = faults(old, new);
        let start = format!("line {line}: {element}");
        assert!(faults.iter().any(|f| f.starts_with(&start) && f.contains(says)), "{new}: {faults:?}");
    }
    let two = EXAMPLE.replace("callers=\"64\"", "callers=\"2\"");
    assert_eq!(parse(&two).unwrap_err().len(), 3, "all of them come out");
}

#[test]
fn what_is_no_options_file_is_told_so() {
    for text in ["", "{}", "<a", "<other/>", "<!DOCTYPE x [<!ENTITY a 'b'>]><birchreach-options/>"] {
        assert!(!parse(text).unwrap_err().is_empty(), "{text}");
    }
    let long = format!("<birchreach-options>{}</birchreach-options>", " ".repeat(300 << 10));
    assert!(parse(&long).unwrap_err()[0].message.contains("longer"));
    let deep = format!("{}{}", "<a>".repeat(40_000), "</a>".repeat(40_000));
    assert!(parse(&deep).is_err());
    let nobody = "<birchreach-options>\n<health/>\n</birchreach-options>";
    assert_eq!(
        parse(nobody).unwrap_err()[0].to_string(),
        "line 2: health: neither http, agent nor grpc: nobody could ask"
    );
}

#[test]
fn addresses_of_the_platform_are_not_taken_again() {
    let options = parse(EXAMPLE).unwrap();
    let taken = options.address_conflicts(&[("listen", "127.0.0.1:5432".parse().unwrap())]);
    assert_eq!(taken, []);
    let taken = options.address_conflicts(&[("operator", "127.0.0.1:7082".parse().unwrap())]);
    assert_eq!(taken[0].to_string(), "line 7: agent: listen: 127.0.0.1:7082 is used as operator already");
}

/// Random damage: faults or options, never a panic.
#[test]
fn damage_is_told() {
    for seed in 0..400u64 {
        let mut n = seed;
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for _ in 0..3 {
            n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let at = (n >> 33) as usize % bytes.len();
            bytes[at] = (n >> 25) as u8 & 0x7f;
        }
        if let Err(faults) = parse(&String::from_utf8_lossy(&bytes)) {
            assert!(faults.iter().all(|f| f.line >= 1 && !f.message.is_empty()));
        }
    }
}
