//! Definition of the command line: commands, arguments and their help texts. Other modules execute the commands.

#[cfg(test)]
mod tests;

use crate::log::LogFormat;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing_subscriber::filter::Targets;

/// A proxy for groups of one PostgreSQL primary and its replicas
///
/// Clients use the PostgreSQL protocol, as with a database. The proxy sends writes to the primary. It sends each read
/// to the replica with the fewest outstanding requests among those that have the required data. Without a command, the
/// proxy serves clients.
#[derive(Debug, Parser)]
#[command(name = "birchreach-proxy", version, max_term_width = 100, after_long_help = ENVIRONMENT)]
pub(crate) struct Cli {
    /// XML file with the options that are not part of the platform's configuration (see deploy/options.xml); without
    /// it, all of them are switched off
    #[arg(long, global = true, value_name = "FILE")]
    pub options: Option<PathBuf>,
    /// Format of the log lines on standard error
    #[arg(long, global = true, value_enum, default_value_t)]
    pub log_format: LogFormat,
    /// Log lines to write: a level, or levels by module, such as warn,birchreach_proxy::net::pool=info
    #[arg(long, global = true, value_name = "FILTER", default_value = "info")]
    pub log_filter: Targets,
    #[command(subcommand)]
    pub command: Option<Command>,
}

const ENVIRONMENT: &str = "\
Environment:
  RELAY_CONFIG        path of the platform's configuration, a JSON file; required to serve
  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY, RELAY_OPERATOR
                      used for the keys name, listen, discovery and operator if the file does not contain them
  RELAY_INHERITED_FD  file descriptor of the listening socket for clients, if the proxy inherits it from the platform

Signals:
  SIGTERM, SIGINT     graceful shutdown: the proxy answers the accepted requests before it exits
  SIGHUP              reload configuration and options; if there is an error, nothing changes";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve clients until a signal stops the proxy (the default)
    Serve,
    /// Check configuration and options, and print each error with file, line and element; exit 2 if there are errors.
    /// Warnings, for example about unknown keys, are printed too and do not change the exit code
    Check(CheckArguments),
    /// Print the health of a running proxy; exit 0 if it is available, 1 if not, 2 if that cannot be determined, for
    /// example because the proxy does not answer
    Health(HealthArguments),
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// Path of the platform's configuration; by default that in $RELAY_CONFIG
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Args, Debug)]
pub(crate) struct HealthArguments {
    /// Address of the proxy's listener for HTTP health checks; by default that in the options file
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub at: Option<SocketAddr>,
    /// Report only on this request class
    #[arg(long, value_name = "NAME")]
    pub class: Option<String>,
    /// Report only on this group
    #[arg(long, value_name = "N")]
    pub group: Option<u32>,
    /// Print the answer of the proxy unchanged, in JSON
    #[arg(long)]
    pub json: bool,
    /// Maximum time to wait for the answer, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 2000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub timeout: u64,
}
