//! Checks the complete text of each kind of error and warning.

use birchreach_settings::{from_value_with_errors, parse, warnings};
use serde_json::{Value, json};

/// Returns the settings of the example with another value at a JSON pointer.
fn settings_with(pointer: &str, value: Value) -> Value {
    let configuration: Value = serde_json::from_str(include_str!("../../example/config.json")).unwrap();
    let mut settings = configuration["settings"].clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
        parent => parent[key] = value,
    }
    settings
}

/// Returns the texts of the errors in settings.
fn error_texts(settings: &Value) -> Vec<String> {
    from_value_with_errors(settings).1.iter().map(ToString::to_string).collect()
}

/// Returns the texts of the warnings about settings that have no errors.
fn warning_texts(settings: &Value) -> Vec<String> {
    let (deployment, errors) = from_value_with_errors(settings);
    assert!(errors.is_empty(), "{errors:?}");
    warnings(settings, &deployment).iter().map(ToString::to_string).collect()
}

#[test]
fn invalid_json_gives_an_error_with_the_message_of_the_parser() {
    // When a text that is not JSON is read
    let error = parse("{").unwrap_err();
    // Then the error has the message of the parser
    assert_eq!(
        error.to_string(),
        "settings: info: invalid JSON: EOF while parsing an object at line 1 column 1"
    );
}

#[test]
fn settings_that_are_not_an_object_give_an_error_before_all_others() {
    // When settings are a list
    let errors = error_texts(&json!([]));
    // Then the first error says that an object is expected
    assert_eq!(errors[0], "settings: info: expected an object, found a list");
}

