//! Faults of a group's primary: the primary is unresponsive, missing, or only slow.

use crate::support::{MILLISECOND, SECOND, proxy_with_proven_primary, settings_with_probes, simulated_proxy};
use birchreach_health::{
    AttemptOutcome, HealthEvent, HealthSettings, IdleGroupPolicy, Role, ServerId, SharedCausePolicy, State,
};

/// Writes are withdrawn within 2 s, and reads stay available. A new endpoint list alone doesn't restore writes; only a
/// proof does.
#[test]
fn an_unresponsive_primary_is_reported_within_two_seconds_and_only_a_proof_restores_writes() {
    // Given a group with a proven primary
    let mut proxy = simulated_proxy(1, HealthSettings::default());
    proxy.write(0, 5 * MILLISECOND);
    assert_eq!(proxy.agent_reply("file-entry"), "ready up 100%\n");
    // When the primary stops responding
    let hung_at = proxy.now;
    proxy.send(0);
    proxy.advance(1900 * MILLISECOND, |_| None);
    // Then writes to its group are unavailable within 2 s, and nothing else is
    assert!(proxy.now - hung_at < 2 * SECOND);
    assert_eq!(proxy.agent_reply("file-entry"), "ready down #primary-silent\n");
    assert_eq!(proxy.agent_reply("tariff-lookup"), "ready up 100%\n");
    assert_eq!(
        proxy.agent_reply(""),
        "ready up 100%\n",
        "a shared cause must not take the proxy out of rotation"
    );
    assert!(proxy.http_get("/class/file-entry/group/0").starts_with("HTTP/1.1 503 "));
    assert!(proxy.http_get("/ready").contains("x-envoy-degraded: true"));
    // When the endpoint list names another primary seconds later, then writes stay unavailable
    proxy.advance(4 * SECOND, |_| None);
    proxy.list(0, 0, false);
    proxy.list(1, 0, true);
    proxy.advance(20 * SECOND, |_| None);
    assert_eq!(proxy.agent_reply("group=0 write"), "ready down #primary-silent\n");
    // When that server reports that it is the primary, then writes are restored after a delay
    proxy.send(1);
    proxy.end(1, false, AttemptOutcome::Answered, Some(Role::Primary));
    proxy.advance(50 * MILLISECOND, |_| None);
    assert_eq!(
        proxy.agent_reply("file-entry"),
        "ready down #recovering\n",
        "writes must not be restored before the restore delay"
    );
    proxy.advance(2 * SECOND, |_| None);
    assert_eq!(proxy.agent_reply("file-entry"), "ready up 100%\n");
}

#[test]
fn a_missing_primary_is_reported_for_its_group_and_operation() {
    // Given four groups with proven primaries
    let mut proxy = simulated_proxy(4, HealthSettings::default());
    for group in 0..4 {
        proxy.write(group * 10, 5 * MILLISECOND);
    }
    // When one primary refuses connections, then its group has no writes, and the weight over all groups is reduced
    proxy.send_refused(20, true);
    proxy.advance(SECOND, |_| None);
    assert_eq!(proxy.agent_reply("group=2 write"), "ready down #primary-gone\n");
    assert_eq!(proxy.agent_reply("group=1 write"), "ready up 100%\n");
    assert_eq!(proxy.agent_reply("group=2"), "ready up 100%\n");
    assert_eq!(proxy.agent_reply("file-entry"), "ready up 75%\n");
    assert_eq!(proxy.agent_reply(""), "ready up 100%\n");
    assert_eq!(proxy.monitor.verdict().state, State::Degraded);
    // When all primaries refuse connections, then no group has writes, but the proxy stays in rotation
    for group in [0, 1, 3] {
        proxy.send_refused(group * 10, true);
    }
    proxy.advance(SECOND, |_| None);
    assert_eq!(proxy.monitor.verdict().state, State::NoPrimary);
    assert_eq!(proxy.agent_reply("file-entry"), "ready down #primary-gone\n");
    assert_eq!(proxy.agent_reply("tariff-lookup"), "ready up 100%\n");
    assert_eq!(proxy.agent_reply(""), "ready up 100%\n", "the balancer would have no proxy left");
}

