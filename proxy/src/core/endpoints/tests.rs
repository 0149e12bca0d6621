//! Numbers of servers that come and go.

use super::*;
use serde_json::Value as Json;

fn settings() -> DeploymentSettings {
    let config: Json = serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    birchreach_settings::from_value(&config["settings"]).unwrap()
}

fn target(uid: &str, state: &str) -> String {
    format!(r#"{{"uid": "{uid}", "state": "{state}"}}"#)
}

#[test]
fn servers_removed_long_ago_are_dropped_and_numbers_are_not_reused() {
    // Given a core
    let mut core: Core<()> = Core::new(&settings(), 1, 0);
    // When each list has a new server and removes the one before, then the new one has a number of its own
    for n in 0..100u32 {
        let old = target(&format!("s-{}", i64::from(n) - 1), "removed");
        let new = target(&format!("s-{n}"), "up");
        let list = format!(r#"{{"rev": {n}, "all": false, "targets": [{old}, {new}]}}"#);
        let update = serde_json::from_str(&list).unwrap();
        core.update_endpoints(Micros::from(n) * 1_000_000, update);
        assert_eq!(core.servers.numbers[&format!("s-{n}")], ServerId(n + 1), "s--1 was the first");
    }
    // And servers that were removed long ago are kept no longer
    let (listed, numbers) = (core.servers.listed.len(), core.servers.numbers.len());
    assert!(listed < 30 && numbers < 30, "{listed} kept");
    assert_eq!(core.server_name(ServerId(100)), "s-99");
}

#[test]
fn the_last_entry_of_a_server_counts() {
    // Given a complete list with two entries for each server
    let entry = |number: u32, port: u16| {
        format!(r#"{{"uid": "s-{number}", "endpoint": "127.0.0.1:{port}", "state": "up"}}"#)
    };
    let entries: Vec<String> =
        [1000, 2000].iter().flat_map(|port| (0..100).map(move |number| entry(number, *port))).collect();
    let list = format!(r#"{{"rev": 1, "all": true, "targets": [{}]}}"#, entries.join(", "));

    // When it is applied
    let mut core: Core<()> = Core::new(&settings(), 1, 0);
    core.update_endpoints(0, serde_json::from_str(&list).unwrap());

    // Then each server is there once, with the address of its last entry
    assert_eq!(core.servers.present().count(), 100);
    for server in (0..100).map(ServerId) {
        assert_eq!(core.address(server), Some(SocketAddr::from(([127, 0, 0, 1], 2000))));
    }
}
