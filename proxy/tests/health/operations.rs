//! What operators do: change options, ask for the health, set maintenance, check a configuration.

use crate::support::{PROGRAM, admin_call, agent_check, new_rig, wait_until};
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::MAX_WAIT;
use birchreach_test_support::rig::Rig;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

/// Options are taken as a whole or not at all; addresses change, and health reporting is switched off and on.
#[test]
fn options_change_at_sighup() {
    // Given a proxy that answers checks
    let rig = new_rig(6, 1);
    let [http, agent, other_http] = std::array::from_fn(|_| rig.free_address().unwrap());
    let proxy = rig.start(1, Some(&Rig::health_options(http, agent, 64, "")), None).unwrap();
    let check_ready = |address: SocketAddr| run_check(address, &Check::Http("/ready".into()), MAX_WAIT);
    wait_until("it is ready", || check_ready(http).is_ok_and(|answer| answer.up));
    // When new options are contradictory, then nothing changes
    let config = rig.config(1);
    proxy.reload(&config, &Rig::health_options(other_http, other_http, 64, "")).unwrap();
    proxy
        .wait_for_log_line(&[
            "event=reload-failed",
            ":4: agent: listen: ",
            " is already used by the element http",
        ])
        .unwrap();
    assert!(check_ready(http).unwrap().up && check_ready(other_http).is_err());
    // When an address is in use elsewhere, then nothing changes either
    let taken = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
    proxy.reload(&config, &Rig::health_options(taken.local_addr().unwrap(), agent, 64, "")).unwrap();
    proxy.wait_for_log_line(&["event=reload-failed", "cannot listen for http checks"]).unwrap();
    assert!(check_ready(http).unwrap().up);
    // When the options are valid, then the listener moves
    proxy.reload(&config, &Rig::health_options(other_http, agent, 64, "<claims sum='all'/>")).unwrap();
    wait_until("it moves", || {
        check_ready(other_http).is_ok_and(|answer| answer.up) && check_ready(http).is_err()
    });
    // When there is no health element, then reporting is off until there is one again
    proxy.reload(&config, "<birchreach-options/>").unwrap();
    wait_until("it is off", || check_ready(other_http).is_err());
    assert!(admin_call(&proxy, "maintenance on").starts_with("NO no such call"));
    proxy.reload(&config, &Rig::health_options(http, agent, 64, "")).unwrap();
    wait_until("it is on again", || check_ready(http).is_ok_and(|answer| answer.up));
}

/// What a run of the program left.
#[derive(Debug, PartialEq, Eq)]
struct CommandResult {
    exit_code: Option<i32>,
    /// Standard output, then standard error.
    text: String,
}

/// Runs the program with these arguments and without a configuration of its own.
fn run_program(arguments: &[&str]) -> CommandResult {
    let output = Command::new(PROGRAM).env_remove("RELAY_CONFIG").args(arguments).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    CommandResult { exit_code: output.status.code(), text }
}

/// Runs the program's command `health` for the proxy whose HTTP checks are at this address.
fn run_health(address: &str, arguments: &[&str]) -> CommandResult {
    run_program(&[&["health", "--at", address], arguments].concat())
}

#[test]
fn operators_ask_and_set_maintenance() {
    // Given a proxy, then the program tells its health
    let rig = new_rig(7, 2);
    let proxy = rig.start_with_checks(1, 64, "").unwrap();
    let address = proxy.check_address("http").unwrap().to_string();
    wait_until("it is ready", || run_health(&address, &[]).exit_code == Some(0));
    let CommandResult { text, .. } = run_health(&address, &[]);
    assert!(text.starts_with("ready: able yes, weight 100%") && text.contains("class file-entry"), "{text}");
    let CommandResult { exit_code, text: json } = run_health(&address, &["--json"]);
    assert!(exit_code == Some(0) && json.starts_with("{\"state\":\"ready\""), "{json}");
    assert_eq!(run_health(&address, &["--class", "file-entry", "--group", "1"]).exit_code, Some(0));
    assert_eq!(run_health(&address, &["--class", "none"]).exit_code, Some(2));
    // When an operator sets maintenance, then balancers are told
    assert!(admin_call(&proxy, "maintenance on").starts_with("YES"));
    wait_until("maintenance is reported", || agent_check(&proxy, "").text == "maint\n");
    let CommandResult { exit_code, text } = run_health(&address, &[]);
    assert!(exit_code == Some(1) && text.starts_with("maintenance: able no"), "{text}");
    // And clients that come all the same are served
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    assert!(matches!(client.read("tariff-lookup", 0, 2500).unwrap(), Reply::Served(_)));
    // When maintenance is over, then the proxy is up again
    assert!(admin_call(&proxy, "maintenance off").starts_with("YES"));
    wait_until("it is back", || agent_check(&proxy, "").up);
    // When nothing answers, then the exit status says so
    drop(proxy);
    assert_eq!(run_health(&address, &["--timeout", "500"]).exit_code, Some(2));
    assert_eq!(run_program(&["health"]).exit_code, Some(2));
}

