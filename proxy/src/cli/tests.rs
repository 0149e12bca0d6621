//! Checks how command lines are parsed.

use super::*;
use clap::CommandFactory;

#[test]
fn the_command_line_definition_is_consistent() {
    // Given the definition, when clap checks it, then clap finds no error
    Cli::command().debug_assert();
}

#[test]
fn the_default_command_is_serve_without_options() {
    // Given a command line without a command, when it is parsed
    let serve = Cli::parse_from(["birchreach-proxy"]);

    // Then it has neither a command nor options
    assert!(serve.command.is_none() && serve.options.is_none());
}

#[test]
fn a_global_argument_can_follow_a_command() {
    // Given a command line with a global argument at its end
    let arguments =
        ["birchreach-proxy", "health", "--at", "127.0.0.1:1", "--group", "3", "--log-format", "json"];

    // When the command line is parsed
    let Cli { command: Some(Command::Health(health)), log_format, .. } = Cli::parse_from(arguments) else {
        panic!("another command")
    };

    // Then the result has the arguments of the command and the global argument
    assert_eq!((health.group, health.timeout, log_format), (Some(3), 2000, LogFormat::Json));
}

#[test]
fn an_unknown_log_level_is_rejected() {
    // Given a filter with an unknown level, when the command line is parsed, then it is rejected
    assert!(Cli::try_parse_from(["birchreach-proxy", "--log-filter", "birchreach_proxy=loud"]).is_err());
}
