//! The texts of errors and warnings, as operators read them: one of each kind, word for word.

use birchreach_settings::{from_value_with_errors, parse, warnings};
use serde_json::{Value, json};

/// The example's settings with another value at a JSON pointer.
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

/// The errors of settings, as they are printed.
fn error_texts(settings: &Value) -> Vec<String> {
    from_value_with_errors(settings).1.iter().map(ToString::to_string).collect()
}

/// The warnings for settings without errors, as they are printed.
fn warning_texts(settings: &Value) -> Vec<String> {
    let (deployment, errors) = from_value_with_errors(settings);
    assert!(errors.is_empty(), "{errors:?}");
    warnings(settings, &deployment).iter().map(ToString::to_string).collect()
}

#[test]
fn a_text_that_is_not_json_gives_the_error_of_its_parser() {
    // When a text that is not JSON is read
    let error = parse("{").unwrap_err();
    // Then the error has the message of the parser
    assert_eq!(error.to_string(), "settings: info: EOF while parsing an object at line 1 column 1");
}

#[test]
fn settings_that_are_not_an_object_give_this_error_first() {
    // When settings are a list
    let errors = error_texts(&json!([]));
    // Then the first error says so
    assert_eq!(errors[0], "settings: info: expected an object");
}

#[test]
fn an_unusable_value_gives_an_error_with_its_key_and_what_was_expected() {
    let cases = [
        ("/balancers", Value::Null, "balancers: expected a number, but it is absent"),
        ("/balancers", json!(-1), "balancers: expected a number that is not negative"),
        ("/balancers", json!("two"), "balancers: expected a number that is not negative"),
        ("/limits/conn_idle_ms", json!("x"), "limits.conn_idle_ms: expected a number that is not negative"),
        (
            "/classes/1/deadline_ms",
            json!([]),
            "classes[1].deadline_ms: expected a number that is not negative",
        ),
        ("/classes/0/late_worth", json!(-1), "classes[0].late_worth: expected a number that is not negative"),
        ("/extra/max_age_ms/0", json!("x"), "extra.max_age_ms: expected a number that is not negative"),
        ("/parties", json!([{}]), "parties[0].quota_per_s: expected a number, but it is absent"),
        ("/limits/may_probe", json!(1), "limits.may_probe: expected true or false"),
        ("/dcs", json!("a"), "dcs: expected a list"),
        ("/extra/tokens", json!(1), "extra.tokens: expected a word"),
        ("/classes/2/name", json!(1), "classes[2].name: expected a word"),
        ("/extra/tokens", json!("x"), "extra.tokens: expected 'carried' or 'remembered'"),
        ("/extra/guards", json!("x"), "extra.guards: expected silent, refuse or wait"),
        (
            "/extra/class_read/0",
            json!("x"),
            "extra.class_read: expected write, fresh, session, bounded or any",
        ),
        ("/load_info/via", json!("x"), "load_info.via: expected piggyback, pull or silent"),
        ("/registry_mode", json!("x"), "registry_mode: expected automatic or subscribe"),
        (
            "/classes/0/idempotency",
            json!("x"),
            "classes[0].idempotency: expected free, guarded or single_shot",
        ),
    ];
    for (pointer, value, text) in cases {
        // When one value is unusable
        let errors = error_texts(&settings_with(pointer, value));
        // Then the one error has this text
        assert_eq!(errors, [format!("settings: {text}")], "{pointer}");
    }
}

#[test]
fn each_error_of_a_keyed_class_has_its_own_text_in_the_order_of_reading() {
    // Given a class with an idempotency key, in which one value is unusable and two are absent
    let class = json!({"idempotency": "guarded", "dedup_scope": "x", "credit": 1, "goal_time_ms": 1});
    // When it is read
    let errors = error_texts(&settings_with("/classes/1", class));
    // Then each of these has its error
    let expected = [
        "settings: classes[1].dedup_scope: expected all, zone or cell",
        "settings: classes[1].repeat_window_ms: expected a number, but it is absent",
        "settings: classes[1].deadline_ms: expected a number, but it is absent",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn a_contradiction_gives_a_warning_with_its_key_and_what_is_done() {
    let positions = "only answers may tell of positions";
    let pull = format!("load_info.via: pull, but limits.may_probe is not true: {positions}");
    let without_position = format!("load_info.names: without x0: {positions}");
    let cases = [
        ("/my_rack", json!(9), "my_rack: unknown, and skipped"),
        ("/classes/1/colour", json!("red"), "classes[1].colour: unknown, and skipped"),
        ("/a key: with a blank", json!(1), "a key: with a blank: unknown, and skipped"),
        ("/my_zone", json!(9), "my_zone: names no place in dcs; every server counts as elsewhere"),
        ("/obligations/cold_share", json!(15), "obligations.cold_share: more than 1; counts as 1"),
        (
            "/limits/connect_timeout_ms",
            Value::Null,
            "limits.connect_timeout_ms: absent or 0; no failed connection counts as turned down at once",
        ),
        (
            "/extra/class_read",
            json!(["bounded", "session", "any"]),
            "extra.class_read: not one for each class; a class without goes to the primary alone",
        ),
        (
            "/classes/0/goal_time_ms",
            json!(9e9),
            "classes[0].goal_time_ms: later than deadline_ms, when clients have left",
        ),
        (
            "/extra/max_age_ms",
            json!([0.0, 0.0, 0.0, 0.0]),
            "extra.max_age_ms: 0 for the bounded class 0, which goes to the primary alone",
        ),
        (
            "/classes/3/idempotency",
            json!("free"),
            "classes[3].idempotency: free for a write, which may run more than once then",
        ),
        ("/limits/may_probe", json!(false), &pull),
        ("/load_info/names", json!(["x1"]), &without_position),
    ];
    for (pointer, value, text) in cases {
        // When one value is unknown or contradicts another
        let warnings = warning_texts(&settings_with(pointer, value));
        // Then the one warning has this text
        assert_eq!(warnings, [format!("settings: {text}")], "{pointer}");
    }
}

#[test]
fn a_retry_after_of_no_time_gives_a_warning() {
    // Given a Retry-After of 0 ms
    let mut settings = settings_with("/limits/retry_after", json!(true));
    settings["limits"]["max_retry_after_ms"] = json!(0);
    // When it is read
    let warnings = warning_texts(&settings);
    // Then the warning says what that leads to
    let expected = "settings: limits.max_retry_after_ms: 0, though limits.retry_after is true: refusals advise to return at once";
    assert_eq!(warnings, [expected]);
}

#[test]
fn unknown_keys_come_before_contradictions_which_have_an_order_of_their_own() {
    // Given an unknown key and four contradictions
    let mut settings = settings_with("/my_zone", json!(9));
    settings["zebra"] = json!(1);
    settings["classes"][0]["goal_time_ms"] = json!(9e9);
    settings["limits"]["may_probe"] = json!(false);
    settings["limits"]["connect_timeout_ms"] = json!(0);
    // When they are read
    let warnings = warning_texts(&settings);
    // Then the unknown key comes first
    let keys: Vec<&str> = warnings.iter().filter_map(|text| text.split(": ").nth(1)).collect();
    let expected =
        ["zebra", "classes[0].goal_time_ms", "load_info.via", "my_zone", "limits.connect_timeout_ms"];
    assert_eq!(keys, expected);
}
