//! Numbers of servers that are added to and removed from the endpoint list, and the groups that exist.

use super::*;
use birchreach_settings::DeploymentSettings;
use serde_json::Value as Json;

fn settings() -> DeploymentSettings {
    let config: Json = serde_json::from_str(include_str!("../../../tests/exchanges/config.json")).unwrap();
    birchreach_settings::from_value(&config["settings"]).unwrap()
}

fn list_entry(uid: &str, state: &str) -> String {
    format!(r#"{{"uid": "{uid}", "state": "{state}"}}"#)
}

#[test]
fn servers_removed_long_ago_are_dropped_and_numbers_are_not_reused() {
    // Given a core
    let mut core: Core<()> = Core::new(&settings(), 1, 0);
    // When each update adds a server and removes the previous one, then the added server gets an unused number
    for n in 0..100u32 {
        let old = list_entry(&format!("s-{}", i64::from(n) - 1), "removed");
        let new = list_entry(&format!("s-{n}"), "up");
        let list = format!(r#"{{"rev": {n}, "all": false, "targets": [{old}, {new}]}}"#);
        let update = serde_json::from_str(&list).unwrap();
        core.update_endpoints(Micros::from(n) * 1_000_000, update);
        assert_eq!(core.servers.numbers[&format!("s-{n}")], ServerId(n + 1), "s--1 has number 0");
    }
    // And servers that were removed long ago have been dropped
    let (listed, numbers) = (core.servers.listed.len(), core.servers.numbers.len());
    assert!(listed < 30 && numbers < 30, "{listed} servers and {numbers} numbers are still known");
    assert_eq!(core.server_name(ServerId(100)), "s-99");
}

#[test]
fn a_group_exists_while_it_has_a_server() {
    // Given a core without an endpoint list, for which every group exists
    let mut core: Core<()> = Core::new(&settings(), 1, 0);
    assert!(core.has_group(GroupId(7)));
    let apply_list = |core: &mut Core<()>, seconds: i64, complete: bool, targets: &str| {
        let list = format!(r#"{{"rev": {seconds}, "all": {complete}, "targets": [{targets}]}}"#);
        core.update_endpoints(seconds * 1_000_000, serde_json::from_str(&list).unwrap());
    };
    let in_group =
        |uid: &str, group: u32| format!(r#"{{"uid": "{uid}", "state": "up", "pod_group": {group}}}"#);
    // When two servers of a group are listed, then only this group exists
    apply_list(&mut core, 1, true, &format!("{}, {}", in_group("a", 1), in_group("b", 1)));
    assert!(core.has_group(GroupId(1)) && !core.has_group(GroupId(2)));
    // When one of the servers moves to another group, then both groups exist
    apply_list(&mut core, 2, false, &in_group("b", 2));
    assert!(core.has_group(GroupId(1)) && core.has_group(GroupId(2)));
    // When the other server moves too, then its former group no longer exists
    apply_list(&mut core, 3, false, &in_group("a", 2));
    assert!(!core.has_group(GroupId(1)) && core.has_group(GroupId(2)));
    // When a complete list contains neither server, then their group exists until they are dropped
    apply_list(&mut core, 4, true, &in_group("c", 3));
    assert!(core.has_group(GroupId(2)) && core.has_group(GroupId(3)));
    apply_list(&mut core, 60, false, &in_group("c", 3));
    assert!(!core.has_group(GroupId(2)) && core.has_group(GroupId(3)));
}

#[test]
fn the_last_duplicate_entry_of_a_server_is_applied() {
    // Given a complete list with two entries for each server
    let entry = |number: u32, port: u16| {
        format!(r#"{{"uid": "s-{number}", "endpoint": "127.0.0.1:{port}", "state": "up"}}"#)
    };
    let entries: Vec<String> =
        [1000, 2000].iter().flat_map(|port| (0..100).map(move |number| entry(number, *port))).collect();
    let list = format!(r#"{{"rev": 1, "all": true, "targets": [{}]}}"#, entries.join(", "));

    // When the list is applied
    let mut core: Core<()> = Core::new(&settings(), 1, 0);
    core.update_endpoints(0, serde_json::from_str(&list).unwrap());

    // Then each server is listed once, with the address of its last entry
    assert_eq!(core.servers.listed_servers().count(), 100);
    for server in (0..100).map(ServerId) {
        assert_eq!(core.address(server), Some(SocketAddr::from(([127, 0, 0, 1], 2000))));
    }
}
