//! Faults and warnings of the platform's JSON.

use crate::support::{Folder, VALID, program, replaced};

#[test]
fn check_prints_each_fault_of_the_platforms_json_with_its_line() {
    // Given configurations with one fault each
    let folder = Folder::new("json");
    let first_key = "\"name\": \"example\"";
    let cases = [
        ("{\n\"a".into(), "2: file: not JSON: EOF while parsing a string at line 2 column 2"),
        (replaced("600.0", "1e999"), "1: file: not JSON: number out of range at line 8 column 88"),
        (replaced("\"listen\"", "\"listens\""), "1: listen: absent, and RELAY_LISTEN is not set"),
        (replaced("\"127.0.0.1:6432\"", "7"), "1: listen: expected a word"),
        (replaced("127.0.0.1:6432", "here"), "1: listen: expected an address and a port, found 'here'"),
        (replaced("127.0.0.1:6433", "here"), "1: operator: expected an address and a port, found 'here'"),
        (replaced("\"discovery\"", "\"\""), "1: discovery: absent, and RELAY_DISCOVERY is not set"),
        (replaced("\"sockets\": 1024", "\"sockets\": 4"), "2: limits.sockets: expected 40 or more"),
        (replaced(first_key, "\n\n\"known\": {\"rev\": 1}"), "3: known: missing field `all`"),
        (
            replaced(first_key, "\"known\": {\"rev\": \"a: b\"}"),
            "1: known: invalid type: string \"a: b\", expected u64",
        ),
        (replaced("\"settings\"", "\"setting\""), "1: settings: absent"),
        (
            replaced("1200.0", "\"x\""),
            "6: settings: classes[0].deadline_ms: expected a non-negative number, found \"x\"",
        ),
        (replaced("1200.0", "0"), "6: settings: classes[0].deadline_ms: expected a positive number"),
        (replaced("own-draft", ""), "7: settings: classes[1].name: expected a name of its own"),
        (replaced("own-draft", "status-check"), "7: settings: classes[1].name: expected a name of its own"),
        (
            replaced("\"classes\"", "\"classes\": [], \"other\""),
            "5: settings: classes: expected one at least",
        ),
        (
            replaced("\"attempts_cap\": 6", "\"attempts_cap\": 0"),
            "12: settings: limits.attempts_cap: expected a positive number",
        ),
        (
            replaced("\"attempts_cap\": 6", "\"attempts_cap\": []"),
            "12: settings: limits.attempts_cap: expected a non-negative number, found a list",
        ),
    ];
    for (text, expected) in cases {
        let config = folder.write("config.json", &text);

        // When each is checked
        let lines = folder.check(&config, None);

        // Then the fault is printed
        assert_eq!(lines, [format!("config.json:{expected}")]);
    }
}

#[test]
fn check_prints_settings_that_are_no_object_with_all_that_is_absent() {
    // Given settings that are a list
    let folder = Folder::new("no_object");
    let (before, _) = VALID.split_once("\"settings\"").unwrap();
    let config = folder.write("config.json", &format!("{before}\"settings\": []}}"));

    // When the configuration is checked
    let lines = folder.check(&config, None);

    // Then all that is absent is printed
    let expected = [
        "info: expected an object, found a list",
        "balancers: missing, expected a non-negative number",
        "my_zone: missing, expected a non-negative number",
        "limits.attempts_cap: missing, expected a non-negative number",
        "obligations.drain_grace_ms: missing, expected a non-negative number",
        "obligations.cold_share: missing, expected a non-negative number",
        "obligations.cold_ms: missing, expected a non-negative number",
        "obligations.fall_multiple: missing, expected a non-negative number",
        "obligations.fall_ms: missing, expected a non-negative number",
        "classes: expected one at least",
    ];
    assert_eq!(lines, expected.map(|text| format!("config.json:3: settings: {text}")));
}

