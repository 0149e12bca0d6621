//! Checks the complete text of each kind of error.

use birchreach_options::{Options, OptionsError, parse};

const FLEET: &str = "<fleet listen='127.0.0.1:7100' key-file='k'/>";

/// Reads options with these elements, the first of which is on line 2.
fn read(elements: &str) -> Result<Options, Vec<OptionsError>> {
    parse(&format!("<birchreach-options>\n{elements}\n</birchreach-options>"))
}

fn texts(errors: &[OptionsError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn a_file_that_cannot_be_parsed_gives_one_error_for_the_file() {
    let too_long = " ".repeat(256 * 1024 + 1);
    let cases = [
        (too_long.as_str(), "line 1: file: the file has 262145 bytes, expected at most 262144"),
        (
            "\n<!DOCTYPE x><birchreach-options/>",
            "line 1: file: a document type declaration is not supported; remove <!DOCTYPE ...> and write the text of its entities where they are used",
        ),
        ("<a", "line 1: file: invalid XML: Unexpected end of input"),
    ];
    for (text, expected) in cases {
        // When a file cannot be parsed
        let errors = parse(text).unwrap_err();
        // Then there is one error, with this text
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

/// Checks that one of the errors in each group of elements has a text.
fn assert_error_texts<const CASES: usize>(cases: [(String, &str); CASES]) {
    for (elements, expected) in cases {
        // When an element is invalid or contradicts another element
        let errors = read(&elements).unwrap_err();
        // Then one of the errors has this text
        assert!(texts(&errors).contains(&format!("line 2: {expected}")), "{elements}: {errors:?}");
    }
}

#[test]
fn an_error_of_listeners_or_health_options_that_the_schema_cannot_express_has_a_fixed_text() {
    assert_error_texts([
        (
            "<health/>".into(),
            "health: no listener for health checks; add at least one of the elements http, agent and grpc",
        ),
        (
            "<health><http listen='127.0.0.1:1'/><agent listen='127.0.0.1:1'/></health>".into(),
            "agent: listen: 127.0.0.1:1 is already used by the element http",
        ),
        (
            "<health><http listen='127.0.0.1:1'/><claims hang-probed-ms='1701'/></health>".into(),
            "claims: hang-probed-ms: must not exceed hang-ms",
        ),
        (
            "<health><http listen='999.0.0.1:1'/></health>".into(),
            "http: listen: expected an IP address and a port, found '999.0.0.1:1'",
        ),
        (
            "<knowledge key-file='k'/>".into(),
            "knowledge: no address for state transfer; set listen to send state to other proxies, or donors to request it from them",
        ),
        (
            "<knowledge donors='a' key-file='k'/>".into(),
            "knowledge: donors: expected an IP address and a port, found 'a'",
        ),
    ]);
}

#[test]
fn an_error_of_the_fleet_or_background_work_that_the_schema_cannot_express_has_a_fixed_text() {
    let split = |groups: &str| format!("<split {groups} at='5'/>");
    assert_error_texts([
        (
            "<fleet listen='0.0.0.0:1' key-file='k'/>".into(),
            "fleet: listen: other proxies cannot send to 0.0.0.0:1; set advertise to an IP address and a port that they can reach",
        ),
        (
            "<hot bears='1'/>".into(),
            "hot: requires the element fleet, because processes exchange their read rates through the fleet",
        ),
        (
            split("from='1' below='2' above='3'"),
            "split: requires the element fleet, because processes exchange their comparisons through the fleet",
        ),
        (
            format!("{FLEET}{}", split("from='1' below='2' above='2'")),
            "split: from, below and above: expected three different groups, found 1, 2 and 2",
        ),
        (
            format!("{FLEET}<health><http listen='0.0.0.0:7100'/></health>"),
            "fleet: listen: 127.0.0.1:7100 is already used by the element http",
        ),
        (
            format!("{FLEET}<knowledge listen='127.0.0.1:7100' key-file='k'/>"),
            "fleet: listen: 127.0.0.1:7100 is already used by the element knowledge",
        ),
    ]);
}

/// Returns options with a fleet and a listener for health checks.
fn fleet_and_health() -> Options {
    read(&format!("{FLEET}<health><http listen='127.0.0.1:1' callers='9'/></health>")).unwrap()
}

#[test]
fn an_address_conflict_with_the_platforms_configuration_names_the_key() {
    // When the platform's configuration has the addresses of both elements
    let conflicts = fleet_and_health().address_conflicts(&[
        ("operator", "127.0.0.1:7100".parse().unwrap()),
        ("listen", "0.0.0.0:1".parse().unwrap()),
    ]);
    // Then each conflict has its text
    let expected = [
        "line 2: http: listen: 127.0.0.1:1 is already used as listen in the platform's configuration",
        "line 2: fleet: listen: 127.0.0.1:7100 is already used as operator in the platform's configuration",
    ];
    assert_eq!(texts(&conflicts), expected);
}

#[test]
fn too_many_descriptors_for_health_checks_give_an_error_with_both_numbers() {
    // When the process has fewer than twice the file descriptors that health checks need
    let excess = fleet_and_health().excess_descriptors(19).map(|error| error.to_string());
    // Then the error has this text
    let expected = "line 2: http: callers: health checks need 10 file descriptors, expected at most half of the 19 of the process";
    assert_eq!(excess.as_deref(), Some(expected));
}
