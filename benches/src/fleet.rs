//! 16 proxies and two late balancers in virtual time, one of the proxies losing half its core: the chart and the table of
//! what `health/tests/fleet.rs` asserts, beside the ways that were not taken.

use crate::Done;
use birchreach_health::{GroupId, HealthEvent, HealthSettings, Micros, Monitor, ServerId};
use plotters::prelude::*;
use std::path::Path;

const PROXIES: usize = 16;
const WEAK: usize = 5;
const TICK: Micros = 250_000;
const SECONDS: usize = 480;

/// How a weight is made of the pressure.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Step,
    Free,
    Loop,
}

struct Course {
    /// Use of the weak proxy and the mean of the others, by second.
    weak: Vec<f64>,
    others: Vec<f64>,
    weights: Vec<f64>,
}

fn play(way: Way, every: Micros, seed: u64) -> Course {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut monitors: Vec<Monitor> = (0..PROXIES)
        .map(|_| {
            let mut m = Monitor::new(HealthSettings::default(), 0);
            m.handle_event(
                0,
                HealthEvent::ServerListed {
                    server: ServerId(0),
                    group: GroupId(0),
                    primary: Some(true),
                    accepts_work: true,
                },
            );
            m
        })
        .collect();
    let mut read = [[100.0; PROXIES]; 2];
    let mut weight = [100.0f64; PROXIES];
    let mut course = Course { weak: Vec::new(), others: Vec::new(), weights: Vec::new() };
    for tick in 1..=(SECONDS as Micros * 1_000_000 / TICK) {
        let now = tick * TICK;
        let second = now / 1_000_000;
        let can = |n: usize| if n == WEAK && (120..300).contains(&second) { 0.5 } else { 1.0 };
        let mut used = [0.0; PROXIES];
        for r in &read {
            let sum: f64 = r.iter().sum();
            (0..PROXIES).for_each(|n| used[n] += 0.9 * PROXIES as f64 / 2.0 * r[n] / sum / can(n));
        }
        for n in 0..PROXIES {
            let pressure = (used[n] + 0.02 * (rng.f64() - 0.5)).min(1.0);
            monitors[n].handle_event(
                now,
                HealthEvent::Load { pressure, in_progress: 0, queued: 0, client_capacity: 0 },
            );
            monitors[n].update(now);
            weight[n] = match way {
                Way::Step => {
                    if pressure > 0.9 {
                        10.0
                    } else {
                        100.0
                    }
                }
                Way::Free => (100.0 * (1.0 - pressure)).round().max(1.0),
                Way::Loop => f64::from(monitors[n].verdict().overall.weight_percent),
            };
            for (b, r) in read.iter_mut().enumerate() {
                let turn = every / PROXIES as Micros * n as Micros + b as Micros * every / 2;
                if (now + turn) % every < TICK {
                    r[n] = weight[n];
                }
            }
        }
        if now % 1_000_000 == 0 {
            course.weak.push(used[WEAK]);
            course.others.push((used.iter().sum::<f64>() - used[WEAK]) / (PROXIES - 1) as f64);
            course.weights.push(weight[WEAK]);
        }
    }
    course
}

pub fn run(chart: &Path, seed: u64) -> Done {
    println!(
        "| way | balancers read every | use of the weak one, 60 s to 180 s after it lost half its core: least, most | the others, mean | its weight: least, most |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let mut drawn = Vec::new();
    for (name, way) in [
        ("a step at 0.9", Way::Step),
        ("free capacity at once", Way::Free),
        ("taken: droop and trim", Way::Loop),
    ] {
        for every in [1, 2, 5] {
            let course = play(way, every * 1_000_000, seed);
            let span = |v: &[f64]| {
                let part = &v[180..299];
                (part.iter().copied().fold(f64::MAX, f64::min), part.iter().copied().fold(0.0, f64::max))
            };
            let (weak, weights) = (span(&course.weak), span(&course.weights));
            let others = course.others[180..299].iter().sum::<f64>() / 119.0;
            println!(
                "| {name} | {every} s | {:.2}, {:.2} | {others:.2} | {:.0}, {:.0} |",
                weak.0, weak.1, weights.0, weights.1
            );
            if every == 2 {
                drawn.push((name, course));
            }
        }
    }
    if let Some(folder) = chart.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let root = SVGBackend::new(chart, (900, 420)).into_drawing_area();
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
    for ((name, course), color) in drawn.iter().zip([&RED, &BLUE, &BLACK]) {
        let line = course.weak.iter().enumerate().map(|(x, y)| (x, *y));
        plot.draw_series(LineSeries::new(line, color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    plot.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    println!("\nchart: {}", chart.display());
    Ok(())
}
