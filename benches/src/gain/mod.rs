//! What copies of a hot key gain, on virtual time with the program's own decisions: without copies, with them, and with those of
//! an oracle, side by side from the same seeds. Draws a chart.

mod attempts;
mod background_queries;
mod chart;
mod classes;
mod events;
mod proxies;
mod requests;
mod servers;
mod simulation;

use crate::MeasurementResult;
use simulation::{CopyCounts, CopyMode, Scenario, Simulation};
use std::path::Path;

const RUN_SECONDS: usize = 40;
/// Seconds at the start of a run that means leave out.
const WARM_UP_SECONDS: usize = 5;
const LAST_SECONDS: usize = 10;
const PARTITION_SECOND: usize = 20;
const MICROS_PER_SECOND: i64 = 1_000_000;
const HOT_READS_PER_S: f64 = 900.0;
/// Fewer than make a key hot.
const MODERATE_READS_PER_S: f64 = 60.0;
/// The oracle's gain is no measure of ours where it is less than this.
const MIN_ORACLE_GAIN: f64 = 0.02;
/// A second without requests has a fraction of zero.
const MIN_REQUESTED_WEIGHT: f64 = 1e-9;
/// The chart shows runs of this seed.
const CHART_SEED: u64 = 1;

/// A run of one mode.
struct Run {
    /// Priority weight served of that requested, of the hot key's group, by second.
    served_fractions: Vec<f64>,
    copies: CopyCounts,
}

/// Runs of all modes from one seed.
struct ModeRuns {
    off: Run,
    on: Run,
    oracle: Run,
}

/// The runs that the chart shows of one number of proxies.
struct ChartRuns {
    proxies: usize,
    runs: ModeRuns,
}

/// Sums over seeds: mean served fractions, and copies of the mode `On`.
#[derive(Default)]
struct Sums {
    off: f64,
    on: f64,
    oracle: f64,
    on_last_seconds: f64,
    copies: CopyCounts,
}

/// Simulates all scenarios, prints the table and draws the chart.
pub(crate) fn run(chart: &Path, fleet_sizes: &[usize], seeds: u64) -> MeasurementResult {
    println!(
        "| proxies | reads/s of the key | cut into halves at 20 s | off | on | oracle | way to the oracle | on, last 10 s | copies written | read from copies | misses |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut shown = Vec::new();
    for &proxies in fleet_sizes {
        for scenario in scenarios(proxies) {
            let mut sums = Sums::default();
            for seed in 1..=seeds {
                let runs = simulate_modes(&scenario, seed);
                sums.add(&runs);
                if seed == CHART_SEED && scenario.is_in_chart() {
                    shown.push(ChartRuns { proxies, runs });
                }
            }
            print_row(&scenario, &sums, seeds);
        }
    }
    chart::draw(chart, &shown)
}

fn scenarios(proxies: usize) -> [Scenario; 3] {
    [
        Scenario { proxies, hot_reads_per_s: HOT_READS_PER_S, has_partition: false },
        Scenario { proxies, hot_reads_per_s: HOT_READS_PER_S, has_partition: true },
        Scenario { proxies, hot_reads_per_s: MODERATE_READS_PER_S, has_partition: false },
    ]
}

impl Scenario {
    fn is_in_chart(&self) -> bool {
        self.hot_reads_per_s == HOT_READS_PER_S && !self.has_partition
    }
}

fn simulate_modes(scenario: &Scenario, seed: u64) -> ModeRuns {
    ModeRuns {
        off: simulate(CopyMode::Off, scenario, seed),
        on: simulate(CopyMode::On, scenario, seed),
        oracle: simulate(CopyMode::Oracle, scenario, seed),
    }
}

fn simulate(mode: CopyMode, scenario: &Scenario, seed: u64) -> Run {
    let mut simulation = Simulation::new(mode, scenario, seed);
    let mut served_fractions = Vec::new();
    for second in 0..RUN_SECONDS {
        if scenario.has_partition && second == PARTITION_SECOND {
            simulation.is_partitioned = true;
        }
        let before = simulation.weights;
        simulation.advance(MICROS_PER_SECOND);
        let served = simulation.weights.served - before.served;
        let requested = simulation.weights.requested - before.requested;
        served_fractions.push(served / requested.max(MIN_REQUESTED_WEIGHT));
    }
    Run { served_fractions, copies: simulation.copies }
}

impl Run {
    fn mean_from(&self, second: usize) -> f64 {
        let fractions = &self.served_fractions[second..];
        fractions.iter().sum::<f64>() / fractions.len() as f64
    }
}

impl Sums {
    fn add(&mut self, runs: &ModeRuns) {
        self.off += runs.off.mean_from(WARM_UP_SECONDS);
        self.on += runs.on.mean_from(WARM_UP_SECONDS);
        self.oracle += runs.oracle.mean_from(WARM_UP_SECONDS);
        self.on_last_seconds += runs.on.mean_from(RUN_SECONDS - LAST_SECONDS);
        self.copies.written += runs.on.copies.written;
        self.copies.read += runs.on.copies.read;
        self.copies.missed += runs.on.copies.missed;
    }
}

fn print_row(scenario: &Scenario, sums: &Sums, seeds: u64) {
    let mean = |sum: f64| sum / seeds as f64;
    let (off, on, oracle) = (mean(sums.off), mean(sums.on), mean(sums.oracle));
    let on_last_seconds = mean(sums.on_last_seconds);
    let gain_of_oracle = if oracle - off > MIN_ORACLE_GAIN {
        format!("{:.0}%", (on_last_seconds - off) / (oracle - off) * 100.0)
    } else {
        "-".into()
    };
    println!(
        "| {} | {:.0} | {} | {off:.3} | {on:.3} | {oracle:.3} | {gain_of_oracle} | {on_last_seconds:.3} | {} | {} | {} |",
        scenario.proxies,
        scenario.hot_reads_per_s,
        if scenario.has_partition { "yes" } else { "no" },
        sums.copies.written / seeds,
        sums.copies.read / seeds,
        sums.copies.missed / seeds
    );
}
