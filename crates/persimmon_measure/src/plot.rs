//! Draws curves of figures against the fleet's size, for the plots of this crate.

use plotters::prelude::*;
use thiserror::Error;

/// Factor by which the axes extend beyond the extreme values.
const HEADROOM: f64 = 1.15;

/// Error for a plot that can't be drawn or written.
#[derive(Debug, Error)]
#[error("can't draw the plot: {0}; check that the directory exists and can be written")]
pub struct PlotError(String);

impl PlotError {
    /// Creates an error from one of the library, whose type depends on the backend.
    pub(crate) fn new(err: impl std::fmt::Display) -> Self {
        Self(err.to_string())
    }
}

/// Part of an image with axes of its own.
pub(crate) type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Points that a line joins, by ascending size.
pub(crate) struct Curve {
    /// Text in the legend.
    pub(crate) label: String,
    /// Sizes with their figures.
    pub(crate) points: Vec<(f64, f64)>,
}

/// Labels of a panel.
pub(crate) struct PanelLabels<'a> {
    /// Title, with the unit of the figures.
    pub(crate) title: &'a str,
    /// What the sizes count.
    pub(crate) sizes: &'a str,
    /// Corner of the legend.
    pub(crate) legend: SeriesLabelPosition,
}

/// Draws the curves of a panel over a logarithmic axis of sizes.
pub(crate) fn draw_panel(
    panel: &Panel<'_>,
    labels: PanelLabels<'_>,
    curves: &[Curve],
) -> Result<(), PlotError> {
    let all = || curves.iter().flat_map(|curve| curve.points.iter());
    let right = all().map(|point| point.0).fold(1.0, f64::max) * HEADROOM;
    let left = all().map(|point| point.0).fold(right, f64::min) / HEADROOM;
    let top = all().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(panel)
        .caption(labels.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d((left..right).log_scale(), 0.0..top)
        .map_err(PlotError::new)?;
    chart.configure_mesh().x_desc(labels.sizes).draw().map_err(PlotError::new)?;
    for (index, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(curve.points.clone(), color.stroke_width(2)))
            .map_err(PlotError::new)?
            .label(curve.label.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dots = curve.points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots).map_err(PlotError::new)?;
    }
    let legend = &mut chart.configure_series_labels();
    legend.position(labels.legend).border_style(BLACK).draw().map_err(PlotError::new)
}
