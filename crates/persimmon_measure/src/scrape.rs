//! Counters of a daemon, as `/metrics` tells them.

use persimmon_standins::fleet::Daemons;

use crate::MeasureError;

/// The metric of control traffic.
const CONTROL_BYTES: &str = "persimmon_control_bytes_total";

/// The metric of platform reads.
const PLATFORM_READS: &str = "persimmon_platform_reads_total";

/// What a daemon has counted so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counters {
    /// Bytes of control traffic that it sent; none if it has counted none in any direction.
    pub control_bytes_sent: Option<f64>,
    /// Bytes of control traffic that it received; none if it has counted none in any direction.
    pub control_bytes_received: Option<f64>,
    /// Reads of the platform.
    pub platform_reads: f64,
}

impl Counters {
    /// Reads the counters of the daemon `name`.
    ///
    /// # Errors
    ///
    /// The daemon gives no answer.
    pub fn of(daemons: &Daemons, name: &str) -> Result<Self, MeasureError> {
        Ok(parse_counters(&daemons.read_ops(name, "/metrics")?))
    }
}

/// Reads the counters from a text of `/metrics`.
///
/// ```
/// use persimmon_measure::parse_counters;
///
/// let counters = parse_counters("persimmon_platform_reads_total{kind=\"vms\"} 3\n");
/// assert_eq!((counters.platform_reads, counters.control_bytes_sent), (3.0, None));
/// ```
pub fn parse_counters(metrics: &str) -> Counters {
    let mut counters = Counters::default();
    for line in metrics.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        if series.starts_with(PLATFORM_READS) {
            counters.platform_reads += value;
        } else if series.starts_with(CONTROL_BYTES) {
            let sent = counters.control_bytes_sent.get_or_insert(0.0);
            let received = counters.control_bytes_received.get_or_insert(0.0);
            *(if series.contains("direction=\"sent\"") { sent } else { received }) += value;
        }
    }
    counters
}
