//! `birchreach-proxy`: a proxy for groups of one PostgreSQL primary and its replicas.

mod admin_protocol;
mod background_query;
mod cli;
mod config;
mod core;
mod discovery;
mod fleet;
mod grpc;
mod handover_protocol;
mod hash;
mod health;
mod health_command;
mod hot;
mod log;
mod memory;
mod metrics;
mod net;
mod observe;
mod outbox;
mod peer_state;
mod pg;
mod reply;
mod split;
mod startup_retry;
mod stats;
mod system_error;
mod units;

use clap::Parser;
use cli::{Cli, Command};
use config::CheckReport;
use log::Quoted;
use memory::CountingAllocator;
use startup_retry::StartupRetry;
use std::fmt::Display;
use std::io::Write;
use std::path::Path;
use tracing::error;

/// The exit code if the proxy cannot start or cannot continue.
const EXIT_FAILURE: i32 = 1;
/// The exit code if the configuration or the options are invalid.
const EXIT_INVALID_CONFIGURATION: i32 = 2;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    let Cli { options, log_format, log_filter, command } = Cli::parse();
    let options = options.as_deref();
    match command {
        None | Some(Command::Serve) => {
            memory::configure_allocator();
            log::init(log_format, log_filter);
            log_panics();
            serve(options);
        }
        Some(Command::Check(arguments)) => check(&arguments, options),
        Some(Command::Health(arguments)) => health(&arguments, options),
    }
}

/// Serves clients until a graceful shutdown is complete.
fn serve(options: Option<&Path>) {
    // Signal handlers are installed first, because a signal without a handler terminates the process.
    let retry = StartupRetry::begin();
    let signals =
        retry.run("signals", net::signals).unwrap_or_else(|error| end_with_error(&error, EXIT_FAILURE));
    let config = retry
        .run("configuration", || config::load(config::environment, options))
        .unwrap_or_else(|error| exit_with_error(&error, EXIT_INVALID_CONFIGURATION));
    net::run(config, options.map(Path::to_path_buf), signals, retry)
        .unwrap_or_else(|error| end_with_error(&error, EXIT_FAILURE));
}

/// Logs the place of a panic, which ends the process, beside the message on standard error.
fn log_panics() {
    let print_message = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let location = panic.location().map(tracing::field::display);
        error!(event = "panicked", location);
        print_message(panic);
    }));
}

/// Logs why the process ends, prints the error and exits.
fn end_with_error(error: &dyn Display, code: i32) -> ! {
    error!(event = "failed", code, error = %Quoted(error));
    exit_with_error(error, code)
}

/// Executes the command `check`: prints the errors and warnings about the configuration and the options.
fn check(arguments: &cli::CheckArguments, options: Option<&Path>) {
    let variable = |name: &str| match &arguments.config {
        Some(path) if name == config::CONFIG_VARIABLE => path.to_str().map(Into::into),
        _ => config::environment(name),
    };
    let CheckReport { errors, warnings } = config::check(variable, options);
    let mut text: String = errors.iter().map(|error| format!("{error}\n")).collect();
    text.extend(warnings.iter().map(|warning| format!("doubt: {warning}\n")));
    if errors.is_empty() {
        text.push_str("no faults\n");
    }
    print_and_exit(if errors.is_empty() { 0 } else { EXIT_INVALID_CONFIGURATION }, &text);
}

/// Executes the command `health`: prints the health of a running proxy.
fn health(arguments: &cli::HealthArguments, options: Option<&Path>) {
    let options = options.map(|file| match health_command::read_options(file) {
        Ok(options) => options,
        Err(error) => exit_with_error(&error, health_command::EXIT_NO_ANSWER),
    });
    let (code, text) = health_command::run(arguments, options.as_ref());
    print_and_exit(code, &text);
}

/// Prints a text to standard output and exits. A failure to print does not change the exit code.
fn print_and_exit(code: i32, text: &str) -> ! {
    let _ = std::io::stdout().write_all(text.as_bytes());
    std::process::exit(code)
}

/// Prints an error to standard error and exits.
fn exit_with_error(error: &dyn Display, code: i32) -> ! {
    eprintln!("birchreach-proxy: {error}");
    std::process::exit(code)
}
