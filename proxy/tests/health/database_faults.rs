//! Databases that are unresponsive, stopped or slow.

use crate::support::{PROBES, Traffic, agent_check, http_check, new_rig, wait_until};
use birchreach_test_support::client::{Client, Reply};
use std::thread;
use std::time::Duration;

/// An unresponsive primary makes only writes to its group unavailable. They become available again when a server reports itself as
/// primary; the endpoint list follows later.
#[test]
fn an_unresponsive_primary_makes_writes_unavailable_until_another_server_reports_itself_as_primary() {
    // Given two groups with traffic
    let rig = new_rig(1, 2);
    let proxy = rig.start_with_checks(1, 64, PROBES).unwrap();
    let traffic = Traffic::start(proxy.client_address().unwrap(), 2, 4);
    wait_until("writes are available", || agent_check(&proxy, "file-entry").text == "ready up 100%\n");
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
    // When the other server becomes primary, then its own report makes writes available before the endpoint list names it
    rig.fail_over(1, false);
    wait_until("writes are available after the failover", || agent_check(&proxy, "group=1 write").up);
    rig.announce_primary(1, rig.groups[1].replica.address());
    // When no group has a primary, then the proxy stays in rotation for reads
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
fn slow_requests_and_short_pauses_of_a_primary_do_not_withdraw_availability() {
    // Given slow requests
    let rig = new_rig(2, 1);
    rig.groups[0].primary.set_delay("heavy", Duration::from_millis(2500));
    // This is the longest limit that the options allow, so that a short stall of the machine does not fail the test.
    let options = format!("{PROBES}<claims hang-probed-ms='1700'/>");
    let proxy = rig.start_with_checks(1, 64, &options).unwrap();
    wait_until("writes are available", || agent_check(&proxy, "file-entry").up);
    // When requests take longer than the limit
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    for _ in 0..2 {
        assert_eq!(client.write("heavy", 0, 9000).unwrap(), Reply::Served(b"\\x9f03".to_vec()));
    }
    // And when the primary stops responding three times for less than the limit
    let traffic = Traffic::start(proxy.client_address().unwrap(), 1, 2);
    for _ in 0..3 {
        rig.groups[0].primary.set_hung(true);
        thread::sleep(Duration::from_millis(300));
        rig.groups[0].primary.set_hung(false);
        thread::sleep(Duration::from_millis(700));
    }
    traffic.stop();
    // Then the proxy has not reported itself as unable
    let withdrawn = proxy
        .log()
        .iter()
        .filter(|line| line.contains("event=health-claim") && line.contains("able=false"))
        .count();
    assert_eq!(withdrawn, 0, "{:?}", proxy.log());
}
