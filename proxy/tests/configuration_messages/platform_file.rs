//! Errors and warnings about the platform's JSON file.

use crate::support::{Folder, VALID, program, replaced};

/// Checks the line that the command `check` prints for each of the configurations, which have one error each.
fn assert_check_errors<const CASES: usize>(folder_name: &str, cases: [(String, &str); CASES]) {
    let folder = Folder::new(folder_name);
    for (text, expected) in cases {
        let config = folder.write("config.json", &text);

        // When the configuration is checked
        let lines = folder.check(&config, None);

        // Then the error is printed
        assert_eq!(lines, [format!("config.json:{expected}")]);
    }
}

#[test]
fn check_prints_each_error_outside_the_settings_with_its_line() {
    let first_key = "\"name\": \"example\"";
    assert_check_errors(
        "json",
        [
            ("{\n\"a".into(), "2: file: invalid JSON: EOF while parsing a string at line 2 column 2"),
            (replaced("600.0", "1e999"), "1: file: invalid JSON: number out of range at line 8 column 88"),
            (
                replaced("\"listen\"", "\"listens\""),
                "1: listen: missing, expected a string here or in the environment variable RELAY_LISTEN",
            ),
            (replaced("\"127.0.0.1:6432\"", "7"), "1: listen: expected a string, found 7"),
            (
                replaced("127.0.0.1:6432", "here"),
                r#"1: listen: expected an IP address and a port, found "here""#,
            ),
            (
                replaced("127.0.0.1:6433", "here"),
                r#"1: operator: expected an IP address and a port, found "here""#,
            ),
            (
                replaced("\"discovery\"", "\"\""),
                "1: discovery: missing, expected a string here or in the environment variable RELAY_DISCOVERY",
            ),
            (
                replaced("\"sockets\": 1024", "\"sockets\": 4"),
                "2: limits.sockets: expected an integer of at least 40, found 4",
            ),
            (
                replaced(first_key, "\n\n\"known\": {\"rev\": 1}"),
                "3: known: invalid endpoint list: missing field `all`",
            ),
            (
                replaced(first_key, "\"known\": {\"rev\": \"a: b\"}"),
                "1: known: invalid endpoint list: invalid type: string \"a: b\", expected u64",
            ),
            (replaced("\"settings\"", "\"setting\""), "1: settings: missing, expected an object"),
        ],
    );
}

#[test]
fn check_prints_each_error_in_the_settings_with_its_line() {
    assert_check_errors(
        "settings",
        [
            (
                replaced("1200.0", "\"x\""),
                "6: settings: classes[0].deadline_ms: expected a non-negative number, found \"x\"",
            ),
            (
                replaced("1200.0", "0"),
                "6: settings: classes[0].deadline_ms: expected a positive number, found 0",
            ),
            (
                replaced("own-draft", ""),
                r#"7: settings: classes[1].name: expected a name that is not empty and not used by an earlier class, found """#,
            ),
            (
                replaced("own-draft", "status-check"),
                r#"7: settings: classes[1].name: expected a name that is not empty and not used by an earlier class, found "status-check""#,
            ),
            (
                replaced("\"classes\"", "\"classes\": [], \"other\""),
                "5: settings: classes: expected at least one class, found none",
            ),
            (
                replaced("\"attempts_cap\": 6", "\"attempts_cap\": 0"),
                "12: settings: limits.attempts_cap: expected a number of at least 1, found 0",
            ),
            (
                replaced("\"attempts_cap\": 6", "\"attempts_cap\": []"),
                "12: settings: limits.attempts_cap: expected a non-negative number, found a list",
            ),
        ],
    );
}

#[test]
fn check_prints_all_missing_keys_if_the_settings_are_not_an_object() {
    // Given settings that are a list
    let folder = Folder::new("no_object");
    let (before, _) = VALID.split_once("\"settings\"").unwrap();
    let config = folder.write("config.json", &format!("{before}\"settings\": []}}"));

    // When the configuration is checked
    let lines = folder.check(&config, None);

    // Then an error is printed for the settings and for each missing key
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
        "classes: expected at least one class, found none",
    ];
    assert_eq!(lines, expected.map(|text| format!("config.json:3: settings: {text}")));
}

