//! Draws the chart of served fractions by second, with one diagram for each number of proxies.

use super::{ChartRuns, RUN_SECONDS};
use crate::MeasurementResult;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const WIDTH_PIXELS: u32 = 720;
const DIAGRAM_HEIGHT_PIXELS: u32 = 240;
const CAPTION_PIXELS: u32 = 14;
/// Length of the line sample before each name in the legend.
const LEGEND_LINE_PIXELS: i32 = 12;
/// Upper end of the axis. A fraction can exceed 1, because requests of one second may be served in the next.
const MAX_FRACTION: f64 = 1.05;

/// Draws one diagram for each entry, from top to bottom.
pub(super) fn draw(chart: &Path, charted_runs: &[ChartRuns]) -> MeasurementResult {
    let diagrams = charted_runs.len().max(1);
    let size = (WIDTH_PIXELS, DIAGRAM_HEIGHT_PIXELS * diagrams as u32);
    let root = SVGBackend::new(chart, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (diagram, area) in charted_runs.iter().zip(root.split_evenly((diagrams, 1))) {
        draw_diagram(&area, diagram)?;
    }
    root.present()?;
    Ok(())
}

fn draw_diagram(area: &DrawingArea<SVGBackend, Shift>, diagram: &ChartRuns) -> MeasurementResult {
    let caption = format!("{} proxies: worth served of the hot group, by second", diagram.proxies);
    let mut plot = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(25)
        .y_label_area_size(40)
        .caption(caption, ("sans-serif", CAPTION_PIXELS))
        .build_cartesian_2d(0.0..RUN_SECONDS as f64, 0.0..MAX_FRACTION)?;
    plot.configure_mesh().draw()?;
    let runs = &diagram.runs;
    for (name, run, color) in
        [("off", &runs.off, RED), ("on", &runs.on, BLUE), ("oracle", &runs.oracle, GREEN)]
    {
        let fractions = run.served_fractions.iter().enumerate();
        let points = fractions.map(|(second, fraction)| (second as f64, *fraction));
        plot.draw_series(LineSeries::new(points, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], color));
    }
    plot.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
