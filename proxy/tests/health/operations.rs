//! Tasks of operators: changing options, querying the health, setting maintenance, checking a configuration.

use crate::support::{PROGRAM, admin_call, agent_check, new_rig, wait_until};
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::MAX_WAIT;
use birchreach_test_support::rig::Rig;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

/// A reload applies all of the options or none of them. It can move a listener, and disable and enable health reporting.
#[test]
fn a_reload_applies_valid_options_completely_and_rejects_invalid_ones() {
    // Given a proxy that answers checks
    let rig = new_rig(6, 1);
    let [http, agent, other_http] = std::array::from_fn(|_| rig.free_address().unwrap());
    let proxy = rig.start(1, Some(&Rig::health_options(http, agent, 64, "")), None).unwrap();
    let check_ready = |address: SocketAddr| run_check(address, &Check::Http("/ready".into()), MAX_WAIT);
    wait_until("the proxy is ready", || check_ready(http).is_ok_and(|answer| answer.up));
    // When new options conflict with each other, then nothing changes
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
    // When another process uses an address of the new options, then nothing changes
    let taken = TcpListener::bind((rig.loopback_address(), 0)).unwrap();
    proxy.reload(&config, &Rig::health_options(taken.local_addr().unwrap(), agent, 64, "")).unwrap();
    proxy.wait_for_log_line(&["event=reload-failed", "cannot listen for http checks"]).unwrap();
    assert!(check_ready(http).unwrap().up);
    // When the options are valid, then the listener moves
    proxy.reload(&config, &Rig::health_options(other_http, agent, 64, "<claims sum='all'/>")).unwrap();
    wait_until("the listener moves", || {
        check_ready(other_http).is_ok_and(|answer| answer.up) && check_ready(http).is_err()
    });
    // When the options have no health element, then health reporting is disabled until they have one again
    proxy.reload(&config, "<birchreach-options/>").unwrap();
    wait_until("health reporting is disabled", || check_ready(other_http).is_err());
    assert!(admin_call(&proxy, "maintenance on").starts_with("NO no such call"));
    proxy.reload(&config, &Rig::health_options(http, agent, 64, "")).unwrap();
    wait_until("health reporting is enabled again", || check_ready(http).is_ok_and(|answer| answer.up));
}

/// Exit code and output of a run of the program.
#[derive(Debug, PartialEq, Eq)]
struct CommandResult {
    exit_code: Option<i32>,
    /// Standard output, followed by standard error.
    text: String,
}

/// Runs the program with the arguments and without the environment variable that names a configuration.
fn run_program(arguments: &[&str]) -> CommandResult {
    let output = Command::new(PROGRAM).env_remove("RELAY_CONFIG").args(arguments).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    CommandResult { exit_code: output.status.code(), text }
}

/// Runs the command `health` for the proxy whose listener for HTTP checks is at the address.
fn run_health(address: &str, arguments: &[&str]) -> CommandResult {
    run_program(&[&["health", "--at", address], arguments].concat())
}

#[test]
fn the_health_command_reports_readiness_and_maintenance() {
    // Given a proxy, when it is ready, then the command `health` reports this
    let rig = new_rig(7, 2);
    let proxy = rig.start_with_checks(1, 64, "").unwrap();
    let address = proxy.check_address("http").unwrap().to_string();
    wait_until("the proxy is ready", || run_health(&address, &[]).exit_code == Some(0));
    let CommandResult { text, .. } = run_health(&address, &[]);
    assert!(text.starts_with("ready: able yes, weight 100%") && text.contains("class file-entry"), "{text}");
    let CommandResult { exit_code, text: json } = run_health(&address, &["--json"]);
    assert!(exit_code == Some(0) && json.starts_with("{\"state\":\"ready\""), "{json}");
    assert_eq!(run_health(&address, &["--class", "file-entry", "--group", "1"]).exit_code, Some(0));
    assert_eq!(run_health(&address, &["--class", "none"]).exit_code, Some(2));
    // When an operator enables maintenance, then health checks report it
    assert!(admin_call(&proxy, "maintenance on").starts_with("YES"));
    wait_until("maintenance is reported", || agent_check(&proxy, "").text == "maint\n");
    let CommandResult { exit_code, text } = run_health(&address, &[]);
    assert!(exit_code == Some(1) && text.starts_with("maintenance: able no"), "{text}");
    // And clients are still served
    let mut client = Client::connect(proxy.client_address().unwrap()).unwrap();
    assert!(matches!(client.read("tariff-lookup", 0, 2500).unwrap(), Reply::Served(_)));
    // When an operator disables maintenance, then the proxy is up again
    assert!(admin_call(&proxy, "maintenance off").starts_with("YES"));
    wait_until("the proxy is up again", || agent_check(&proxy, "").up);
    // When no process answers, or the address is missing, then the exit code is 2
    drop(proxy);
    assert_eq!(run_health(&address, &["--timeout", "500"]).exit_code, Some(2));
    assert_eq!(run_program(&["health"]).exit_code, Some(2));
}

/// A configuration without errors.
const VALID_CONFIG: &str = include_str!("../../../example/config.json");

/// A configuration file and an options file for the program's command `check`.
struct CheckedFiles {
    config: String,
    options: String,
}

impl CheckedFiles {
    /// Writes both files. Their names begin with `name`.
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
fn check_prints_every_error_with_its_file_and_line() {
    // Given a configuration with two errors and options with one error
    let invalid_config = VALID_CONFIG
        .replace("\"deadline_ms\": 1200.0", "\"deadline_ms\": 0")
        .replace("127.0.0.1:6432", "here");
    let invalid_options = "<birchreach-options>\n<health>\n<http listen='127.0.0.1:6433' callers='x'/>\n</health>\n</birchreach-options>";
    let files = CheckedFiles::write("check-invalid", &invalid_config, invalid_options);
    // When they are checked, then each error is printed with file and line
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
    // When they are checked, then the conflict is printed as an error
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
fn check_of_a_valid_configuration_prints_only_warnings() {
    // Given a valid configuration, when it is checked, then no error is printed
    let files = CheckedFiles::write("check-valid", VALID_CONFIG, "");
    let no_errors = CommandResult { exit_code: Some(0), text: "no faults\n".into() };
    assert_eq!(files.check_config_alone(), no_errors);
    // Given a valid configuration with an unknown key and an implausible value, when it is checked, then warnings are printed
    let suspicious_config = VALID_CONFIG.replace("\"my_zone\": 0,", "\"my_zone\": 7, \"my_rack\": 1,");
    let files = CheckedFiles::write("check-suspicious", &suspicious_config, "");
    let CommandResult { exit_code, text } = files.check_config_alone();
    let lines: Vec<&str> = text.lines().collect();
    let config = &files.config;
    assert_eq!((exit_code, lines.len(), lines.last()), (Some(0), 3, Some(&"no faults")), "{text}");
    assert!(lines[0].starts_with(&format!("doubt: {config}:4: settings: my_rack: unknown")), "{text}");
    assert!(lines[1].starts_with(&format!("doubt: {config}:4: settings: my_zone: ")), "{text}");
    // Given a path without a file, when it is checked, then the exit code is 2
    assert_eq!(run_program(&["check", "--config", "/none"]).exit_code, Some(2));
}
