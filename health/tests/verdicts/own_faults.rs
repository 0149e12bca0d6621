//! Faults of the proxy itself: maintenance, handover, shutdown, loss of all connectivity, and overload.

use crate::support::{MILLISECOND, SECOND, SimulatedProxy, simulated_proxy};
use birchreach_health::{HealthEvent, HealthSettings, OverloadPolicy, State};

#[test]
fn planned_withdrawals_affect_every_capability() {
    // Given a healthy proxy
    let mut proxy = simulated_proxy(2, HealthSettings::default());
    proxy.write(0, MILLISECOND);
    proxy.write(10, MILLISECOND);
    // When the proxy is in maintenance, then every capability is in maintenance
    proxy.handle(HealthEvent::Maintenance(true));
    assert_eq!(
        (proxy.agent_reply(""), proxy.agent_reply("group=1 read")),
        ("maint\n".into(), "maint\n".into())
    );
    assert!(proxy.http_get("/group/0/read").contains("x-envoy-immediate-health-check-fail: true"));
    proxy.handle(HealthEvent::Maintenance(false));
    assert_eq!(proxy.agent_reply("group=1 read"), "ready up 100%\n");
    // When a handover is announced, then the proxy drains from the announced time until the handover is revoked
    let at = proxy.now + 20 * MILLISECOND;
    proxy.handle(HealthEvent::HandoverAt(Some(at)));
    proxy.advance(19 * MILLISECOND, |_| None);
    assert_eq!(proxy.agent_reply(""), "ready up 100%\n");
    proxy.advance(MILLISECOND, |_| None);
    assert_eq!(proxy.agent_reply("file-entry"), "drain\n");
    proxy.handle(HealthEvent::HandoverAt(None));
    assert_eq!(proxy.agent_reply(""), "ready up 100%\n");
    // When the proxy shuts down, then it drains
    proxy.handle(HealthEvent::Stopping);
    assert_eq!((proxy.agent_reply(""), proxy.monitor.verdict().state), ("drain\n".into(), State::Draining));
    assert_eq!(proxy.monitor.verdict().overall.weight_percent, 0);
}

#[test]
fn a_successor_is_unavailable_until_it_is_ready() {
    // Given a proxy that waits for its predecessor
    let mut successor = simulated_proxy(1, HealthSettings::default());
    let at = successor.now + 500 * MILLISECOND;
    successor.handle(HealthEvent::ReadyAt(at));
    assert_eq!(successor.agent_reply(""), "ready down #starting\n");
    // When the predecessor has handed over, then the successor is available
    successor.advance(500 * MILLISECOND, |_| None);
    assert_eq!(successor.agent_reply(""), "ready up 100%\n");
}

#[test]
fn a_proxy_is_isolated_if_it_reaches_neither_discovery_nor_databases() {
    // Given a proxy with a proven primary
    let mut proxy = simulated_proxy(1, HealthSettings::default());
    proxy.handle(HealthEvent::DiscoveryAnswered);
    proxy.write(0, MILLISECOND);
    // When only discovery is silent, then nothing changes
    proxy.advance(120 * SECOND, |_| None);
    assert_eq!(proxy.monitor.verdict().state, State::Ready);
    // When both databases also refuse connections, then the proxy is isolated
    refuse_on_both_servers(&mut proxy);
    proxy.advance(2 * SECOND, |_| None);
    assert_eq!(
        (proxy.monitor.verdict().state, proxy.agent_reply("")),
        (State::Isolated, "ready down #blind\n".into())
    );
    // Given a proxy that reaches discovery, when both databases refuse connections, then the databases are at fault
    let mut proxy = simulated_proxy(1, HealthSettings::default());
    proxy.handle(HealthEvent::DiscoveryAnswered);
    refuse_on_both_servers(&mut proxy);
    proxy.advance(2 * SECOND, |_| None);
    assert_eq!(proxy.monitor.verdict().state, State::NoPrimary);
    assert!(proxy.monitor.verdict().overall.available);
}

/// Lets both servers of the first group refuse a connection.
fn refuse_on_both_servers(proxy: &mut SimulatedProxy) {
    for server in [0, 1] {
        proxy.send_refused(server, false);
    }
}

#[test]
fn an_overloaded_proxy_has_a_low_weight_or_is_unavailable_depending_on_the_policy() {
    // Given one proxy with each overload policy, when both are saturated for a minute
    let mut down = simulated_proxy(
        1,
        HealthSettings { overload: OverloadPolicy::ReportDown, ..HealthSettings::default() },
    );
    let mut proxy = simulated_proxy(1, HealthSettings::default());
    for proxy in [&mut proxy, &mut down] {
        for _ in 0..240 {
            proxy.advance(250 * MILLISECOND, |_| None);
            proxy.handle(HealthEvent::Load { pressure: 1.0, in_progress: 9, queued: 1, client_capacity: 2 });
        }
        assert_eq!(proxy.monitor.verdict().state, State::Overloaded);
    }
    // Then the first has a low weight, and the second is unavailable
    let weight = proxy.monitor.verdict().overall.weight_percent;
    assert!((1..=10).contains(&weight), "{weight}");
    assert_eq!(proxy.agent_reply(""), format!("ready up {weight}%\n"));
    assert_eq!(down.agent_reply(""), "ready down #overloaded\n");
    assert!(proxy.http_get("/ready").contains("x-envoy-degraded: true"));
}
