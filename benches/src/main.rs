//! Long measurements of the built proxy against the stand-ins. Seeds go in, Markdown tables and SVG charts come out; each
//! ends by itself. Build everything in release first. None of it runs in CI: times are measured here and not asserted.

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

/// How a measurement ends, once its tables are printed.
type MeasurementResult = Result<(), Box<dyn std::error::Error>>;

#[derive(Parser)]
#[command(name = "birchreach-measure", about = "Measures the built proxy against stand-ins")]
struct Cli {
    /// The program to measure
    #[arg(long, global = true, default_value = "target/release/birchreach-proxy")]
    program: PathBuf,
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// From a primary's hang to the changed answer; and false withdrawals in calm and heavy runs
    Hangs {
        #[arg(long, default_value_t = 208)]
        hangs: usize,
        /// Seconds of each run without a hang
        #[arg(long, default_value_t = 30)]
        calm: u64,
    },
    /// Answers to balancers while clients and rude callers crowd the proxy
    Crowd {
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// What checks cost, and what requests lose by them
    Cost {
        #[arg(long, default_value_t = 5)]
        rounds: u32,
    },
    /// What a log line costs: another program of this project beside this one, under clients that come and go
    Lines {
        #[arg(long)]
        against: PathBuf,
        #[arg(long, default_value_t = 5)]
        rounds: u32,
    },
    /// Weights of 16 proxies before two late balancers, in virtual time; draws a chart
    Fleet {
        #[arg(long, default_value = "docs/measured/health-fleet.svg")]
        chart: PathBuf,
    },
    /// What copies of a hot key gain, on virtual time: off, on and an oracle; draws a chart
    Gain {
        #[arg(long, default_value = "docs/measured/hot-gain.svg")]
        chart: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "5,40,300")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// Seeded schedules of faults on four processes each, with hot keys and a split: what was broken, if anything was
    Schedules {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 20)]
        to: u64,
        #[arg(long, default_value_t = 8)]
        side_by_side: usize,
    },
    /// How long the view of a fleet of real processes takes to settle, whom it removes wrongly, and what it costs
    View {
        #[arg(long, default_value_t = 40)]
        processes: usize,
    },
    /// What a proxy costs as its fleet grows from 120 to 3,200 databases, under the same load
    Scale {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..))]
        rounds: u32,
        /// Seconds of each run
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Requests a second over all clients
        #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u32).range(1..))]
        rate: u32,
        /// Groups at every size; without it they grow in proportion
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
    /// Runs the measurement of a program, with a folder for its files.
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
