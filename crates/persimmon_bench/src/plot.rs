//! Plots cache reuse against skew for several load multiples, as SVG.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::{Deployment, Scenario, Strategy, compare};

/// Load multiples, one for each point of a line.
const MULTIPLES: [f64; 6] = [1.1, 1.25, 1.5, 1.75, 2.0, 3.0];

/// Strategies, one for each line.
const DRAWN: [Strategy; 4] =
    [Strategy::Ring, Strategy::RankFirst, Strategy::TokenFirst, Strategy::Project];

/// Error for a plot that can't be drawn or written.
#[derive(Debug, Error)]
#[error("can't draw the plot: {0}; check that the directory exists and can be written")]
pub struct PlotError(String);

/// Draws one panel for each deployment, at the size of the scenario `size`.
///
/// # Errors
///
/// Returns a [`PlotError`] if the file can't be written.
pub fn plot(path: &Path, size: &Scenario) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, (1_000, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(error)?;
    let panels = root.split_evenly((1, 2));
    for (panel, deployment) in panels.iter().zip(Deployment::all()) {
        draw(panel, &deployment, size)?;
    }
    root.present().map_err(error)
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(panel: &Panel<'_>, deployment: &Deployment, size: &Scenario) -> Result<(), PlotError> {
    let title = format!("{}, {} endpoints", deployment.name, size.endpoints);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(1.0..3.5, 0.0..1.05)
        .map_err(error)?;
    chart
        .configure_mesh()
        .x_desc("highest load over the mean")
        .y_desc("reuse kept of unbounded placement")
        .draw()
        .map_err(error)?;
    for (index, line) in lines(deployment, size).into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let label = line.strategy.as_str();
        chart
            .draw_series(LineSeries::new(line.points.clone(), color.stroke_width(2)))
            .map_err(error)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dots = line.points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots).map_err(error)?;
    }
    let labels = &mut chart.configure_series_labels();
    labels.position(SeriesLabelPosition::LowerRight).border_style(BLACK).draw().map_err(error)
}

struct Line {
    strategy: Strategy,
    points: Vec<(f64, f64)>,
}

fn lines(deployment: &Deployment, size: &Scenario) -> Vec<Line> {
    let mut lines = DRAWN.map(|strategy| Line { strategy, points: Vec::new() });
    for multiple in MULTIPLES {
        let scenario = Scenario { deployment: deployment.clone(), ..size.clone() };
        let scenario = scenario.with_load_multiple(multiple);
        let comparison = compare(&scenario, &DRAWN);
        for (line, figures) in lines.iter_mut().zip(&comparison.figures) {
            if figures.skew.samples > 0 {
                line.points.push((figures.skew.max, figures.reuse));
            }
        }
    }
    lines.into()
}

fn error(err: impl std::fmt::Display) -> PlotError {
    PlotError(err.to_string())
}
