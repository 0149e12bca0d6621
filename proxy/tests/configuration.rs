//! The built program with configurations that it cannot read, and with a signal that comes early.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");
const INVALID_CONFIGURATION: i32 = 2;
/// More lines than the program logs until it has handled the signal.
const MAX_LINES: usize = 40;

/// A configuration without faults. Nothing answers at its discovery's address.
fn valid_configuration() -> String {
    include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1")
}

/// How the program refused a configuration.
struct Refusal {
    exit_code: Option<i32>,
    message: String,
}

/// A configuration that cannot be read, or none at all.
struct InvalidConfiguration {
    text: Option<String>,
    /// What the message has to name.
    named: &'static str,
}

impl InvalidConfiguration {
    /// No configuration.
    fn missing(named: &'static str) -> InvalidConfiguration {
        InvalidConfiguration { text: None, named }
    }

    /// This text.
    fn text(text: &str, named: &'static str) -> InvalidConfiguration {
        InvalidConfiguration { text: Some(text.into()), named }
    }

    /// The valid configuration with a change.
    fn changed(old: &str, new: &str, named: &'static str) -> InvalidConfiguration {
        let text = valid_configuration().replace(old, new);
        InvalidConfiguration { text: Some(text), named }
    }

    /// Starts the program, which is expected to end by itself.
    fn refusal(&self, file_number: usize) -> Refusal {
        let mut command = Command::new(PROGRAM);
        command.env_remove("RELAY_CONFIG");
        if let Some(text) = &self.text {
            let path = format!("{}/invalid-{file_number}.json", env!("CARGO_TARGET_TMPDIR"));
            std::fs::write(&path, text).unwrap();
            command.env("RELAY_CONFIG", &path);
        }
        let output = command.output().unwrap();
        Refusal { exit_code: output.status.code(), message: String::from_utf8(output.stderr).unwrap() }
    }
}

#[test]
fn a_configuration_that_cannot_be_read_is_refused_in_one_plain_line() {
    // Given configurations with one fault each.
    let configurations = [
        InvalidConfiguration::missing("RELAY_CONFIG"),
        InvalidConfiguration::text("{", "not JSON"),
        InvalidConfiguration::changed("\"listen\"", "\"listens\"", "listen"),
        InvalidConfiguration::changed("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"here\"", "listen"),
        InvalidConfiguration::changed("\"settings\"", "\"set\"", "settings"),
        InvalidConfiguration::changed("\"cold_ms\"", "\"warm_ms\"", "obligations.cold_ms"),
        InvalidConfiguration::changed("\"rev\"", "\"ref\"", "rev"),
        InvalidConfiguration::changed("\"sockets\": 40", "\"sockets\": 4", "sockets"),
    ];
    for (file_number, configuration) in configurations.iter().enumerate() {
        // When the program starts with each.
        let Refusal { exit_code, message } = configuration.refusal(file_number);

        // Then it ends with one line that names the fault.
        let named = configuration.named;
        assert_eq!(exit_code, Some(INVALID_CONFIGURATION), "{named}: {message}");
        assert_eq!(message.lines().count(), 1, "{named}: {message}");
        assert!(message.contains(named) && !message.contains("panicked"), "{named}: {message}");
    }
}

/// The program opens the pipe for reading only when it reads its configuration: a signal that comes then waits until it serves.
#[test]
fn a_hangup_before_the_start_is_over_does_not_end_the_program() {
    // Given a program that has begun to read its configuration, in whose place a reload finds a faulty one.
    let path = format!("{}/early", env!("CARGO_TARGET_TMPDIR"));
    create_pipe(&path);
    let mut program =
        Command::new(PROGRAM).env("RELAY_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "{").unwrap();

    // When the signal comes before the configuration.
    send_hangup(&program);
    pipe.write_all(valid_configuration().as_bytes()).unwrap();
    drop(pipe);

    // Then the program serves with the configuration that it has read, and the reload fails.
    let lines = BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok);
    let reload_failed = lines.take(MAX_LINES).any(|line| line.starts_with("event=reload-failed"));
    let _ = program.kill();
    let _ = program.wait();
    assert!(reload_failed, "it serves on with the configuration that it has");
}

/// Creates a named pipe in place of a file that an earlier run left.
fn create_pipe(path: &str) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn send_hangup(program: &Child) {
    let pid = program.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
}
