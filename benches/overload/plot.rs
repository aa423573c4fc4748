//! Plot of goodput over time.

use eyre::eyre;
use plotters::prelude::*;

use crate::measure::RunSummary;
use crate::scenario::{AFTER_SECONDS, DISTURBANCE_SECONDS, START_SECONDS};

const COLOURS: [RGBColor; 5] = [
    RGBColor(200, 60, 60),
    RGBColor(220, 150, 40),
    RGBColor(40, 90, 180),
    RGBColor(60, 150, 90),
    RGBColor(130, 80, 160),
];

pub(crate) fn draw(path: &str, summaries: &[RunSummary]) -> eyre::Result<()> {
    let mut names: Vec<&str> = summaries.iter().map(|l| l.scenario).collect();
    names.dedup();
    let rows = names.len().div_ceil(2).max(1);
    let root = SVGBackend::new(path, (1100, 300 * rows as u32)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| eyre!("{e}"))?;
    for (area, name) in root.split_evenly((rows, 2)).iter().zip(&names) {
        let shown: Vec<&RunSummary> = summaries.iter().filter(|l| l.scenario == *name).collect();
        draw_panel(area, name, &shown)?;
    }
    root.present().map_err(|e| eyre!("{e}"))
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    name: &str,
    summaries: &[&RunSummary],
) -> eyre::Result<()> {
    let max_goodput = summaries
        .iter()
        .flat_map(|l| &l.curve)
        .copied()
        .fold(1.0, f64::max);
    let end = START_SECONDS + DISTURBANCE_SECONDS + AFTER_SECONDS;
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("{name}: completed requests per second"),
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end, 0.0..max_goodput * 1.1)
        .map_err(|e| eyre!("{e}"))?;
    chart
        .configure_mesh()
        .x_desc("seconds; disturbance from 3 to 13")
        .draw()
        .map_err(|e| eyre!("{e}"))?;
    for (summary, colour) in summaries.iter().zip(COLOURS.iter().cycle()) {
        let step = end / summary.curve.len() as f64;
        let points = summary
            .curve
            .iter()
            .enumerate()
            .map(|(i, y)| (i as f64 * step, *y));
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(|e| eyre!("{e}"))?
            .label(summary.variant)
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], *colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|e| eyre!("{e}"))
}
