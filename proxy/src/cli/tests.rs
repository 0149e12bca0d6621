//! What command lines are read as.

use super::*;
use clap::CommandFactory;

#[test]
fn the_definition_is_consistent() {
    Cli::command().debug_assert();
}

#[test]
fn without_a_command_it_serves_without_options() {
    let serve = Cli::parse_from(["birchreach-proxy"]);

    assert!(serve.command.is_none() && serve.options.is_none());
}

#[test]
fn global_arguments_may_follow_a_command() {
    let arguments =
        ["birchreach-proxy", "health", "--at", "127.0.0.1:1", "--group", "3", "--log-format", "json"];

    let Cli { command: Some(Command::Health(health)), log_format, .. } = Cli::parse_from(arguments) else {
        panic!("another command")
    };

    assert_eq!((health.group, health.timeout, log_format), (Some(3), 2000, Format::Json));
}

#[test]
fn an_unknown_log_level_is_rejected() {
    assert!(Cli::try_parse_from(["birchreach-proxy", "--log-filter", "birchreach_proxy=loud"]).is_err());
}
