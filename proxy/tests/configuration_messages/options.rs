//! Faults of the options and of the key files that they name.

use crate::support::{Folder, VALID};
use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;

#[test]
fn check_prints_conflicts_of_the_options_with_the_configuration() {
    let folder = Folder::new("conflicts");
    let config = folder.write("config.json", VALID);
    let cases = [
        ("<health/>", "health: neither http, agent nor grpc: nobody could ask"),
        (
            "<health><http listen='127.0.0.1:6433'/></health>",
            "http: listen: 127.0.0.1:6433 is used as operator already",
        ),
        (
            "<health><http listen='127.0.0.1:1' callers='1000'/></health>",
            "http: callers: 1001 descriptors for checks are more than half of 1024",
        ),
    ];
    for (elements, expected) in cases {
        let options = folder.write_options(elements);

        let lines = folder.check(&config, Some(&options));

        assert_eq!(lines, [format!("options.xml:2: {expected}")]);
    }
}

#[test]
fn check_prints_each_fault_of_a_key_file_with_its_line() {
    let folder = Folder::new("keys");
    let config = folder.write("config.json", VALID);
    let key_file = folder.0.join("keys");
    let options =
        folder.write_options(&format!("<knowledge listen='127.0.0.1:1' key-file='{}'/>", key_file.display()));
    let secret = "00112233445566778899aabbccddeeff";
    let cases = [
        ("1".into(), "1: key: no secret"),
        (format!("x {secret}"), "1: key: a key's number is no number"),
        (format!("# a note\n\n1 {secret}\n2 zz"), "4: key: the secret is not in pairs of hexadecimal digits"),
        ("1 abc".into(), "1: key: the secret is not in pairs of hexadecimal digits"),
        (String::new(), "1: key: expected one to four keys"),
        ("1 00".into(), "1: key: a secret of fewer than 16 bytes"),
        (format!("1 {secret}\n1 {secret}"), "1: key: a key's number twice"),
    ];
    let _ = std::fs::remove_file(&key_file);
    let absent = "keys:1: key: No such file or directory (os error 2)";
    assert_eq!(folder.check(&config, Some(&options)), [absent]);
    for (keys, expected) in cases {
        folder.write("keys", &keys);

        let lines = folder.check(&config, Some(&options));

        assert_eq!(lines, [format!("keys:{expected}")]);
    }
    folder.write("keys", &format!("1 {secret}"));
    std::fs::set_permissions(&key_file, Permissions::from_mode(0o644)).unwrap();
    let readable = "keys:1: key: others may read it: expected mode 0600 or 0400";
    assert_eq!(folder.check(&config, Some(&options)), [readable]);
}

#[test]
fn the_start_fails_with_the_first_fault_of_the_options_and_the_number_of_the_others() {
    let folder = Folder::new("start_options");
    let config = folder.write("config.json", VALID);
    let key_file = folder.0.join("keys");
    let cases = [
        (
            "<health><http listen='127.0.0.1:6433'/></health>".into(),
            "options.xml:2: http: listen: 127.0.0.1:6433 is used as operator already",
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

        let message = folder.start_error(&config, Some(&options));

        assert_eq!(message, format!("birchreach-proxy: {expected}\n"));
    }
}
