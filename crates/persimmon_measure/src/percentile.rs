//! Percentiles of differences, which a histogram of counts can't hold as they may be negative.

/// The smallest value that at least `percent` of all values don't exceed (nearest rank), or none of
/// an empty list.
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
