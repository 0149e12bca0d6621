//! `birchreach-proxy`: one proxy on real sockets before groups of a primary and its replicas.

mod admin_protocol;
mod background_query;
mod cli;
mod config;
mod core;
mod discovery;
mod fleet;
mod grpc;
mod handover_protocol;
mod health;
mod health_command;
mod hot;
mod log;
mod metrics;
mod net;
mod observe;
mod outbox;
mod peer_state;
mod pg;
mod reply;
mod split;
mod stats;

use clap::Parser;
use cli::{Cli, Command};
use std::fmt::Display;
use std::io::Write;

fn main() {
    let Cli { options, log_format, log_filter, command } = Cli::parse();
    match command {
        None | Some(Command::Serve) => {
            log::start(log_format, log_filter);
            // Before all else: until they are caught, signals end the process.
            let signals = net::signals().unwrap_or_else(|error| quit(&error, 1));
            let config = config::load(config::environment, options.as_deref());
            let config = config.unwrap_or_else(|message| quit(&message, 2));
            net::run(config, options, signals).unwrap_or_else(|error| quit(&error, 1));
        }
        Some(Command::Check(check)) => {
            let told = |name: &str| match &check.config {
                Some(path) if name == "RELAY_CONFIG" => path.to_str().map(Into::into),
                _ => config::environment(name),
            };
            let (faults, doubts) = config::check(told, options.as_deref());
            let mut text: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
            text.extend(doubts.iter().map(|doubt| format!("doubt: {doubt}\n")));
            if faults.is_empty() {
                text.push_str("no faults\n");
            }
            finish(if faults.is_empty() { 0 } else { 2 }, &text);
        }
        Some(Command::Health(health)) => {
            let options = options.map(|path| {
                let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
                let first =
                    |faults: Vec<birchreach_options::OptionsError>| faults.first().map(ToString::to_string);
                let read = text
                    .and_then(|t| birchreach_options::parse(&t).map_err(|f| first(f).unwrap_or_default()));
                read.unwrap_or_else(|why| {
                    quit(&format!("{}: {why}", path.display()), health_command::UNREACHED)
                })
            });
            let (code, text) = health_command::ask(&health, options.as_ref());
            finish(code, &text);
        }
    }
}

/// Prints and ends; whoever reads no further does not change the verdict.
fn finish(code: i32, text: &str) -> ! {
    let _ = std::io::stdout().write_all(text.as_bytes());
    std::process::exit(code)
}

fn quit(message: &dyn Display, code: i32) -> ! {
    eprintln!("birchreach-proxy: {message}");
    std::process::exit(code)
}
