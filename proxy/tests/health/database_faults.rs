//! Databases that are unresponsive, gone or slow.

use crate::support::{PROBES, Traffic, agent, http, rig, until};
use birchreach_test_support::client::{Client, Reply};
use std::thread;
use std::time::Duration;

/// An unresponsive primary is reported where it is asked for, reads stay, and only a proof restores writes.
#[test]
fn an_unresponsive_primary_is_reported_and_a_late_list_is_no_proof() {
    // Given two groups with traffic
    let rig = rig(1, 2);
    let proxy = rig.start_with_doors(1, 64, PROBES).unwrap();
    let traffic = Traffic::start(proxy.clients().unwrap(), 2, 4);
    until("all is available", || agent(&proxy, "file-entry").text == "ready up 100%\n");
    // When one primary stops responding, then only writes to its group are unavailable
    rig.groups[1].primary.hang(true);
    until("the unresponsive primary is reported", || !agent(&proxy, "group=1 write").up);
    assert!(agent(&proxy, "group=0 write").up && agent(&proxy, "tariff-lookup").up && agent(&proxy, "").up);
    assert!(http(&proxy, "/group/1/write").text.contains("503 Service Unavailable"));
    assert!(http(&proxy, "/ready").text.contains("x-envoy-degraded: true"));
    // When the other server becomes primary, then its own report counts, before the endpoint list names it
    rig.fail_over(1, false);
    until("the proof counts", || agent(&proxy, "group=1 write").up);
    rig.tell(1, rig.groups[1].replica.address());
    // When every primary is gone, then the proxy stays in rotation for reads
    rig.groups[0].primary.up(false);
    rig.groups[1].replica.up(false);
    rig.groups[1].primary.hang(false);
    rig.groups[1].primary.primary(false);
    until("the loss of every primary is reported", || {
        http(&proxy, "/health").text.contains("\"state\":\"no-primary\"")
    });
    assert!(!agent(&proxy, "file-entry").up);
    assert!(agent(&proxy, "tariff-lookup").up && http(&proxy, "/ready").up);
    drop(traffic);
    assert!(rig.groups.iter().all(|group| group.rows.doubles() == 0));
}

#[test]
fn slow_requests_and_short_silences_withdraw_nothing() {
    // Given slow requests
    let rig = rig(2, 1);
    let heavy = Duration::from_millis(2500);
    rig.groups[0].primary.delay("heavy", heavy);
    // The longest limit that the options allow: a short stall of the machine must not fail this test.
    let patient = format!("{PROBES}<claims hang-probed-ms='1700'/>");
    let proxy = rig.start_with_doors(1, 64, &patient).unwrap();
    until("writes are available", || agent(&proxy, "file-entry").up);
    // When requests take longer than the limit
    let mut client = Client::connect(proxy.clients().unwrap()).unwrap();
    for _ in 0..2 {
        assert_eq!(client.write("heavy", 0, 9000).unwrap(), Reply::Served(b"\\x9f03".to_vec()));
    }
    // And when the primary is silent for less than the limit, several times
    let traffic = Traffic::start(proxy.clients().unwrap(), 1, 2);
    for _ in 0..3 {
        rig.groups[0].primary.hang(true);
        thread::sleep(Duration::from_millis(300));
        rig.groups[0].primary.hang(false);
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
