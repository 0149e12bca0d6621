//! The built program with configurations that it cannot read, and with a signal that comes early.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");
const INVALID_CONFIGURATION: i32 = 2;
/// More lines than the program logs until it has handled the signal.
const MAX_LINES: usize = 40;

/// A configuration without faults. Nothing answers at its discovery's address.
fn valid_configuration() -> String {
    include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1")
}

struct Refusal {
    code: Option<i32>,
    message: String,
}

/// Starts the program on a configuration, or on none, which it is expected to refuse.
fn refusal(number: usize, config: Option<&str>) -> Refusal {
    let mut command = Command::new(PROGRAM);
    command.env_remove("RELAY_CONFIG");
    if let Some(config) = config {
        let path = format!("{}/invalid-{number}.json", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, config).unwrap();
        command.env("RELAY_CONFIG", &path);
    }
    let output = command.output().unwrap();
    Refusal { code: output.status.code(), message: String::from_utf8(output.stderr).unwrap() }
}

#[test]
fn a_configuration_that_cannot_be_read_is_refused_in_one_plain_line() {
    let valid = valid_configuration();
    let cases = [
        (None, "RELAY_CONFIG"),
        (Some("{".to_string()), "not JSON"),
        (Some(valid.replace("\"listen\"", "\"listens\"")), "listen"),
        (Some(valid.replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"here\"")), "listen"),
        (Some(valid.replace("\"settings\"", "\"set\"")), "settings"),
        (Some(valid.replace("\"cold_ms\"", "\"warm_ms\"")), "obligations.cold_ms"),
        (Some(valid.replace("\"rev\"", "\"ref\"")), "rev"),
        (Some(valid.replace("\"sockets\": 40", "\"sockets\": 4")), "sockets"),
    ];
    for (number, (config, named)) in cases.into_iter().enumerate() {
        let Refusal { code, message } = refusal(number, config.as_deref());

        assert_eq!(code, Some(INVALID_CONFIGURATION), "{named}: {message}");
        assert_eq!(message.lines().count(), 1, "{named}: {message}");
        assert!(message.contains(named) && !message.contains("panicked"), "{named}: {message}");
    }
}

/// The program opens the pipe for reading only when it reads its configuration: a signal that comes then waits until it serves.
#[test]
fn a_hangup_before_the_start_is_over_does_not_end_the_program() {
    let path = format!("{}/early", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut program =
        Command::new(PROGRAM).env("RELAY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    // What the reload finds in place of the pipe is faulty.
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "{").unwrap();

    assert!(Command::new("kill").args(["-HUP", &program.id().to_string()]).status().unwrap().success());
    pipe.write_all(valid_configuration().as_bytes()).unwrap();
    drop(pipe);

    let lines = BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok);
    let reload_failed = lines.take(MAX_LINES).any(|line| line.starts_with("event=reload-failed"));
    let _ = program.kill();
    let _ = program.wait();
    assert!(reload_failed, "it serves on with the configuration that it has");
}
