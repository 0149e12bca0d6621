//! What copies of a hot key gain, on virtual time with the program's own decisions: off, on, and an oracle that knows the key from the
//! start and whose copies cost nothing; side by side from the same seeds. Draws a chart.

mod background_queries;
mod proxies;
mod requests;
mod servers;
mod world;

use crate::Done;
use plotters::prelude::*;
use std::path::Path;
pub use world::{Mode, World};

/// Seconds of a run, and those left out while it begins.
const SPAN: i64 = 40;
const BEGINS: i64 = 5;

/// Share of the worth asked for of the hot group that was served, by second.
fn play(mode: Mode, proxies: usize, seed: u64, hot: f64, cut: bool) -> (Vec<f64>, [u64; 3]) {
    let mut world = World::new(mode, proxies, seed, hot);
    let mut seconds = Vec::new();
    for second in 0..SPAN {
        if cut && second == 20 {
            world.cut = true;
        }
        let before = world.worth;
        world.pass(1_000_000);
        let (served, asked) = (world.worth.0 - before.0, world.worth.1 - before.1);
        seconds.push(served / asked.max(1e-9));
    }
    (seconds, world.copies)
}

fn mean(seconds: &[f64]) -> f64 {
    seconds.iter().sum::<f64>() / seconds.len().max(1) as f64
}

pub fn run(chart: &Path, sizes: &[usize], seeds: u64) -> Done {
    println!(
        "| proxies | reads/s of the key | cut into halves at 20 s | off | on | oracle | way to the oracle | on, last 10 s | copies written | read from copies | misses |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut curves = Vec::new();
    for &proxies in sizes {
        for (hot, cut) in [(900.0, false), (900.0, true), (60.0, false)] {
            let mut sums = [0.0; 4];
            let mut copies = [0; 3];
            for seed in 1..=seeds {
                let [off, on, oracle] =
                    [Mode::Off, Mode::On, Mode::Oracle].map(|mode| play(mode, proxies, seed, hot, cut));
                let from = BEGINS as usize;
                sums[0] += mean(&off.0[from..]);
                sums[1] += mean(&on.0[from..]);
                sums[2] += mean(&oracle.0[from..]);
                sums[3] += mean(&on.0[(SPAN - 10) as usize..]);
                (0..3).for_each(|n| copies[n] += on.1[n]);
                if seed == 1 && hot > 100.0 && !cut {
                    curves.push((proxies, off.0, on.0, oracle.0));
                }
            }
            let [off, on, oracle, last] = sums.map(|sum| sum / seeds as f64);
            let way = if oracle - off > 0.02 {
                format!("{:.0}%", (last - off) / (oracle - off) * 100.0)
            } else {
                "-".into()
            };
            println!(
                "| {proxies} | {hot:.0} | {} | {off:.3} | {on:.3} | {oracle:.3} | {way} | {last:.3} | {} | {} | {} |",
                if cut { "yes" } else { "no" },
                copies[0] / seeds,
                copies[1] / seeds,
                copies[2] / seeds
            );
        }
    }
    draw(chart, &curves)
}

type Curve = (usize, Vec<f64>, Vec<f64>, Vec<f64>);

fn draw(chart: &Path, curves: &[Curve]) -> Done {
    let root = SVGBackend::new(chart, (720, 240 * curves.len().max(1) as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((curves.len().max(1), 1));
    for ((proxies, off, on, oracle), area) in curves.iter().zip(areas) {
        let mut plot = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(40)
            .caption(
                format!("{proxies} proxies: worth served of the hot group, by second"),
                ("sans-serif", 14),
            )
            .build_cartesian_2d(0.0..SPAN as f64, 0.0..1.05)?;
        plot.configure_mesh().draw()?;
        for (name, curve, colour) in [("off", off, RED), ("on", on, BLUE), ("oracle", oracle, GREEN)] {
            let points = curve.iter().enumerate().map(|(n, share)| (n as f64, *share));
            plot.draw_series(LineSeries::new(points, &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
        }
        plot.configure_series_labels().border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