#[test]
fn check_prints_faults_of_all_parts_in_their_order() {
    // Given a configuration with a fault in each part
    let folder = Folder::new("order");
    let text = replaced("127.0.0.1:6432", "here").replace("127.0.0.1:6433", "there");
    let text = text.replace("\"sockets\": 1024", "\"sockets\": 4").replace("1200.0", "0");
    let config = folder.write("config.json", &text);

    // When it is checked
    let lines = folder.check(&config, None);

    // Then the faults are printed in their order
    let expected = [
        "config.json:1: operator: expected an address and a port, found 'there'",
        "config.json:2: limits.sockets: expected 40 or more",
        "config.json:6: settings: classes[0].deadline_ms: expected a positive number",
        "config.json:1: listen: expected an address and a port, found 'here'",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn check_prints_each_warning_with_its_line() {
    // Given configurations with one doubtful value each
    let folder = Folder::new("warnings");
    let attempts = "\"attempts_cap\": 6";
    let cases = [
        (
            "600.0",
            "6000.0",
            "8: settings: classes[2].goal_time_ms: greater than deadline_ms; clients give up before the latency objective",
        ),
        (attempts, "\"attempts_cap\": 6, \"x\": 1", "12: settings: limits.x: unknown key, ignored"),
        (attempts, "\"attempts_cap\": 6, \"x.y\": 1", "12: settings: limits.x.y: unknown key, ignored"),
        (attempts, "\"attempts_cap\": 6, \"\": 1", "12: settings: limits.: unknown key, ignored"),
        (attempts, "\"attempts_cap\": 6, \"x y\": 1", "3: settings: limits.x y: unknown key, ignored"),
    ];
    for (old, new, expected) in cases {
        let config = folder.write("config.json", &replaced(old, new));

        // When each is checked
        let lines = folder.check(&config, None);

        // Then the warning is printed, and that there are no faults
        assert_eq!(lines, [format!("doubt: config.json:{expected}"), "no faults".into()]);
    }
}

#[test]
fn check_prints_that_no_configuration_file_is_named() {
    // Given neither a variable nor an argument that names the file, when `check` runs
    let output = program().arg("check").output().unwrap();

    // Then it prints which variable is not set
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(printed, "RELAY_CONFIG:1: file: not set: it must name the configuration file\n");
}

#[test]
fn check_prints_files_that_are_not_there() {
    // Given a path where no file is
    let folder = Folder::new("absent");
    let valid = folder.write("config.json", VALID);
    let absent = folder.0.join("absent");

    // When it is checked as the configuration, or as the options
    let as_config = folder.check(&absent, None);
    let as_options = folder.check(&valid, Some(&absent));

    // Then the system's error is printed
    let expected = ["absent:1: file: No such file or directory (os error 2)"];
    assert_eq!(as_config, expected);
    assert_eq!(as_options, expected);
}

#[test]
fn the_start_fails_with_the_first_fault_of_the_platforms_json() {
    // Given faulty configurations
    let folder = Folder::new("start");
    let two_faults = replaced("1200.0", "0").replace("127.0.0.1:6432", "here");
    let cases = [
        ("{".into(), "not JSON: EOF while parsing an object at line 1 column 1"),
        (replaced("127.0.0.1:6432", "a\\nb"), "listen: expected an address and a port, found 'a b'"),
        (two_faults, "settings: classes[0].deadline_ms: expected a positive number"),
    ];
    for (text, expected) in cases {
        let config = folder.write("config.json", &text);

        // When the program starts with each
        let message = folder.start_error(&config, None);

        // Then it prints the first fault
        assert_eq!(message, format!("birchreach-proxy: config.json: {expected}\n"));
    }
}

#[test]
fn the_start_fails_without_a_configuration_file() {
    // Given a path where no file is
    let folder = Folder::new("start_absent");

    // When the program starts with it
    let message = folder.start_error(&folder.0.join("absent"), None);

    // Then it prints the system's error
    assert_eq!(message, "birchreach-proxy: absent: No such file or directory (os error 2)\n");
}

#[test]
fn the_start_fails_when_no_configuration_file_is_named() {
    // Given no variable that names the file, when the program starts
    let output = program().output().unwrap();

    // Then it prints which variable is not set
    let expected = "birchreach-proxy: RELAY_CONFIG is not set: it must name the configuration file\n";
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
}