#[test]
fn check_prints_errors_of_all_parts_in_a_fixed_order() {
    // Given a configuration with an error in each part
    let folder = Folder::new("order");
    let text = replaced("127.0.0.1:6432", "here").replace("127.0.0.1:6433", "there");
    let text = text.replace("\"sockets\": 1024", "\"sockets\": 4").replace("1200.0", "0");
    let config = folder.write("config.json", &text);

    // When the configuration is checked
    let lines = folder.check(&config, None);

    // Then the errors are printed in this order
    let expected = [
        r#"config.json:1: operator: expected an IP address and a port, found "there""#,
        "config.json:2: limits.sockets: expected an integer of at least 40, found 4",
        "config.json:6: settings: classes[0].deadline_ms: expected a positive number, found 0",
        r#"config.json:1: listen: expected an IP address and a port, found "here""#,
    ];
    assert_eq!(lines, expected);
}

#[test]
fn check_prints_each_warning_with_its_line() {
    // Given configurations with one unknown key or contradiction each
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

        // When one of them is checked
        let lines = folder.check(&config, None);

        // Then the warning is printed, and a line that states that there are no errors
        assert_eq!(lines, [format!("doubt: config.json:{expected}"), "no faults".into()]);
    }
}

#[test]
fn check_prints_that_no_configuration_file_is_configured() {
    // Given neither an environment variable nor an argument that names the file, when `check` runs
    let output = program().arg("check").output().unwrap();

    // Then it prints the name of the variable
    let printed = String::from_utf8(output.stdout).unwrap();
    let expected = "RELAY_CONFIG:1: file: the environment variable is not set; set it to the path of the configuration file, or use --config\n";
    assert_eq!(printed, expected);
}

#[test]
fn check_prints_which_file_does_not_exist() {
    // Given a path at which no file exists
    let folder = Folder::new("absent");
    let valid = folder.write("config.json", VALID);
    let absent = folder.0.join("absent");

    // When the path is checked as that of the configuration or of the options
    let as_config = folder.check(&absent, None);
    let as_options = folder.check(&valid, Some(&absent));

    // Then the error of the operating system is printed
    let expected = ["absent:1: file: cannot be read: No such file or directory (os error 2)"];
    assert_eq!(as_config, expected);
    assert_eq!(as_options, expected);
}

#[test]
fn a_failed_start_prints_the_first_error_in_the_platforms_json() {
    // Given invalid configurations, one of which has two errors
    let folder = Folder::new("start");
    let two_errors = replaced("1200.0", "0").replace("127.0.0.1:6432", "here");
    let cases = [
        ("{".into(), "invalid JSON: EOF while parsing an object at line 1 column 1"),
        (replaced("127.0.0.1:6432", "a\\nb"), r#"listen: expected an IP address and a port, found "a\nb""#),
        (two_errors, "settings: classes[0].deadline_ms: expected a positive number, found 0"),
    ];
    for (text, expected) in cases {
        let config = folder.write("config.json", &text);

        // When the program starts with one of them
        let message = folder.start_error(&config, None);

        // Then it prints the first error
        assert_eq!(message, format!("birchreach-proxy: config.json: {expected}\n"));
    }
}

#[test]
fn a_failed_start_prints_which_configuration_file_does_not_exist() {
    // Given a path at which no file exists
    let folder = Folder::new("start_absent");

    // When the program starts with the path
    let message = folder.start_error(&folder.0.join("absent"), None);

    // Then it prints the error of the operating system
    assert_eq!(message, "birchreach-proxy: absent: cannot be read: No such file or directory (os error 2)\n");
}

#[test]
fn a_failed_start_prints_that_no_configuration_file_is_configured() {
    // Given no environment variable that names the file, when the program starts
    let output = program().output().unwrap();

    // Then it prints the name of the variable
    let expected =
        "birchreach-proxy: RELAY_CONFIG is not set; set it to the path of the configuration file\n";
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
}
