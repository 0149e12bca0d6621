//! Settings that contradict one another, and what operators read of each.

use birchreach_health::{HealthSettings, IdleGroupPolicy, ProbeSettings};

/// The messages about the default settings with one change.
fn messages(change: impl FnOnce(&mut HealthSettings)) -> Vec<String> {
    let mut settings = HealthSettings::default();
    change(&mut settings);
    settings.errors().iter().map(ToString::to_string).collect()
}

/// The messages about the default settings with changed probes.
fn probe_messages(change: impl FnOnce(&mut ProbeSettings)) -> Vec<String> {
    let mut probes = ProbeSettings::default();
    change(&mut probes);
    messages(|settings| settings.probes = Some(probes))
}

#[test]
fn the_defaults_contradict_nothing() {
    assert_eq!(messages(|_| ()), [""; 0]);
    assert_eq!(probe_messages(|_| ()), [""; 0]);
}

#[test]
fn contradictory_times_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.silence_limit_probed = settings.silence_limit_unprobed + 1),
        ["hang-probed-ms: above hang-ms"]
    );
    assert_eq!(
        messages(|settings| settings.withdraw_after = 200_001),
        ["hang-ms: with fall-ms, a hang would be told later than after 1.9 s"]
    );
    assert_eq!(
        messages(|settings| settings.min_time_available = settings.silence_limit() + 1),
        ["hold-able-ms: above the time after which a hang is told"]
    );
    assert_eq!(
        messages(|settings| settings.restore_after = settings.restore_after_max + 1),
        ["rise-ms: above rise-most-ms"]
    );
}

#[test]
fn contradictory_weights_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.weight.reduce_above = settings.weight.trim_above),
        ["knee: not below hot"]
    );
    assert_eq!(
        messages(|settings| settings.overload_pressure = settings.weight.trim_above),
        ["hot: not below overload-at"]
    );
}

#[test]
fn contradictory_probes_are_rejected_with_the_option() {
    assert_eq!(
        messages(|settings| settings.idle_groups = IdleGroupPolicy::Withdraw),
        ["idle: with withdraw and no probes, an idle group would never be claimed again"]
    );
    assert_eq!(probe_messages(|probes| probes.interval = 7_500_001), ["every-ms: above half of window-ms"]);
    assert_eq!(
        probe_messages(|probes| probes.suspect_after = 500_001),
        ["timeout-ms: with suspect-ms, above hang-probed-ms: a slow server would be told as a silent one"]
    );
    assert_eq!(
        probe_messages(|probes| probes.group_rate_per_s = probes.total_rate_per_s + 1.0),
        ["group-per-s: above whole-per-s"]
    );
}

#[test]
fn several_contradictions_are_reported_in_their_order() {
    // Given two contradictions
    let both = messages(|settings| {
        settings.withdraw_after = 200_001;
        settings.idle_groups = IdleGroupPolicy::Withdraw;
    });
    // Then both are reported
    assert_eq!(
        both,
        [
            "hang-ms: with fall-ms, a hang would be told later than after 1.9 s",
            "idle: with withdraw and no probes, an idle group would never be claimed again"
        ]
    );
}
