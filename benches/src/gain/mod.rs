//! Measures the gain from copies of a hot key in virtual time, with the proxy's own decisions. Each seed is run in three modes:
//! without copies, with copies, and with the copies of an oracle. Prints a table and draws a chart.

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
/// Seconds at the start of a run that are excluded from means.
const WARM_UP_SECONDS: usize = 5;
const LAST_SECONDS: usize = 10;
const PARTITION_SECOND: usize = 20;
const MICROS_PER_SECOND: i64 = 1_000_000;
const HOT_READS_PER_S: f64 = 900.0;
/// A read rate too low to make a key hot.
const MODERATE_READS_PER_S: f64 = 60.0;
/// Gain of the oracle below which the gain is not reported as a fraction of the oracle's.
const MIN_ORACLE_GAIN: f64 = 0.02;
/// Lower limit of the divisor, so that a second without requests has a served fraction of zero.
const MIN_REQUESTED_WEIGHT: f64 = 1e-9;
/// Seed of the runs in the chart.
const CHART_SEED: u64 = 1;

/// The result of a run in one mode.
struct Run {
    /// For each second, the priority weight served in the hot key's group, divided by the weight requested.
    served_fractions: Vec<f64>,
    copies: CopyCounts,
}

/// The results of all modes with one seed.
struct ModeRuns {
    off: Run,
    on: Run,
    oracle: Run,
}

/// The runs in the chart's diagram of one fleet size.
struct ChartRuns {
    proxies: usize,
    runs: ModeRuns,
}

/// Sums over the seeds of a scenario: mean served fractions of each mode, and counts of copies in the mode [`CopyMode::On`].
#[derive(Default)]
struct ScenarioSums {
    off: f64,
    on: f64,
    oracle: f64,
    /// Mean served fraction of the mode [`CopyMode::On`] in the last seconds of a run.
    on_last_seconds: f64,
    copies: CopyCounts,
}

/// Simulates all scenarios, prints the table and draws the chart.
pub(crate) fn run(chart: &Path, fleet_sizes: &[usize], seeds: u64) -> MeasurementResult {
    println!(
        "| proxies | reads/s of the key | cut into halves at 20 s | off | on | oracle | way to the oracle | on, last 10 s | copies written | read from copies | misses |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut charted_runs = Vec::new();
    for &proxies in fleet_sizes {
        for scenario in scenarios(proxies) {
            let mut sums = ScenarioSums::default();
            for seed in 1..=seeds {
                let runs = simulate_modes(&scenario, seed);
                sums.add(&runs);
                if seed == CHART_SEED && scenario.is_in_chart() {
                    charted_runs.push(ChartRuns { proxies, runs });
                }
            }
            print_row(&scenario, &sums, seeds);
        }
    }
    chart::draw(chart, &charted_runs)
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

impl ScenarioSums {
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

fn print_row(scenario: &Scenario, sums: &ScenarioSums, seeds: u64) {
    let mean = |sum: f64| sum / seeds as f64;
    let (off, on, oracle) = (mean(sums.off), mean(sums.on), mean(sums.oracle));
    let on_last_seconds = mean(sums.on_last_seconds);
    let fraction_of_oracle_gain = if oracle - off > MIN_ORACLE_GAIN {
        format!("{:.0}%", (on_last_seconds - off) / (oracle - off) * 100.0)
    } else {
        "-".into()
    };
    println!(
        "| {} | {:.0} | {} | {off:.3} | {on:.3} | {oracle:.3} | {fraction_of_oracle_gain} | {on_last_seconds:.3} | {} | {} | {} |",
        scenario.proxies,
        scenario.hot_reads_per_s,
        if scenario.has_partition { "yes" } else { "no" },
        sums.copies.written / seeds,
        sums.copies.read / seeds,
        sums.copies.missed / seeds
    );
}
