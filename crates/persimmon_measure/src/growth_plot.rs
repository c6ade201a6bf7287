//! Plots the worth of a day and the resource usage of a gateway against the size of the fleet, as
//! SVG.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::Sweep;
use crate::sweep::{Spread, SweepPoint};

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 720);
/// Factor by which the axes extend beyond the extreme values.
const HEADROOM: f64 = 1.15;

/// Error for a plot that can't be drawn or written.
#[derive(Debug, Error)]
#[error("can't draw the plot: {0}; check that the directory exists and can be written")]
pub struct GrowthPlotError(String);

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

struct Line {
    label: &'static str,
    points: Vec<(f64, f64)>,
}

/// Draws four panels: worth and share served of the day, and CPU usage, memory and traffic of a
/// gateway.
///
/// # Errors
///
/// Returns a [`GrowthPlotError`] if the file can't be written.
pub fn plot_growth(path: &Path, sweep: &Sweep) -> Result<(), GrowthPlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(error)?;
    let of = |value: fn(&SweepPoint) -> f64| {
        sweep.points.iter().map(|it| (it.machines, value(it))).collect()
    };
    let day = [
        Line { label: "worth", points: of(|it| it.worth) },
        Line { label: "served", points: of(|it| it.served) },
    ];
    let spread = |value: fn(&SweepPoint) -> Spread| {
        let points = |part: fn(Spread) -> f64| {
            sweep.points.iter().map(|it| (it.machines, part(value(it)))).collect()
        };
        [
            Line { label: "middle gateway", points: points(|it| it.middle) },
            Line { label: "busiest gateway", points: points(|it| it.busiest) },
        ]
    };
    let panels = root.split_evenly((2, 2));
    let drawn = [
        ("the day", day),
        ("processor, % of a core", spread(|it| it.processor)),
        ("memory, MB", spread(|it| it.memory)),
        ("sent and received, kB/s", spread(|it| it.traffic)),
    ];
    for (panel, (title, lines)) in panels.iter().zip(drawn) {
        draw(panel, title, &lines)?;
    }
    root.present().map_err(error)
}

fn draw(panel: &Panel<'_>, title: &str, lines: &[Line]) -> Result<(), GrowthPlotError> {
    let all = || lines.iter().flat_map(|line| line.points.iter());
    let right = all().map(|point| point.0).fold(1.0, f64::max) * HEADROOM;
    let left = all().map(|point| point.0).fold(right, f64::min) / HEADROOM;
    let top = all().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d((left..right).log_scale(), 0.0..top)
        .map_err(error)?;
    chart.configure_mesh().x_desc("own machines").draw().map_err(error)?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.clone(), color.stroke_width(2)))
            .map_err(error)?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dots = line.points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots).map_err(error)?;
    }
    let labels = &mut chart.configure_series_labels();
    labels.position(SeriesLabelPosition::LowerLeft).border_style(BLACK).draw().map_err(error)
}

fn error(err: impl std::fmt::Display) -> GrowthPlotError {
    GrowthPlotError(err.to_string())
}
