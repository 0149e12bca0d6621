//! Numbers of servers that come and go.

use super::*;
use birchreach_settings::DeploymentSettings;
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
