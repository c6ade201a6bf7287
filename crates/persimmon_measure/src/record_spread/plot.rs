//! Plots the time and the bytes of a change against the fleet's size, as SVG.

use std::path::Path;

use plotters::prelude::*;

use super::RecordSpreadFigures;
use crate::plot::{Curve, PanelLabels, PlotError, draw_panel};

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 420);

/// Draws two panels: time from the first gateway to the last one, and bytes of the busiest gateway for
/// a change of one route. Each number of routes has curves of its own.
///
/// # Errors
///
/// Returns a [`PlotError`] if the file can't be written.
pub fn plot_record_spread(path: &Path, figures: &[RecordSpreadFigures]) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(PlotError::new)?;
    let mut route_counts: Vec<_> = figures.iter().map(|it| it.routes).collect();
    route_counts.sort_unstable();
    route_counts.dedup();
    let curve = |name: &str, routes: usize, figure: fn(&RecordSpreadFigures) -> f64| {
        let of_routes = figures.iter().filter(|it| it.routes == routes);
        let mut points: Vec<_> = of_routes.map(|it| (f64::from(it.gateways), figure(it))).collect();
        points.sort_by(|one, other| one.0.total_cmp(&other.0));
        Curve { label: format!("{name}, {routes} routes"), points }
    };
    let (mut times, mut bytes) = (Vec::new(), Vec::new());
    for routes in route_counts {
        times.push(curve("bulk change", routes, |it| it.bulk.spread_max_ms));
        times.push(curve("one change, longest", routes, |it| it.single.spread_max_ms));
        bytes.push(curve("sent", routes, |it| it.single.bytes_sent.busiest));
        bytes.push(curve("received", routes, |it| it.single.bytes_received.busiest));
    }
    let drawn = [
        ("first gateway to last, ms", times, SeriesLabelPosition::UpperLeft),
        ("bytes of the busiest gateway for one change", bytes, SeriesLabelPosition::MiddleRight),
    ];
    let panels = root.split_evenly((1, 2));
    for (panel, (title, curves, legend)) in panels.iter().zip(drawn) {
        draw_panel(panel, PanelLabels { title, sizes: "gateways", legend }, &curves)?;
    }
    root.present().map_err(PlotError::new)
}