#[test]
fn an_unusable_value_gives_an_error_with_its_key_the_expected_values_and_the_value() {
    let cases = [
        ("/balancers", Value::Null, "balancers: missing, expected a non-negative number"),
        ("/balancers", json!(-1), "balancers: expected a non-negative number, found -1"),
        ("/balancers", json!("two"), "balancers: expected a non-negative number, found \"two\""),
        (
            "/limits/conn_idle_ms",
            json!("x"),
            "limits.conn_idle_ms: expected a non-negative number, found \"x\"",
        ),
        (
            "/classes/1/deadline_ms",
            json!([]),
            "classes[1].deadline_ms: expected a non-negative number, found a list",
        ),
        (
            "/classes/0/late_worth",
            json!(-1),
            "classes[0].late_worth: expected a non-negative number, found -1",
        ),
        ("/extra/max_age_ms/0", json!("x"), "extra.max_age_ms: expected a non-negative number, found \"x\""),
        ("/parties", json!([{}]), "parties[0].quota_per_s: missing, expected a non-negative number"),
        ("/limits/may_probe", json!(1), "limits.may_probe: expected true or false, found 1"),
        ("/dcs", json!("a"), "dcs: expected a list, found \"a\""),
        ("/extra/tokens", json!(1), "extra.tokens: expected a string, found 1"),
        ("/extra/tokens", json!({"a": 1}), "extra.tokens: expected a string, found an object"),
        ("/classes/2/name", json!(1), "classes[2].name: expected a string, found 1"),
        ("/extra/tokens", json!("x"), r#"extra.tokens: expected "carried" or "remembered", found "x""#),
        ("/extra/guards", json!("x"), r#"extra.guards: expected "silent", "refuse" or "wait", found "x""#),
        (
            "/extra/class_read/0",
            json!("x"),
            r#"extra.class_read: expected "write", "fresh", "session", "bounded" or "any", found "x""#,
        ),
        (
            "/load_info/via",
            json!("x"),
            r#"load_info.via: expected "piggyback", "pull" or "silent", found "x""#,
        ),
        ("/registry_mode", json!("x"), r#"registry_mode: expected "automatic" or "subscribe", found "x""#),
        (
            "/classes/0/idempotency",
            json!("x"),
            r#"classes[0].idempotency: expected "free", "guarded" or "single_shot", found "x""#,
        ),
    ];
    for (pointer, value, text) in cases {
        // When one value is unusable
        let errors = error_texts(&settings_with(pointer, value));
        // Then there is one error, with this text
        assert_eq!(errors, [format!("settings: {text}")], "{pointer}");
    }
}

#[test]
fn a_message_shows_the_first_60_bytes_of_a_long_value() {
    let cases = [
        // The opening quote and 59 characters of one byte each are 60 bytes.
        ("x".repeat(10_000), format!("\"{}...", "x".repeat(59))),
        // The thirtieth character of two bytes would end at byte 61, so that the text is cut before it.
        ("\u{e4}".repeat(10_000), format!("\"{}...", "\u{e4}".repeat(29))),
        // With its quotes, a string of 58 characters has 60 bytes, and one of 59 characters has 61 bytes.
        ("x".repeat(58), format!("\"{}\"", "x".repeat(58))),
        ("x".repeat(59), format!("\"{}...", "x".repeat(59))),
    ];
    for (value, shown) in cases {
        // When a number is a string of this length
        let errors = error_texts(&settings_with("/balancers", json!(value)));
        // Then the message shows at most 60 bytes of it
        let expected = format!("settings: balancers: expected a non-negative number, found {shown}");
        assert_eq!(errors, [expected]);
    }
}

#[test]
fn each_error_of_a_class_with_an_idempotency_key_is_reported_in_reading_order() {
    // Given a class with an idempotency key, in which one value is unusable and two are missing
    let class = json!({"idempotency": "guarded", "dedup_scope": "x", "credit": 1, "goal_time_ms": 1});
    // When the class is read
    let errors = error_texts(&settings_with("/classes/1", class));
    // Then each of the three values has an error
    let expected = [
        r#"settings: classes[1].dedup_scope: expected "all", "zone" or "cell", found "x""#,
        "settings: classes[1].repeat_window_ms: missing, expected a non-negative number",
        "settings: classes[1].deadline_ms: missing, expected a non-negative number",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn a_contradiction_gives_a_warning_with_its_key_and_its_consequence() {
    let only_responses = "log positions can be reported only in responses";
    let pull = format!("load_info.via: pull, but limits.may_probe is not true; {only_responses}");
    let without_position = format!("load_info.names: x0 is missing; {only_responses}");
    let cases = [
        ("/my_rack", json!(9), "my_rack: unknown key, ignored"),
        ("/classes/1/colour", json!("red"), "classes[1].colour: unknown key, ignored"),
        ("/a key: with a blank", json!(1), "a key: with a blank: unknown key, ignored"),
        (
            "/my_zone",
            json!(9),
            "my_zone: the zone is not listed in dcs; every server is treated as being in another zone",
        ),
        ("/obligations/cold_share", json!(15), "obligations.cold_share: greater than 1; 1 is used instead"),
        (
            "/limits/connect_timeout_ms",
            Value::Null,
            "limits.connect_timeout_ms: missing or 0; no failed connection attempt is treated as refused by the server",
        ),
        (
            "/extra/class_read",
            json!(["bounded", "session", "any"]),
            "extra.class_read: the number of entries differs from the number of classes; requests of a class without an entry go to the primary only",
        ),
        (
            "/classes/0/goal_time_ms",
            json!(9e9),
            "classes[0].goal_time_ms: greater than deadline_ms; clients give up before the latency objective",
        ),
        (
            "/extra/max_age_ms",
            json!([0.0, 0.0, 0.0, 0.0]),
            "extra.max_age_ms: 0 for the bounded class 0; its requests go to the primary only",
        ),
        (
            "/classes/3/idempotency",
            json!("free"),
            "classes[3].idempotency: free for a write class; a write may be executed more than once",
        ),
        ("/limits/may_probe", json!(false), &pull),
        ("/load_info/names", json!(["x1"]), &without_position),
    ];
    for (pointer, value, text) in cases {
        // When one value is unknown or contradicts another
        let warnings = warning_texts(&settings_with(pointer, value));
        // Then there is one warning, with this text
        assert_eq!(warnings, [format!("settings: {text}")], "{pointer}");
    }
}

#[test]
fn a_maximum_retry_after_of_zero_gives_a_warning() {
    // Given settings that allow a Retry-After, with a maximum of 0 ms
    let mut settings = settings_with("/limits/retry_after", json!(true));
    settings["limits"]["max_retry_after_ms"] = json!(0);
    // When the settings are read
    let warnings = warning_texts(&settings);
    // Then the warning states the consequence
    let expected = "settings: limits.max_retry_after_ms: 0 although limits.retry_after is true; rejected clients are told to retry immediately";
    assert_eq!(warnings, [expected]);
}

#[test]
fn warnings_about_unknown_keys_precede_those_about_contradictions() {
    // Given an unknown key and four contradictions
    let mut settings = settings_with("/my_zone", json!(9));
    settings["zebra"] = json!(1);
    settings["classes"][0]["goal_time_ms"] = json!(9e9);
    settings["limits"]["may_probe"] = json!(false);
    settings["limits"]["connect_timeout_ms"] = json!(0);
    // When the settings are read
    let warnings = warning_texts(&settings);
    // Then the unknown key comes first, and the contradictions follow in a fixed order
    let keys: Vec<&str> = warnings.iter().filter_map(|text| text.split(": ").nth(1)).collect();
    let expected =
        ["zebra", "classes[0].goal_time_ms", "load_info.via", "my_zone", "limits.connect_timeout_ms"];
    assert_eq!(keys, expected);
}
