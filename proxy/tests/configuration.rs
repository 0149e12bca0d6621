//! What the built program makes of configurations that it cannot read, and of signals that come early.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

/// Starts the program on a configuration, which it is to refuse.
fn refusal(config: Option<&str>) -> (Option<i32>, String) {
    let path = format!("{}/bad-{}.json", env!("CARGO_TARGET_TMPDIR"), config.map_or(0, str::len));
    let _ = config.map(|text| std::fs::write(&path, text));
    let mut command = Command::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    command.env_remove("RELAY_CONFIG");
    if config.is_some() {
        command.env("RELAY_CONFIG", &path);
    }
    let out = command.output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

#[test]
fn a_configuration_that_cannot_be_read_is_refused_in_one_plain_line() {
    let whole = include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1");
    for (config, names) in [
        (None, "RELAY_CONFIG"),
        (Some("{".to_string()), "not JSON"),
        (Some(whole.replace("\"listen\"", "\"listens\"")), "listen"),
        (Some(whole.replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"here\"")), "listen"),
        (Some(whole.replace("\"settings\"", "\"set\"")), "settings"),
        (Some(whole.replace("\"cold_ms\"", "\"warm_ms\"")), "obligations.cold_ms"),
        (Some(whole.replace("\"rev\"", "\"ref\"")), "rev"),
        (Some(whole.replace("\"sockets\": 40", "\"sockets\": 4")), "sockets"),
    ] {
        let (code, text) = refusal(config.as_deref());
        assert_eq!(code, Some(2), "{names}: {text}");
        assert!(text.lines().count() == 1 && text.contains(names) && !text.contains("panicked"), "{text}");
    }
}

/// The reader of a pipe is there only once the program has come to read its configuration: a signal that
/// comes then waits until it serves.
#[test]
fn a_hangup_before_the_start_is_over_does_not_end_the_program() {
    let path = format!("{}/early", env!("CARGO_TARGET_TMPDIR"));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut program = Command::new(env!("CARGO_BIN_EXE_birchreach-proxy"))
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "{").unwrap();
    assert!(Command::new("kill").args(["-HUP", &program.id().to_string()]).status().unwrap().success());
    let config = include_str!("exchanges/config.json").replace("$agent", "127.0.0.1:1");
    pipe.write_all(config.as_bytes()).unwrap();
    drop(pipe);
    let lines = BufReader::new(program.stderr.take().unwrap()).lines().map_while(Result::ok);
    let seen = lines.take(40).any(|l| l.starts_with("event=reload-failed"));
    let _ = program.kill();
    let _ = program.wait();
    assert!(seen, "it goes on, and keeps the configuration that it has");
}
