//! Databases that are unresponsive, gone or slow.

use crate::support::{PROBES, Traffic, agent_check, http_check, new_rig, wait_until};
use birchreach_test_support::client::{Client, Reply};
use std::thread;
use std::time::Duration;

/// An unresponsive primary is reported where it is asked for, reads stay, and only a proof restores writes.
#[test]
fn an_unresponsive_primary_is_reported_and_a_late_list_is_no_proof() {
    // Given two groups with traffic
    let rig = new_rig(1, 2);
    let proxy = rig.start_with_checks(1, 64, PROBES).unwrap();
    let traffic = Traffic::start(proxy.client_address().unwrap(), 2, 4);
    wait_until("all is available", || agent_check(&proxy, "file-entry").text == "ready up 100%\n");
    // When one primary stops responding, then only writes to its group are unavailable
    rig.groups[1].primary.set_hung(true);
    wait_until("the unresponsive primary is reported", || !agent_check(&proxy, "group=1 write").up);
    assert!(
        agent_check(&proxy, "group=0 write").up
            && agent_check(&proxy, "tariff-lookup").up
            && agent_check(&proxy, "").up
    );
    assert!(http_check(&proxy, "/group/1/write").text.contains("503 Service Unavailable"));
    assert!(http_check(&proxy, "/ready").text.contains("x-envoy-degraded: true"));
    // When the other server becomes primary, then its own report counts, before the endpoint list names it
    rig.fail_over(1, false);
    wait_until("the proof counts", || agent_check(&proxy, "group=1 write").up);
    rig.announce_primary(1, rig.groups[1].replica.address());
    // When every primary is gone, then the proxy stays in rotation for reads
    rig.groups[0].primary.set_available(false);
    rig.groups[1].replica.set_available(false);
    rig.groups[1].primary.set_hung(false);
    rig.groups[1].primary.set_primary(false);
    wait_until("the loss of every primary is reported", || {
        http_check(&proxy, "/health").text.contains("\"state\":\"no-primary\"")
    });
    assert!(!agent_check(&proxy, "file-entry").up);
    assert!(agent_check(&proxy, "tariff-lookup").up && http_check(&proxy, "/ready").up);
    drop(traffic);
    assert!(rig.groups.iter().all(|group| group.rows.duplicate_count() == 0));
}

#[test]
fn slow_requests_and_short_silences_withdraw_nothing() {
    // Given slow requests
    let rig = new_rig(2, 1);
    let heavy = Duration::from_millis(2500);
    rig.groups[0].primary.set_delay("heavy", heavy);
    // The longest limit that the options allow: a short stall of the machine must not fail this test.
    let patient = format!("{PROBES}<claims hang-probed-ms='1700'/>");
    let proxy = rig.start_with_checks(1, 64, &patient).unwrap();
    wait_until("writes are available", || agent_check(&proxy, "file-entry").up);
    // When requests take longer than the limit
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    for _ in 0..2 {
        assert_eq!(client.write("heavy", 0, 9000).unwrap(), Reply::Served(b"\\x9f03".to_vec()));
    }
    // And when the primary is silent for less than the limit, several times
    let traffic = Traffic::start(proxy.client_address().unwrap(), 1, 2);
    for _ in 0..3 {
        rig.groups[0].primary.set_hung(true);
        thread::sleep(Duration::from_millis(300));
        rig.groups[0].primary.set_hung(false);
        thread::sleep(Duration::from_millis(700));
    }
    traffic.stop();
    // Then nothing was withdrawn
    let withdrawn = proxy
        .log()
        .iter()
        .filter(|line| line.contains("event=health-claim") && line.contains("able=false"))
        .count();
    assert_eq!(withdrawn, 0, "{:?}", proxy.log());
}
