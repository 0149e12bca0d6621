//! Long measurements of the built proxy against the test databases and clients of `test-support`. Measurements
//! draw their random numbers from a seed, print Markdown tables, draw SVG charts, and end by themselves. Build the workspace in
//! release mode first. CI runs none of the measurements, because they report times and assert nothing about them.

mod cost;
mod crowd;
mod fleet;
mod gain;
mod hangs;
mod log_lines;
mod process_cpu;
mod scale;
mod schedules;
mod times;
mod view;

use clap::{Parser, Subcommand};
use scale::ScaleSettings;
use std::path::{Path, PathBuf};

/// Result of a measurement, whose tables go to standard output.
type MeasurementResult = Result<(), Box<dyn std::error::Error>>;

#[derive(Parser)]
#[command(
    name = "birchreach-measure",
    about = "Measures the built proxy against simulated databases and clients"
)]
struct Cli {
    /// Path of the proxy executable to measure
    #[arg(long, global = true, default_value = "target/release/birchreach-proxy")]
    program: PathBuf,
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Time from a primary's hang to the changed health check response, and false withdrawals in runs without a hang
    Hangs {
        #[arg(long, default_value_t = 208)]
        hangs: usize,
        /// Duration of each run without a hang, in seconds
        #[arg(long, default_value_t = 30)]
        calm: u64,
    },
    /// Response times of health checks while many clients and misbehaving checkers load the proxy
    Crowd {
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Processor time of health checks, and their effect on requests
    Cost {
        #[arg(long, default_value_t = 5)]
        rounds: u32,
    },
    /// Processor time of a log line, compared with another build of the proxy, while clients connect and disconnect
    Lines {
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 5)]
        rounds: u32,
    },
    /// Weights of 16 proxies behind two balancers that read them at intervals, in virtual time; draws a chart
    Fleet {
        #[arg(long, default_value = "docs/measured/health-fleet.svg")]
        chart: PathBuf,
    },
    /// Gain from copies of a hot key, in virtual time: without copies, with copies and with an oracle; draws a chart
    Gain {
        #[arg(long, default_value = "docs/measured/hot-gain.svg")]
        chart: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "5,40,300")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// Seeded fault schedules, each on four processes with hot keys and a shard split; prints those that fail
    Schedules {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 20)]
        to: u64,
        #[arg(long, default_value_t = 8)]
        side_by_side: usize,
    },
    /// Settling time, false removals and cost of the membership view in a fleet of real processes
    View {
        #[arg(long, default_value_t = 40)]
        processes: usize,
    },
    /// Resources that a proxy needs under the same load as the endpoint list grows from 120 to 3,200 databases
    Scale {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..))]
        rounds: u32,
        /// Duration of each run in seconds
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Requests per second of all clients together
        #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u32).range(1..))]
        rate: u32,
        /// Number of groups at every size; without it, the number grows with the databases
        #[arg(long, value_parser = clap::value_parser!(u32).range(1..=40))]
        groups: Option<u32>,
    },
}

fn main() -> MeasurementResult {
    let cli = Cli::parse();
    let folder = std::env::temp_dir().join(format!("birchreach-measure-{}", std::process::id()));
    let program = std::fs::canonicalize(&cli.program).unwrap_or(cli.program);
    let result = cli.measurement.run(&program, &folder, cli.seed);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

impl Measurement {
    /// Measures `program`, whose files are kept in `folder`.
    fn run(self, program: &Path, folder: &Path, seed: u64) -> MeasurementResult {
        match self {
            Measurement::Hangs { hangs, calm } => hangs::run(program, folder, hangs, calm, seed),
            Measurement::Crowd { seconds } => crowd::run(program, folder, seconds),
            Measurement::Cost { rounds } => cost::run(program, folder, rounds),
            Measurement::Lines { against, rounds } => log_lines::run(program, &against, folder, rounds),
            Measurement::Fleet { chart } => fleet::run(&chart, seed),
            Measurement::Gain { chart, proxies, seeds } => gain::run(&chart, &proxies, seeds),
            Measurement::Schedules { from, to, side_by_side } => {
                schedules::run(program, folder, from..=to, side_by_side)
            }
            Measurement::View { processes } => view::run(program, folder, processes, seed),
            Measurement::Scale { rounds, seconds, rate: requests_per_second, groups } => scale::run(
                program,
                folder,
                ScaleSettings { rounds, seconds, requests_per_second, groups, seed },
            ),
        }
    }
}
