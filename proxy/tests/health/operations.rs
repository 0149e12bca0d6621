//! What operators do: change options, ask for the health, set maintenance, check a configuration.

use crate::support::{PROGRAM, agent, operator, rig, until};
use birchreach_test_support::balancer::{Check, check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::PATIENCE;
use birchreach_test_support::rig::Rig;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

/// Options are taken as a whole or not at all; addresses change, and health reporting is switched off and on.
#[test]
fn options_change_at_sighup() {
    // Given a proxy that answers checks
    let rig = rig(6, 1);
    let (a, b, c) = (rig.free().unwrap(), rig.free().unwrap(), rig.free().unwrap());
    let proxy = rig.start(1, Some(&Rig::options(a, b, 64, "")), None).unwrap();
    let ask = |at: SocketAddr| check(at, &Check::Http("/ready".into()), PATIENCE);
    until("it is ready", || ask(a).is_ok_and(|told| told.up));
    // When new options are contradictory, then nothing changes
    let config = rig.config(1);
    proxy.reload(&config, &Rig::options(c, c, 64, "")).unwrap();
    proxy.line(&["event=reload-failed", ":4: agent", "used by http too"]).unwrap();
    assert!(ask(a).unwrap().up && ask(c).is_err());
    // When an address is in use elsewhere, then nothing changes either
    let taken = TcpListener::bind((rig.own(), 0)).unwrap();
    proxy.reload(&config, &Rig::options(taken.local_addr().unwrap(), b, 64, "")).unwrap();
    proxy.line(&["event=reload-failed", "listening for http checks"]).unwrap();
    assert!(ask(a).unwrap().up);
    // When the options are valid, then the listener moves
    proxy.reload(&config, &Rig::options(c, b, 64, "<claims sum='all'/>")).unwrap();
    until("it moves", || ask(c).is_ok_and(|told| told.up) && ask(a).is_err());
    // When there is no health element, then reporting is off until there is one again
    proxy.reload(&config, "<birchreach-options/>").unwrap();
    until("it is off", || ask(c).is_err());
    assert!(operator(&proxy, "maintenance on").starts_with("NO no such call"));
    proxy.reload(&config, &Rig::options(a, b, 64, "")).unwrap();
    until("it is on again", || ask(a).is_ok_and(|told| told.up));
}

/// Runs the program; its exit status and what it printed.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(PROGRAM).env_remove("RELAY_CONFIG").args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap())
}

#[test]
fn operators_ask_and_set_maintenance() {
    // Given a proxy, then the program tells its health
    let rig = rig(7, 2);
    let proxy = rig.start_with_doors(1, 64, "").unwrap();
    let at = proxy.checks("http").unwrap().to_string();
    until("it is ready", || run(&["health", "--at", &at]).0 == Some(0));
    let (_, text) = run(&["health", "--at", &at]);
    assert!(text.starts_with("ready: able yes, weight 100%") && text.contains("class file-entry"), "{text}");
    let (code, json) = run(&["health", "--at", &at, "--json"]);
    assert!(code == Some(0) && json.starts_with("{\"state\":\"ready\""), "{json}");
    assert_eq!(run(&["health", "--at", &at, "--class", "file-entry", "--group", "1"]).0, Some(0));
    assert_eq!(run(&["health", "--at", &at, "--class", "none"]).0, Some(2));
    // When an operator sets maintenance, then balancers are told
    assert!(operator(&proxy, "maintenance on").starts_with("YES"));
    until("maintenance is reported", || agent(&proxy, "").text == "maint\n");
    let (code, text) = run(&["health", "--at", &at]);
    assert!(code == Some(1) && text.starts_with("maintenance: able no"), "{text}");
    // And clients that come all the same are served
    let mut client = Client::connect(proxy.clients().unwrap()).unwrap();
    assert!(matches!(client.read("tariff-lookup", 0, 2500).unwrap(), Reply::Served(_)));
    // When maintenance is over, then the proxy is up again
    assert!(operator(&proxy, "maintenance off").starts_with("YES"));
    until("it is back", || agent(&proxy, "").up);
    // When nothing answers, then the exit status says so
    drop(proxy);
    assert_eq!(run(&["health", "--at", &at, "--timeout", "500"]).0, Some(2));
    assert_eq!(run(&["health"]).0, Some(2));
}

#[test]
fn check_prints_every_fault_with_its_place() {
    // Given a configuration and options with faults, then each is printed with file and line
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let valid = include_str!("../../../example/config.json");
    let faulty =
        valid.replace("\"deadline_ms\": 1200.0", "\"deadline_ms\": 0").replace("127.0.0.1:6432", "here");
    let (json, xml) = (folder.join("check.json"), folder.join("check.xml"));
    std::fs::write(&json, faulty).unwrap();
    std::fs::write(&xml, "<birchreach-options>\n<health>\n<http listen='127.0.0.1:6433' callers='x'/>\n</health>\n</birchreach-options>").unwrap();
    let (json, xml) = (json.to_str().unwrap(), xml.to_str().unwrap());
    let (code, text) = run(&["check", "--config", json, "--options", xml]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len()), (Some(2), 3), "{text}");
    assert!(lines[0].starts_with(&format!("{json}:6: settings: classes[0].deadline_ms: ")), "{text}");
    assert!(lines[1].starts_with(&format!("{json}:1: listen: ")), "{text}");
    assert!(lines[2].starts_with(&format!("{xml}:3: http: callers: 'x' ")), "{text}");
    // Given options that use an address of the configuration, then that is a fault
    std::fs::write(json, valid).unwrap();
    std::fs::write(
        xml,
        Rig::options("127.0.0.1:6433".parse().unwrap(), "127.0.0.1:1".parse().unwrap(), 4, ""),
    )
    .unwrap();
    let (code, text) = run(&["check", "--config", json, "--options", xml]);
    assert!(
        code == Some(2) && text.contains(":3: http: listen: 127.0.0.1:6433 is used as operator already"),
        "{text}"
    );
    // Given a valid configuration, then there are no faults, but there may be warnings
    assert_eq!(run(&["check", "--config", json]), (Some(0), "no faults\n".into()));
    std::fs::write(json, valid.replace("\"my_zone\": 0,", "\"my_zone\": 7, \"my_rack\": 1,")).unwrap();
    let (code, text) = run(&["check", "--config", json]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((code, lines.len(), lines.last()), (Some(0), 3, Some(&"no faults")), "{text}");
    assert!(lines[0].starts_with(&format!("doubt: {json}:4: settings: my_rack: unknown")), "{text}");
    assert!(lines[1].starts_with(&format!("doubt: {json}:4: settings: my_zone: ")), "{text}");
    assert_eq!(run(&["check", "--config", "/none"]).0, Some(2));
}
