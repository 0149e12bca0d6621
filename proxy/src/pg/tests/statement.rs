//! Parsing of the two accepted forms of statement, and rejection of other texts.

use crate::pg::statement::Statement;
use birchreach::GroupId;

/// A read whose comment has every field.
const READ: &str = "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=17,r=1,k=a-b_c.d */";

fn read(key: &str, comment: &str) -> String {
    format!("SELECT blob FROM rows WHERE handle = '{key}' /* {comment} */")
}

/// A write of this value whose comment has the required fields.
fn write(hex_digits: &str) -> String {
    format!(
        "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x{hex_digits}') RETURNING blob /* id=1,c=entry,d=9,cluster=0 */"
    )
}

fn parse(text: &str) -> Option<Statement> {
    Statement::parse(text.as_bytes().to_vec())
}

#[test]
fn a_read_is_parsed_with_its_comment_fields() {
    let statement = parse(READ).unwrap();

    assert!(!statement.is_write);
    assert_eq!((statement.id(), statement.key()), (&b"9b1f"[..], &b"7f3a"[..]));
    assert_eq!((statement.class.as_str(), statement.timeout_ms), ("basket", 480));
    assert_eq!((statement.group, statement.read_after_ms), (GroupId(2), Some(17)));
    let (before, after) = statement.text_around_timeout();
    assert!(before.ends_with(b",d=") && after.starts_with(b",cluster=2"));
}

#[test]
fn a_write_is_parsed_with_its_comment_fields() {
    let statement = parse(&write("9f03")).unwrap();

    assert!(statement.is_write);
    assert_eq!((statement.id(), statement.key()), (&b"1"[..], &b"7f3a"[..]));
    assert_eq!((statement.class.as_str(), statement.timeout_ms), ("entry", 9));
    assert_eq!((statement.group, statement.read_after_ms), (GroupId(0), None));
}

#[test]
fn comment_fields_may_be_in_any_order() {
    let statement = parse(&read("7f3a", "k=x,cluster=2,d=480,c=basket,id=9b1f")).unwrap();

    assert_eq!((statement.id(), statement.timeout_ms, statement.group), (&b"9b1f"[..], 480, GroupId(2)));
}

#[test]
fn a_write_value_may_be_empty_and_has_an_even_number_of_digits() {
    assert!(parse(&write("")).is_some());
    for hex_digits in ["9", "9f0", "9g"] {
        assert_eq!(parse(&write(hex_digits)), None, "{hex_digits}");
    }
}

#[test]
fn comments_with_missing_or_invalid_fields_are_rejected() {
    let comments = [
        ("no id", "c=look,d=9,cluster=0"),
        ("no class", "id=1,d=9,cluster=0"),
        ("no timeout", "id=1,c=look,cluster=0"),
        ("no group", "id=1,c=look,d=9"),
        ("a repeated field", "id=1,id=1,c=look,d=9,cluster=0"),
        ("an unknown field", "id=1,c=look,d=9,cluster=0,x=1"),
        ("an empty value", "id=,c=look,d=9,cluster=0"),
        ("a timeout that is not a number", "id=1,c=look,d=9s,cluster=0"),
        ("a timeout that is too large", "id=1,c=look,d=4294967296,cluster=0"),
        ("a group that is not a number", "id=1,c=look,d=9,cluster=a"),
        ("a group that is too large", "id=1,c=look,d=9,cluster=4294967296"),
        ("a position that is not a number", "id=1,c=look,d=9,cluster=0,after=a"),
        ("a position with sixteen digits", "id=1,c=look,d=9,cluster=0,after=1234567890123456"),
        ("a retry number that is not a number", "id=1,c=look,d=9,cluster=0,r=a"),
    ];
    for (reason, comment) in comments {
        assert_eq!(parse(&read("7f3a", comment)), None, "{reason}");
    }
    assert!(parse(&read("7f3a", "id=1,c=look,d=4294967295,cluster=4294967295")).is_some());
    assert!(parse(&read("7f3a", "id=1,c=look,d=9,cluster=0,after=123456789012345")).is_some());
}

#[test]
fn keys_have_a_maximum_length_and_no_quote_backslash_or_space() {
    let comment = "id=1,c=look,d=9,cluster=0";
    for key in ["", "a b", "a'b", "a\\b", &"a".repeat(1025)] {
        assert_eq!(parse(&read(key, comment)), None, "{key}");
    }
    assert!(parse(&read(&"a".repeat(1024), comment)).is_some());
}

#[test]
fn statements_with_trailing_text_or_an_unterminated_comment_are_rejected() {
    assert_eq!(parse(&format!("{READ} ")), None);
    for length in 0..READ.len() {
        assert_eq!(parse(&READ[..length]), None, "{length}");
    }
}
