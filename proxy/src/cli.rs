//! The command line: which command, and how to log. It defines the words and their help; the commands are carried out elsewhere.

#[cfg(test)]
mod tests;

use crate::log::LogFormat;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing_subscriber::filter::Targets;

/// A proxy before groups of one PostgreSQL primary and its replicas
///
/// Clients speak PostgreSQL's protocol to it as to a database. Writes go to the primary, each read to the replica that
/// has the data it needs and the fewest requests out. Without a command it serves.
#[derive(Debug, Parser)]
#[command(name = "birchreach-proxy", version, max_term_width = 100, after_long_help = ENVIRONMENT)]
pub(crate) struct Cli {
    /// Options beside the platform's configuration, in XML (see deploy/options.xml); without it all of that is off
    #[arg(long, global = true, value_name = "FILE")]
    pub options: Option<PathBuf>,
    /// How log lines are written to standard error
    #[arg(long, global = true, value_enum, default_value_t)]
    pub log_format: LogFormat,
    /// Which log lines are written: a level, or levels by module, as warn,birchreach_proxy::net::pool=info
    #[arg(long, global = true, value_name = "FILTER", default_value = "info")]
    pub log_filter: Targets,
    #[command(subcommand)]
    pub command: Option<Command>,
}

const ENVIRONMENT: &str = "\
Environment:
  RELAY_CONFIG        the platform's configuration, a JSON file; required to serve
  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY, RELAY_OPERATOR
                      stand in for name, listen, discovery and operator where the file lacks them
  RELAY_INHERITED_FD  the descriptor of the clients' listening socket, where the platform holds it

Signals:
  SIGTERM, SIGINT     stop gently: what was taken is answered first
  SIGHUP              read configuration and options again; of faulty ones nothing is taken";

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve clients until told to stop (the default)
    Serve,
    /// Read configuration and options, print every fault with file, line and element; exit 2 if there is one.
    /// Doubts, such as keys that nothing knows, are printed too and do no harm
    Check(CheckArguments),
    /// Ask a running proxy how it is; exit 0 if it is able, 1 if not, 2 if it was not reached
    Health(HealthArguments),
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// The platform's configuration; $RELAY_CONFIG if left out
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

#[derive(Args, Debug)]
pub(crate) struct HealthArguments {
    /// The proxy's HTTP health address; that of the options file if left out
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub at: Option<SocketAddr>,
    /// Ask for this class of requests alone
    #[arg(long, value_name = "NAME")]
    pub class: Option<String>,
    /// Ask for this group alone
    #[arg(long, value_name = "N")]
    pub group: Option<u32>,
    /// Print the answer as it came, in JSON
    #[arg(long)]
    pub json: bool,
    /// How long to wait for the answer, in milliseconds
    #[arg(long, value_name = "MS", default_value_t = 2000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    pub timeout: u64,
}
