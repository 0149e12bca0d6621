//! Errors in options and in the key files that they name.

use crate::support::{Folder, VALID};
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

const SECRET: &str = "00112233445566778899aabbccddeeff";

#[test]
fn check_prints_conflicts_of_the_options_with_the_configuration() {
    // Given options that conflict with the configuration or have no listener
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

        // When the options are checked with the configuration
        let lines = folder.check(&config, Some(&options));

        // Then the error is printed
        assert_eq!(lines, [format!("options.xml:2: {expected}")]);
    }
}

/// A folder with a valid configuration and with options that name a key file.
struct KeyFileFolder {
    folder: Folder,
    config: PathBuf,
    options: PathBuf,
    key_file: PathBuf,
}

impl KeyFileFolder {
    /// Creates a folder without the key file.
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
fn check_prints_that_a_key_file_does_not_exist() {
    // Given options that name a key file that does not exist
    let folder = KeyFileFolder::new("absent_keys");

    // When the options are checked
    let lines = folder.check();

    // Then the error of the operating system is printed
    assert_eq!(lines, ["keys:1: key: the file cannot be read: No such file or directory (os error 2)"]);
}

#[test]
fn check_prints_each_error_in_a_key_file_with_its_line() {
    // Given key files with one error each
    let folder = KeyFileFolder::new("keys");
    let cases = [
        ("1".into(), "1: key: the secret is missing: expected a key number, a space and a secret"),
        (format!("x {SECRET}"), "1: key: expected a key number from 0 to 4294967295"),
        (
            format!("# a note\n\n1 {SECRET}\n2 zz"),
            "4: key: expected a secret that consists of pairs of hexadecimal digits",
        ),
        ("1 abc".into(), "1: key: expected a secret that consists of pairs of hexadecimal digits"),
        (String::new(), "1: key: expected one to four keys"),
        ("1 00".into(), "1: key: expected secrets of at least 16 bytes"),
        (format!("1 {SECRET}\n1 {SECRET}"), "1: key: two keys have the same number"),
    ];
    for (keys, expected) in cases {
        folder.write_keys(&keys);

        // When the options are checked
        let lines = folder.check();

        // Then the error is printed
        assert_eq!(lines, [format!("keys:{expected}")]);
    }
}

#[test]
fn check_prints_that_other_users_have_permissions_for_a_key_file() {
    // Given a valid key file that users other than the owner can read
    let folder = KeyFileFolder::new("readable_keys");
    folder.write_keys(&format!("1 {SECRET}"));
    std::fs::set_permissions(&folder.key_file, Permissions::from_mode(0o644)).unwrap();

    // When the options are checked
    let lines = folder.check();

    // Then the expected modes and the mode of the file are printed
    let expected =
        "users other than the owner have permissions for the file: expected mode 0600 or 0400, found 0644";
    assert_eq!(lines, [format!("keys:1: key: {expected}")]);
}

#[test]
fn a_failed_start_prints_the_first_error_in_the_options_and_the_number_of_further_errors() {
    // Given options with a conflict, options with two errors, and options with a key file that does not exist
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
            "keys:1: key: the file cannot be read: No such file or directory (os error 2)",
        ),
    ];
    for (elements, expected) in cases {
        let options = folder.write_options(&elements);

        // When the program starts with the options
        let message = folder.start_error(&config, Some(&options));

        // Then it prints the first error, and the number of further errors if there are any
        assert_eq!(message, format!("birchreach-proxy: {expected}\n"));
    }
}
