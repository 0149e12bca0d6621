//! Simulates 16 proxies and two balancers in virtual time. One proxy loses half its core; the balancers read the weights of the
//! proxies at intervals, so they act on old weights. The chart and the table show what `health/tests/` asserts about the fleet,
//! and compare the policy of the health monitor with two alternatives that were not chosen.

mod simulation;

use crate::MeasurementResult;
use birchreach_health::Micros;
use plotters::prelude::*;
use simulation::{FleetHistory, MICROS_PER_SECOND, Policy, SECONDS, Simulation};
use std::ops::Range;
use std::path::Path;

/// The seconds that the table covers, from 60 s after the loss.
const TABLE_SECONDS: Range<usize> = 180..299;
const BALANCER_INTERVALS_S: [Micros; 3] = [1, 2, 5];
const CHART_INTERVAL_S: Micros = 2;
const CHART_SIZE_PIXELS: (u32, u32) = (900, 420);
/// Length of the line sample before each name in the legend.
const LEGEND_LINE_PIXELS: i32 = 20;

const POLICIES: [Policy; 3] = [Policy::Step, Policy::FreeCapacity, Policy::Monitor];

/// Simulates all policies, prints the table and draws the chart.
pub(crate) fn run(chart: &Path, seed: u64) -> MeasurementResult {
    println!(
        "| way | balancers read every | use of the weak one, 60 s to 180 s after it lost half its core: least, most | the others, mean | its weight: least, most |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let mut curves = Vec::new();
    for policy in POLICIES {
        for interval_s in BALANCER_INTERVALS_S {
            let history = Simulation::new(policy, interval_s * MICROS_PER_SECOND, seed).run();
            print_row(policy, interval_s, &history);
            if interval_s == CHART_INTERVAL_S {
                curves.push(Curve { policy, history });
            }
        }
    }
    draw(chart, &curves)?;
    println!("\nchart: {}", chart.display());
    Ok(())
}

fn print_row(policy: Policy, interval_s: Micros, history: &FleetHistory) {
    let usage = Extremes::of(&history.degraded_usage[TABLE_SECONDS]);
    let weight = Extremes::of(&history.degraded_weight[TABLE_SECONDS]);
    let others = history.other_usage[TABLE_SECONDS].iter().sum::<f64>() / TABLE_SECONDS.len() as f64;
    println!(
        "| {} | {interval_s} s | {:.2}, {:.2} | {others:.2} | {:.0}, {:.0} |",
        policy.name(),
        usage.min,
        usage.max,
        weight.min,
        weight.max
    );
}

/// Minimum and maximum of a set of values, none of which is negative.
struct Extremes {
    min: f64,
    max: f64,
}

impl Extremes {
    fn of(values: &[f64]) -> Extremes {
        let values = values.iter().copied();
        Extremes { min: values.clone().fold(f64::MAX, f64::min), max: values.fold(0.0, f64::max) }
    }
}

/// The usage curve of one policy in the chart.
struct Curve {
    policy: Policy,
    history: FleetHistory,
}

fn draw(chart: &Path, curves: &[Curve]) -> MeasurementResult {
    if let Some(folder) = chart.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let root = SVGBackend::new(chart, CHART_SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut plot = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..SECONDS, 0.0..2.0)?;
    plot.configure_mesh()
        .x_desc("seconds; one proxy of 16 has half its core from 120 to 300")
        .y_desc("use of that proxy (1 = all it can)")
        .light_line_style(WHITE)
        .draw()?;
    for (curve, color) in curves.iter().zip([&RED, &BLUE, &BLACK]) {
        let line = curve.history.degraded_usage.iter().enumerate().map(|(second, usage)| (second, *usage));
        plot.draw_series(LineSeries::new(line, color))?
            .label(curve.policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], color));
    }
    plot.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
