//! 16 proxies and two late balancers in virtual time, one of the proxies losing half its core: the chart and the table of what
//! `health/tests/` asserts of the fleet, beside policies that were not chosen.

use crate::Done;
use birchreach_health::{GroupId, HealthEvent, HealthSettings, Micros, Monitor, ServerId};
use plotters::prelude::*;
use std::ops::Range;
use std::path::Path;

const PROXIES: usize = 16;
const BALANCERS: usize = 2;
/// The proxy that loses half its core.
const WEAK: usize = 5;
const TICK_MICROS: Micros = 250_000;
const MICROS_PER_SECOND: Micros = 1_000_000;
const SECONDS: usize = 480;
const WEAK_SECONDS: Range<Micros> = 120..300;
/// Of these seconds the table tells: from 60 s after the loss on.
const TABLE_SECONDS: Range<usize> = 180..299;
const LOAD_PER_PROXY: f64 = 0.9;
const NOISE: f64 = 0.02;
const BALANCER_INTERVALS_S: [Micros; 3] = [1, 2, 5];
const CHART_INTERVAL_S: Micros = 2;
const CHART_SIZE: (u32, u32) = (900, 420);

/// How the weight follows the pressure.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Step,
    FreeCapacity,
    Monitor,
}

const POLICIES: [(&str, Policy); 3] = [
    ("a step at 0.9", Policy::Step),
    ("free capacity at once", Policy::FreeCapacity),
    ("taken: droop and trim", Policy::Monitor),
];

impl Policy {
    fn weight(self, pressure: f64, monitor: &Monitor) -> f64 {
        match self {
            Policy::Step => {
                if pressure > 0.9 {
                    10.0
                } else {
                    100.0
                }
            }
            Policy::FreeCapacity => (100.0 * (1.0 - pressure)).round().max(1.0),
            Policy::Monitor => f64::from(monitor.verdict().overall.weight_percent),
        }
    }
}

/// A run, second by second.
#[derive(Default)]
struct Course {
    weak_usage: Vec<f64>,
    /// Mean of the other proxies.
    other_usage: Vec<f64>,
    weak_weight: Vec<f64>,
}

fn new_monitor() -> Monitor {
    let mut monitor = Monitor::new(HealthSettings::default(), 0);
    let listed = HealthEvent::ServerListed {
        server: ServerId(0),
        group: GroupId(0),
        primary: Some(true),
        accepts_work: true,
    };
    monitor.handle_event(0, listed);
    monitor
}

/// What each proxy carries, by the weights that the balancers last read.
fn usage(read_weights: &[[f64; PROXIES]; BALANCERS], second: Micros) -> [f64; PROXIES] {
    let capacity = |proxy: usize| if proxy == WEAK && WEAK_SECONDS.contains(&second) { 0.5 } else { 1.0 };
    let load_per_balancer = LOAD_PER_PROXY * PROXIES as f64 / BALANCERS as f64;
    let mut used = [0.0; PROXIES];
    for weights in read_weights {
        let sum: f64 = weights.iter().sum();
        for (proxy, used) in used.iter_mut().enumerate() {
            *used += load_per_balancer * weights[proxy] / sum / capacity(proxy);
        }
    }
    used
}

/// Plays a policy with balancers that read each proxy's weight at this interval, each at its own time.
fn play(policy: Policy, interval: Micros, seed: u64) -> Course {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut monitors: Vec<Monitor> = (0..PROXIES).map(|_| new_monitor()).collect();
    let mut read_weights = [[100.0; PROXIES]; BALANCERS];
    let mut weights = [100.0f64; PROXIES];
    let mut course = Course::default();
    for tick in 1..=(SECONDS as Micros * MICROS_PER_SECOND / TICK_MICROS) {
        let now = tick * TICK_MICROS;
        let used = usage(&read_weights, now / MICROS_PER_SECOND);
        for proxy in 0..PROXIES {
            let pressure = (used[proxy] + NOISE * (rng.f64() - 0.5)).min(1.0);
            let load = HealthEvent::Load { pressure, in_progress: 0, queued: 0, client_capacity: 0 };
            monitors[proxy].handle_event(now, load);
            monitors[proxy].update(now);
            weights[proxy] = policy.weight(pressure, &monitors[proxy]);
            for (balancer, read) in read_weights.iter_mut().enumerate() {
                let offset =
                    interval / PROXIES as Micros * proxy as Micros + balancer as Micros * interval / 2;
                if (now + offset) % interval < TICK_MICROS {
                    read[proxy] = weights[proxy];
                }
            }
        }
        if now % MICROS_PER_SECOND == 0 {
            course.weak_usage.push(used[WEAK]);
            course.other_usage.push((used.iter().sum::<f64>() - used[WEAK]) / (PROXIES - 1) as f64);
            course.weak_weight.push(weights[WEAK]);
        }
    }
    course
}

/// Plays all policies, prints the table and draws the chart.
pub fn run(chart: &Path, seed: u64) -> Done {
    println!(
        "| way | balancers read every | use of the weak one, 60 s to 180 s after it lost half its core: least, most | the others, mean | its weight: least, most |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let mut drawn = Vec::new();
    for (name, policy) in POLICIES {
        for interval_s in BALANCER_INTERVALS_S {
            let course = play(policy, interval_s * MICROS_PER_SECOND, seed);
            print_row(name, interval_s, &course);
            if interval_s == CHART_INTERVAL_S {
                drawn.push((name, course));
            }
        }
    }
    draw(chart, &drawn)?;
    println!("\nchart: {}", chart.display());
    Ok(())
}

fn print_row(name: &str, interval_s: Micros, course: &Course) {
    let extremes = |values: &[f64]| {
        let values = values[TABLE_SECONDS].iter().copied();
        (values.clone().fold(f64::MAX, f64::min), values.fold(0.0, f64::max))
    };
    let (usage, weight) = (extremes(&course.weak_usage), extremes(&course.weak_weight));
    let others = course.other_usage[TABLE_SECONDS].iter().sum::<f64>() / TABLE_SECONDS.len() as f64;
    println!(
        "| {name} | {interval_s} s | {:.2}, {:.2} | {others:.2} | {:.0}, {:.0} |",
        usage.0, usage.1, weight.0, weight.1
    );
}

fn draw(chart: &Path, courses: &[(&'static str, Course)]) -> Done {
    if let Some(folder) = chart.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let root = SVGBackend::new(chart, CHART_SIZE).into_drawing_area();
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
    for ((name, course), color) in courses.iter().zip([&RED, &BLUE, &BLACK]) {
        let line = course.weak_usage.iter().enumerate().map(|(second, usage)| (second, *usage));
        plot.draw_series(LineSeries::new(line, color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    plot.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
