//! The texts of errors, as operators read them: one of each kind, word for word.

use birchreach_options::{Options, OptionsError, parse};

const FLEET: &str = "<fleet listen='127.0.0.1:7100' key-file='k'/>";

/// Options with these elements, the first of which is on line 2.
fn read(elements: &str) -> Result<Options, Vec<OptionsError>> {
    parse(&format!("<birchreach-options>\n{elements}\n</birchreach-options>"))
}

/// The errors as they are printed.
fn texts(errors: &[OptionsError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn a_file_that_is_not_parsed_gives_one_error_of_the_file() {
    let too_long = " ".repeat(256 * 1024 + 1);
    let cases = [
        (too_long.as_str(), "line 1: file: longer than 262144 bytes"),
        ("\n<!DOCTYPE x><birchreach-options/>", "line 1: file: a document type is not taken"),
        ("<a", "line 1: file: not XML: Unexpected end of input"),
    ];
    for (text, expected) in cases {
        // When a file cannot be parsed
        let errors = parse(text).unwrap_err();
        // Then the one error has this text
        assert_eq!(texts(&errors), [expected]);
    }
}

#[test]
fn a_violation_of_the_schema_names_the_attribute_whose_value_it_quotes() {
    let cases = [
        (
            "<health><http listen='127.0.0.1:1' callers='x'/></health>",
            "http: callers: 'x' is not a valid unsignedInt",
        ),
        ("<hot/>", "hot: Required attribute 'bears' is missing"),
    ];
    for (elements, expected) in cases {
        // When an element violates the schema
        let errors = read(elements).unwrap_err();
        // Then the first error has this text
        assert_eq!(texts(&errors)[0], format!("line 2: {expected}"));
    }
}

#[test]
fn an_error_that_the_schema_cannot_express_has_its_own_text() {
    let split = |groups: &str| format!("<split {groups} at='5'/>");
    let cases = [
        ("<health/>".into(), "health: neither http, agent nor grpc: nobody could ask"),
        (
            "<health><http listen='127.0.0.1:1'/><agent listen='127.0.0.1:1'/></health>".into(),
            "agent: listen: 127.0.0.1:1 is used by http too",
        ),
        (
            "<health><http listen='127.0.0.1:1'/><claims hang-probed-ms='1701'/></health>".into(),
            "claims: hang-probed-ms: must not exceed hang-ms",
        ),
        (
            "<health><http listen='999.0.0.1:1'/></health>".into(),
            "http: listen: '999.0.0.1:1' cannot be read",
        ),
        (
            "<knowledge key-file='k'/>".into(),
            "knowledge: neither listen nor donors: nobody is asked, nobody can ask",
        ),
        ("<knowledge donors='a' key-file='k'/>".into(), "knowledge: donors: 'a' is no address and port"),
        (
            "<fleet listen='0.0.0.0:1' key-file='k'/>".into(),
            "fleet: listen: others cannot reach 0.0.0.0:1: name the address in advertise",
        ),
        ("<hot bears='1'/>".into(), "hot: there is no element fleet: nobody tells what others are asked for"),
        (
            split("from='1' below='2' above='3'"),
            "split: there is no element fleet: nobody tells what others have compared",
        ),
        (
            format!("{FLEET}{}", split("from='1' below='2' above='2'")),
            "split: from, below and above: expected three groups",
        ),
        (
            format!("{FLEET}<health><http listen='0.0.0.0:7100'/></health>"),
            "fleet: listen: 127.0.0.1:7100 is used by http too",
        ),
        (
            format!("{FLEET}<knowledge listen='127.0.0.1:7100' key-file='k'/>"),
            "fleet: listen: 127.0.0.1:7100 is used by knowledge too",
        ),
    ];
    for (elements, expected) in cases {
        // When elements contradict themselves or each other
        let errors = read(&elements).unwrap_err();
        // Then one of the errors has this text
        assert!(texts(&errors).contains(&format!("line 2: {expected}")), "{elements}: {errors:?}");
    }
}

/// Options with a fleet, and a listener for health checks.
fn fleet_and_health() -> Options {
    read(&format!("{FLEET}<health><http listen='127.0.0.1:1' callers='9'/></health>")).unwrap()
}

#[test]
fn an_address_conflict_with_the_process_has_its_own_text() {
    // When the process uses the addresses of both elements
    let conflicts = fleet_and_health().address_conflicts(&[
        ("operator", "127.0.0.1:7100".parse().unwrap()),
        ("listen", "0.0.0.0:1".parse().unwrap()),
    ]);
    // Then each conflict has its text
    let expected = [
        "line 2: http: listen: 127.0.0.1:1 is used as listen already",
        "line 2: fleet: listen: 127.0.0.1:7100 is used as operator already",
    ];
    assert_eq!(texts(&conflicts), expected);
}

#[test]
fn too_many_descriptors_for_checks_have_their_own_text() {
    // When the process has fewer than twice the descriptors that checks may need
    let excess = fleet_and_health().excess_descriptors(19).map(|error| error.to_string());
    // Then the error has this text
    let expected = "line 2: http: callers: 10 descriptors for checks are more than half of 19";
    assert_eq!(excess.as_deref(), Some(expected));
}
