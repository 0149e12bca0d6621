//! Runs the program with invalid configurations, and with a signal that arrives during its start.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");
const INVALID_CONFIGURATION: i32 = 2;
/// The number of log lines in which the failed reload must appear.
const MAX_LINES: usize = 40;

/// Returns a valid configuration. No discovery agent answers at the address in it.
fn valid_configuration() -> String {
    include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1")
}

/// Exit code and standard error of the program after it rejected a configuration.
struct Rejection {
    exit_code: Option<i32>,
    message: String,
}

/// An invalid or missing configuration.
struct InvalidConfiguration {
    /// The text of the file; `None` if no file is configured.
    text: Option<String>,
    /// The text that the message has to contain.
    expected: &'static str,
}

impl InvalidConfiguration {
    fn missing(expected: &'static str) -> InvalidConfiguration {
        InvalidConfiguration { text: None, expected }
    }

    fn text(text: &str, expected: &'static str) -> InvalidConfiguration {
        InvalidConfiguration { text: Some(text.into()), expected }
    }

    /// Replaces `old` in the valid configuration.
    fn changed(old: &str, new: &str, expected: &'static str) -> InvalidConfiguration {
        let text = valid_configuration().replace(old, new);
        InvalidConfiguration { text: Some(text), expected }
    }

    /// Starts the program and waits until it exits.
    fn rejection(&self, file_number: usize) -> Rejection {
        let mut command = Command::new(PROGRAM);
        command.env_remove("RELAY_CONFIG");
        if let Some(text) = &self.text {
            let path = format!("{}/invalid-{file_number}.json", env!("CARGO_TARGET_TMPDIR"));
            std::fs::write(&path, text).unwrap();
            command.env("RELAY_CONFIG", &path);
        }
        let output = command.output().unwrap();
        Rejection { exit_code: output.status.code(), message: String::from_utf8(output.stderr).unwrap() }
    }
}

#[test]
fn an_invalid_configuration_is_rejected_with_a_message_of_one_line() {
    // Given configurations with one error each.
    let configurations = [
        InvalidConfiguration::missing("RELAY_CONFIG is not set"),
        InvalidConfiguration::text("{", "invalid JSON: "),
        InvalidConfiguration::changed("\"listen\"", "\"listens\"", "listen: missing"),
        InvalidConfiguration::changed(
            "\"listen\": \"127.0.0.1:0\"",
            "\"listen\": \"here\"",
            "listen: expected an IP address",
        ),
        InvalidConfiguration::changed("\"settings\"", "\"set\"", "settings: missing"),
        InvalidConfiguration::changed("\"cold_ms\"", "\"warm_ms\"", "obligations.cold_ms: missing"),
        InvalidConfiguration::changed(
            "\"rev\"",
            "\"ref\"",
            "known: invalid endpoint list: missing field `rev`",
        ),
        InvalidConfiguration::changed(
            "\"sockets\": 40",
            "\"sockets\": 4",
            "limits.sockets: expected an integer of at least 40, found 4",
        ),
    ];
    for (file_number, configuration) in configurations.iter().enumerate() {
        // When the program starts with one of them.
        let Rejection { exit_code, message } = configuration.rejection(file_number);

        // Then it exits with one line that names the error.
        let expected = configuration.expected;
        assert_eq!(exit_code, Some(INVALID_CONFIGURATION), "{expected}: {message}");
        assert_eq!(message.lines().count(), 1, "{expected}: {message}");
        assert!(message.contains(expected) && !message.contains("panicked"), "{expected}: {message}");
    }
}

/// SIGHUP terminates a process that does not catch it. The program opens the pipe only when it reads its configuration,
/// so that the test can send the signal at that moment. The program must handle the signal as soon as it serves.
#[test]
fn a_hangup_during_the_start_causes_a_reload_and_does_not_terminate_the_program() {
    // Given a program that has begun to read its configuration, and an invalid file that a reload reads instead.
    let path = format!("{}/early", env!("CARGO_TARGET_TMPDIR"));
    create_pipe(&path);
    let mut program =
        Command::new(PROGRAM).env("RELAY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "{").unwrap();

    // When the signal arrives before the program has read the configuration.
    send_hangup(&program);
    pipe.write_all(valid_configuration().as_bytes()).unwrap();
    drop(pipe);

    // Then the program serves with the configuration from the pipe, and the reload of the invalid file fails.
    let lines = BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok);
    let reload_failed = lines.take(MAX_LINES).any(|line| line.starts_with("event=reload-failed"));
    let _ = program.kill();
    let _ = program.wait();
    assert!(reload_failed, "the program has logged no failed reload");
}

/// Creates a named pipe, after removing the file that an earlier run left at the path.
fn create_pipe(path: &str) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn send_hangup(program: &Child) {
    let pid = program.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
}
