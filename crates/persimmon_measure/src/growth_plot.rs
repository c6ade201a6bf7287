//! Plots the worth of a day and the resource usage of a gateway against the size of the fleet, as
//! SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::Sweep;
use crate::plot::{Curve, PanelLabels, PlotError, draw_panel};
use crate::sweep::{Spread, SweepPoint};

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 720);

/// Draws four panels: worth and share served of the day, and CPU usage, memory and traffic of a
/// gateway.
///
/// # Errors
///
/// Returns a [`PlotError`] if the file can't be written.
pub fn plot_growth(path: &Path, sweep: &Sweep) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(PlotError::new)?;
    let of = |value: fn(&SweepPoint) -> f64| {
        sweep.points.iter().map(|it| (it.machines, value(it))).collect()
    };
    let curve = |label: &str, points| Curve { label: label.to_owned(), points };
    let day = [curve("worth", of(|it| it.worth)), curve("served", of(|it| it.served))];
    let spread = |value: fn(&SweepPoint) -> Spread| {
        let points = |part: fn(Spread) -> f64| {
            sweep.points.iter().map(|it| (it.machines, part(value(it)))).collect()
        };
        [
            curve("middle gateway", points(|it| it.middle)),
            curve("busiest gateway", points(|it| it.busiest)),
        ]
    };
    let panels = root.split_evenly((2, 2));
    let drawn = [
        ("the day", day),
        ("processor, % of a core", spread(|it| it.processor)),
        ("memory, MB", spread(|it| it.memory)),
        ("sent and received, kB/s", spread(|it| it.traffic)),
    ];
    for (panel, (title, curves)) in panels.iter().zip(drawn) {
        let legend = SeriesLabelPosition::LowerLeft;
        draw_panel(panel, PanelLabels { title, sizes: "own machines", legend }, &curves)?;
    }
    root.present().map_err(PlotError::new)
}
