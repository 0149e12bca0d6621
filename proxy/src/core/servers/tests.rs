//! What becomes of the numbers of databases that come and go.

use super::*;
use serde_json::Value as Json;

#[test]
fn databases_that_left_long_ago_are_forgotten_and_numbers_are_not_given_twice() {
    let config: Json = serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    let site = birchreach_settings::from_value(&config["settings"]).unwrap();
    let mut core: Core<()> = Core::new(&site, 1, 0);
    for n in 0..100u32 {
        let target = |uid: String, state: &str| format!(r#"{{"uid": "{uid}", "state": "{state}"}}"#);
        let old = target(format!("s-{}", i64::from(n) - 1), "removed");
        let new = target(format!("s-{n}"), "up");
        let list = format!(r#"{{"rev": {n}, "all": false, "targets": [{old}, {new}]}}"#);
        let update = serde_json::from_str(&list).unwrap();
        core.update_endpoints(Micros::from(n) * 1_000_000, update);
        assert_eq!(core.servers.roster[&format!("s-{n}")], ServerId(n + 1), "s--1 was the first");
    }
    let (listed, roster) = (core.servers.listed.len(), core.servers.roster.len());
    assert!(listed < 30 && roster < 30, "{listed} kept");
    assert_eq!(core.server_name(ServerId(100)), "s-99");
}
