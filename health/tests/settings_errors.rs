//! Contradictions between settings, and the message that operators read about each.

use birchreach_health::{HealthSettings, IdleGroupPolicy, ProbeSettings};

/// Returns the error messages for the default settings after `change`.
fn messages(change: impl FnOnce(&mut HealthSettings)) -> Vec<String> {
    let mut settings = HealthSettings::default();
    change(&mut settings);
    settings.errors().iter().map(ToString::to_string).collect()
}

/// Returns the error messages for the default settings with default probes after `change`.
fn probe_messages(change: impl FnOnce(&mut ProbeSettings)) -> Vec<String> {
    let mut probes = ProbeSettings::default();
    change(&mut probes);
    messages(|settings| settings.probes = Some(probes))
}

#[test]
fn the_defaults_have_no_contradictions() {
    assert_eq!(messages(|_| ()), [""; 0]);
    assert_eq!(probe_messages(|_| ()), [""; 0]);
}

#[test]
fn contradictory_times_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.silence_limit_probed = settings.silence_limit_unprobed + 1),
        ["hang-probed-ms: must not exceed hang-ms"]
    );
    assert_eq!(
        messages(|settings| settings.withdraw_after = 200_001),
        [
            "hang-ms: hang-ms plus fall-ms must not exceed 1.9 s, so that an unresponsive primary is reported within 2 s"
        ]
    );
    assert_eq!(
        messages(|settings| settings.min_time_available = settings.silence_limit() + 1),
        ["hold-able-ms: must not exceed the time after which a server counts as unresponsive \
          (hang-ms, or hang-probed-ms with probes)"]
    );
    assert_eq!(
        messages(|settings| settings.restore_after = settings.restore_after_max + 1),
        ["rise-ms: must not exceed rise-most-ms"]
    );
}

#[test]
fn contradictory_weights_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.weight.reduce_above = settings.weight.trim_above),
        ["knee: must be below hot"]
    );
    assert_eq!(
        messages(|settings| settings.overload_pressure = settings.weight.trim_above),
        ["hot: must be below overload-at"]
    );
}

#[test]
fn contradictory_probes_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.idle_groups = IdleGroupPolicy::Withdraw),
        ["idle: withdraw requires probes, because nothing else would restore the writes of an idle group"]
    );
    assert_eq!(
        probe_messages(|probes| probes.interval = 7_500_001),
        ["every-ms: must not exceed half of window-ms"]
    );
    assert_eq!(
        probe_messages(|probes| probes.suspect_after = 500_001),
        ["timeout-ms: suspect-ms plus timeout-ms must not exceed hang-probed-ms, \
          so that a slow server is not reported as unresponsive"]
    );
    assert_eq!(
        probe_messages(|probes| probes.group_rate_per_s = probes.total_rate_per_s + 1.0),
        ["group-per-s: must not exceed whole-per-s"]
    );
}

#[test]
fn several_contradictions_are_reported_in_a_fixed_order() {
    // Given settings with two contradictions
    let both = messages(|settings| {
        settings.withdraw_after = 200_001;
        settings.idle_groups = IdleGroupPolicy::Withdraw;
    });
    // Then both are reported, in the order of the rules
    assert_eq!(
        both,
        [
            "hang-ms: hang-ms plus fall-ms must not exceed 1.9 s, so that an unresponsive primary is reported within 2 s",
            "idle: withdraw requires probes, because nothing else would restore the writes of an idle group"
        ]
    );
}
