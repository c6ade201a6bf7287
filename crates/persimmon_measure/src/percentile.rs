//! Percentiles of differences. A histogram can't record them, since they may be negative.

/// Returns a percentile by nearest rank: the smallest value that at least `percent` percent of the
/// values don't exceed. Returns `None` if there are no values.
///
/// ```
/// use persimmon_measure::percentile;
///
/// assert_eq!(percentile(&[3.0, 1.0, 2.0], 50.0), Some(2.0));
/// ```
pub fn percentile(values: &[f64], percent: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}