/// A configuration without faults.
const VALID_CONFIG: &str = include_str!("../../../example/config.json");

/// A configuration file and an options file for the program's command `check`.
struct CheckedFiles {
    config: String,
    options: String,
}

impl CheckedFiles {
    /// Writes both; their names begin with `name`.
    fn write(name: &str, config_text: &str, options_text: &str) -> CheckedFiles {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let write = |ending: &str, text: &str| {
            let path = folder.join(format!("{name}.{ending}"));
            std::fs::write(&path, text).unwrap();
            path.to_str().unwrap().to_string()
        };
        CheckedFiles { config: write("json", config_text), options: write("xml", options_text) }
    }

    fn check(&self) -> CommandResult {
        run_program(&["check", "--config", &self.config, "--options", &self.options])
    }

    fn check_config_alone(&self) -> CommandResult {
        run_program(&["check", "--config", &self.config])
    }
}

#[test]
fn check_prints_every_fault_with_its_place() {
    // Given a configuration and options with faults
    let faulty_config = VALID_CONFIG
        .replace("\"deadline_ms\": 1200.0", "\"deadline_ms\": 0")
        .replace("127.0.0.1:6432", "here");
    let faulty_options = "<birchreach-options>\n<health>\n<http listen='127.0.0.1:6433' callers='x'/>\n</health>\n</birchreach-options>";
    let files = CheckedFiles::write("check-faulty", &faulty_config, faulty_options);
    // When they are checked, then each fault is printed with file and line
    let CommandResult { exit_code, text } = files.check();
    let lines: Vec<&str> = text.lines().collect();
    let CheckedFiles { config, options } = &files;
    assert_eq!((exit_code, lines.len()), (Some(2), 3), "{text}");
    assert!(lines[0].starts_with(&format!("{config}:6: settings: classes[0].deadline_ms: ")), "{text}");
    assert!(lines[1].starts_with(&format!("{config}:1: listen: ")), "{text}");
    assert!(lines[2].starts_with(&format!("{options}:3: http: callers: 'x' ")), "{text}");
}

#[test]
fn check_finds_an_address_that_configuration_and_options_both_use() {
    // Given options that use an address of the configuration
    let (http, agent) = ("127.0.0.1:6433".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    let files = CheckedFiles::write("check-address", VALID_CONFIG, &Rig::health_options(http, agent, 4, ""));
    // When they are checked, then that is a fault
    let CommandResult { exit_code, text } = files.check();
    assert!(
        exit_code == Some(2)
            && text.contains(
                ":3: http: listen: 127.0.0.1:6433 is already used as operator in the platform's configuration"
            ),
        "{text}"
    );
}

#[test]
fn check_of_a_valid_configuration_prints_warnings_alone() {
    // Given a valid configuration, then there are no faults
    let files = CheckedFiles::write("check-valid", VALID_CONFIG, "");
    let no_faults = CommandResult { exit_code: Some(0), text: "no faults\n".into() };
    assert_eq!(files.check_config_alone(), no_faults);
    // Given one that is odd but valid, then there are warnings
    let odd_config = VALID_CONFIG.replace("\"my_zone\": 0,", "\"my_zone\": 7, \"my_rack\": 1,");
    let files = CheckedFiles::write("check-odd", &odd_config, "");
    let CommandResult { exit_code, text } = files.check_config_alone();
    let lines: Vec<&str> = text.lines().collect();
    let config = &files.config;
    assert_eq!((exit_code, lines.len(), lines.last()), (Some(0), 3, Some(&"no faults")), "{text}");
    assert!(lines[0].starts_with(&format!("doubt: {config}:4: settings: my_rack: unknown")), "{text}");
    assert!(lines[1].starts_with(&format!("doubt: {config}:4: settings: my_zone: ")), "{text}");
    // Given no configuration, then that is a fault
    assert_eq!(run_program(&["check", "--config", "/none"]).exit_code, Some(2));
}