#[test]
fn a_missing_primary_makes_the_proxy_unavailable_if_the_settings_require_it() {
    // Given settings for a balancer that sends only writes, and a proven primary
    let settings =
        HealthSettings { shared_causes: SharedCausePolicy::ReportDown, ..HealthSettings::default() };
    let mut proxy = simulated_proxy(1, settings);
    proxy.write(0, MILLISECOND);
    // When the primary refuses connections, then the proxy is unavailable
    proxy.send_refused(0, true);
    proxy.advance(SECOND, |_| None);
    assert_eq!(proxy.agent_reply(""), "ready down #primary-gone\n");
}

#[test]
fn short_silences_of_a_primary_withdraw_nothing() {
    // Given a group with a proven primary
    let mut proxy = proxy_with_proven_primary(HealthSettings::default());
    // When it is silent for 300 ms of every second, then nothing is withdrawn
    for _ in 0..60 {
        proxy.send(0);
        proxy.advance(300 * MILLISECOND, |_| None);
        proxy.end(0, true, AttemptOutcome::Answered, Some(Role::Primary));
        for _ in 0..7 {
            proxy.write(0, 100 * MILLISECOND);
        }
    }
    assert_eq!(proxy.count_capability_changes(), 0);
}

#[test]
fn long_silences_of_a_primary_cause_few_transitions() {
    // Given a group with a proven primary
    let mut proxy = proxy_with_proven_primary(HealthSettings::default());
    // When it is silent for 1.9 s of every 3.1 s, then the restore delay grows and bounds the transitions
    for _ in 0..60 {
        proxy.send(0);
        proxy.advance(1900 * MILLISECOND, |_| None);
        proxy.end(0, true, AttemptOutcome::TimedOut, None);
        proxy.write(0, 5 * MILLISECOND);
        proxy.advance(1200 * MILLISECOND, |_| None);
    }
    let changes = proxy.count_capability_changes();
    assert!((2..=16).contains(&changes), "{changes} in three minutes");
}

#[test]
fn with_probes_requests_of_any_duration_withdraw_nothing() {
    // Given probes and a proven primary
    let mut proxy = proxy_with_proven_primary(settings_with_probes());
    // When requests take longer than both silence limits, then nothing is withdrawn
    for _ in 0..20 {
        proxy.send(0);
        proxy.advance(8 * SECOND, |server| {
            Some(if server == ServerId(0) { Role::Primary } else { Role::Replica })
        });
        proxy.end(0, true, AttemptOutcome::Answered, Some(Role::Primary));
    }
    assert_eq!(proxy.count_capability_changes(), 0);
}

#[test]
fn without_probes_requests_below_the_silence_limit_withdraw_nothing() {
    // Given settings without probes
    let mut proxy = simulated_proxy(1, HealthSettings::default());
    proxy.count_capability_changes();
    // When requests take slightly less than the silence limit, then nothing is withdrawn
    for _ in 0..50 {
        proxy.write(0, 1600 * MILLISECOND);
    }
    assert_eq!(proxy.count_capability_changes(), 0);
}

#[test]
fn probes_prove_idle_groups_and_find_unresponsive_primaries() {
    // Given idle groups whose servers answer probes, then writes stay available
    let role_of =
        |server: ServerId| Some(if server.0.is_multiple_of(10) { Role::Primary } else { Role::Replica });
    let mut proxy = simulated_proxy(
        4,
        HealthSettings { idle_groups: IdleGroupPolicy::Withdraw, ..settings_with_probes() },
    );
    proxy.advance(60 * SECOND, role_of);
    assert_eq!(
        proxy.agent_reply("file-entry"),
        "ready up 100%\n",
        "probes must prove the primaries of idle groups"
    );
    proxy.count_capability_changes();
    proxy.advance(60 * SECOND, role_of);
    assert_eq!(proxy.count_capability_changes(), 0);
    // When the servers stop answering, then writes are withdrawn without any request in flight
    proxy.handle(HealthEvent::DiscoveryAnswered);
    proxy.advance(8 * SECOND, |_| None);
    assert_eq!(proxy.agent_reply("file-entry"), "ready down #primary-silent\n");
}

#[test]
fn probes_to_many_groups_stay_within_the_shared_budget() {
    // Given twenty groups without a proven primary
    let mut proxy = simulated_proxy(20, settings_with_probes());
    // When the probes of all groups are due
    proxy.monitor.update(proxy.now);
    // Then eight probes are sent at once, and the others at 20 per second
    assert_eq!(proxy.monitor.take_probes().len(), 8);
    proxy.now += 500 * MILLISECOND;
    proxy.monitor.update(proxy.now);
    assert_eq!(proxy.monitor.take_probes().len(), 8, "the bucket must hold no more than eight tokens");
}
