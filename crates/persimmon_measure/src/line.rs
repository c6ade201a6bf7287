//! Linear regression of measured points.

use serde::Serialize;

use crate::MeasureError;

/// A line fitted to points by least squares.
///
/// ```
/// use persimmon_measure::Line;
///
/// let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]).unwrap();
/// assert_eq!((line.slope, line.intercept, line.residual), (2.0, 3.0, 0.0));
/// assert_eq!(line.at(10.0), 23.0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Root mean square of the differences between the points' values and the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line to `points`, which are pairs of size and value.
    ///
    /// # Errors
    ///
    /// Returns an error if the points have fewer than two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Result<Self, MeasureError> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if points.is_empty() || spread == 0.0 {
            return Err(MeasureError::TooFewSizes);
        }
        let joint = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = joint / spread;
        let intercept = mean_y - slope * mean_x;
        let squares = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
        Ok(Self { slope, intercept, residual: (squares / count).sqrt() })
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
