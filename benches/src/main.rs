//! Long measurements of the built proxy against the stand-ins. Seeds go in, Markdown tables and SVG charts come out; each
//! ends by itself. Build everything in release first. None of it runs in CI: times are measured here and not asserted.

mod cost;
mod crowd;
mod fleet;
mod gain;
mod hangs;
mod schedules;
mod view;

use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "birchreach-measure", about = "Measures the built proxy against stand-ins")]
struct Cli {
    /// The program to measure
    #[arg(long, global = true, default_value = "target/release/birchreach-proxy")]
    program: PathBuf,
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
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
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let cli = Cli::parse();
    let folder = std::env::temp_dir().join(format!("birchreach-measure-{}", std::process::id()));
    let program = std::fs::canonicalize(&cli.program).unwrap_or(cli.program);
    let done = match cli.what {
        What::Hangs { hangs, calm } => hangs::run(&program, &folder, hangs, calm, cli.seed),
        What::Crowd { seconds } => crowd::run(&program, &folder, seconds),
        What::Cost { rounds } => cost::run(&program, &folder, rounds),
        What::Lines { against, rounds } => cost::lines(&program, &against, &folder, rounds),
        What::Schedules { from, to, side_by_side } => {
            schedules::run(&program, &folder, from, to, side_by_side)
        }
        What::Gain { chart, proxies, seeds } => gain::run(&chart, &proxies, seeds),
        What::View { processes } => view::run(&program, &folder, processes, cli.seed),
        What::Fleet { chart } => fleet::run(&chart, cli.seed),
    };
    let _ = std::fs::remove_dir_all(&folder);
    done
}

/// What a measurement ends with, once its tables are printed.
pub type Done = Result<(), Box<dyn std::error::Error>>;

/// Times in microseconds.
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        let mut times = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        times.auto(true);
        Times(times)
    }
}

impl Times {
    /// Records one time.
    pub fn add(&mut self, time: Duration) {
        let _ = self.0.record(time.as_micros() as u64);
    }

    /// Adds all times of another record.
    pub fn join(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    /// `n | median | 99th percentile | most`, in milliseconds.
    pub fn row(&self) -> String {
        let ms = |us: u64| format!("{:.2}", us as f64 / 1000.0);
        let at = |q| ms(self.0.value_at_quantile(q));
        format!("{} | {} | {} | {}", self.0.len(), at(0.5), at(0.99), ms(self.0.max()))
    }

    /// How many times were recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
