//! Faults of the options and of the key files that they name.

use crate::support::{Folder, VALID};
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

/// A key's secret.
const SECRET: &str = "00112233445566778899aabbccddeeff";

#[test]
fn check_prints_conflicts_of_the_options_with_the_configuration() {
    // Given options that contradict the configuration, or that nobody could use
    let folder = Folder::new("conflicts");
    let config = folder.write("config.json", VALID);
    let cases = [
        (
            "<health/>",
            "health: no listener for health checks; add at least one of the elements http, agent and grpc",
        ),
        (
            "<health><http listen='127.0.0.1:6433'/></health>",
            "http: listen: 127.0.0.1:6433 is already used as operator in the platform's configuration",
        ),
        (
            "<health><http listen='127.0.0.1:1' callers='1000'/></health>",
            "http: callers: health checks need 1001 file descriptors, expected at most half of the 1024 of the process",
        ),
    ];
    for (elements, expected) in cases {
        let options = folder.write_options(elements);

        // When they are checked with it
        let lines = folder.check(&config, Some(&options));

        // Then the conflict is printed
        assert_eq!(lines, [format!("options.xml:2: {expected}")]);
    }
}

/// A folder with a valid configuration and options that name a key file.
struct KeyFileFolder {
    folder: Folder,
    config: PathBuf,
    options: PathBuf,
    key_file: PathBuf,
}

impl KeyFileFolder {
    /// A folder without the key file.
    fn new(name: &str) -> KeyFileFolder {
        let folder = Folder::new(name);
        let config = folder.write("config.json", VALID);
        let key_file = folder.0.join("keys");
        let _ = std::fs::remove_file(&key_file);
        let elements = format!("<knowledge listen='127.0.0.1:1' key-file='{}'/>", key_file.display());
        let options = folder.write_options(&elements);
        KeyFileFolder { folder, config, options, key_file }
    }

    fn write_keys(&self, keys: &str) {
        self.folder.write("keys", keys);
    }

    fn check(&self) -> Vec<String> {
        self.folder.check(&self.config, Some(&self.options))
    }
}

#[test]
fn check_prints_that_a_key_file_is_absent() {
    // Given options that name a key file which is not there
    let folder = KeyFileFolder::new("absent_keys");

    // When they are checked
    let lines = folder.check();

    // Then the system's error is printed
    assert_eq!(lines, ["keys:1: key: No such file or directory (os error 2)"]);
}

#[test]
fn check_prints_each_fault_of_a_key_file_with_its_line() {
    // Given key files with one fault each
    let folder = KeyFileFolder::new("keys");
    let cases = [
        ("1".into(), "1: key: no secret"),
        (format!("x {SECRET}"), "1: key: a key's number is no number"),
        (format!("# a note\n\n1 {SECRET}\n2 zz"), "4: key: the secret is not in pairs of hexadecimal digits"),
        ("1 abc".into(), "1: key: the secret is not in pairs of hexadecimal digits"),
        (String::new(), "1: key: expected one to four keys"),
        ("1 00".into(), "1: key: a secret of fewer than 16 bytes"),
        (format!("1 {SECRET}\n1 {SECRET}"), "1: key: a key's number twice"),
    ];
    for (keys, expected) in cases {
        folder.write_keys(&keys);

        // When the options that name them are checked
        let lines = folder.check();

        // Then the fault is printed
        assert_eq!(lines, [format!("keys:{expected}")]);
    }
}

#[test]
fn check_prints_that_others_may_read_a_key_file() {
    // Given a valid key file that others than its owner may read
    let folder = KeyFileFolder::new("readable_keys");
    folder.write_keys(&format!("1 {SECRET}"));
    std::fs::set_permissions(&folder.key_file, Permissions::from_mode(0o644)).unwrap();

    // When the options that name it are checked
    let lines = folder.check();

    // Then the expected modes are printed
    assert_eq!(lines, ["keys:1: key: others may read it: expected mode 0600 or 0400"]);
}

#[test]
fn the_start_fails_with_the_first_fault_of_the_options_and_the_number_of_the_others() {
    // Given options with a conflict, with two faults, and with a key file that is not there
    let folder = Folder::new("start_options");
    let config = folder.write("config.json", VALID);
    let key_file = folder.0.join("keys");
    let cases = [
        (
            "<health><http listen='127.0.0.1:6433'/></health>".into(),
            "options.xml:2: http: listen: 127.0.0.1:6433 is already used as operator in the platform's configuration",
        ),
        (
            "<health><http listen='127.0.0.1:1' callers='2'/>\n<grpc listen='127.0.0.1:2' callers='3'/></health>".into(),
            "options.xml:2: http: callers: Value '2' is less than minInclusive 4 (and 1 more)",
        ),
        (
            format!("<knowledge listen='127.0.0.1:1' key-file='{}'/>", key_file.display()),
            "keys:1: key: No such file or directory (os error 2)",
        ),
    ];
    for (elements, expected) in cases {
        let options = folder.write_options(&elements);

        // When the program starts with them
        let message = folder.start_error(&config, Some(&options));

        // Then it prints the first fault, and how many others there are
        assert_eq!(message, format!("birchreach-proxy: {expected}\n"));
    }
}
