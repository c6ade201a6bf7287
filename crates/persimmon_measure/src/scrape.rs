//! Reads the counters that a daemon exposes at `/metrics`.

use persimmon_standins::fleet::Daemons;

use crate::MeasureError;

/// Metric of control traffic.
const CONTROL_BYTES: &str = "persimmon_control_bytes_total";

/// Metric of reads from the platform.
const PLATFORM_READS: &str = "persimmon_platform_reads_total";

/// Counters of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counters {
    /// Bytes of control traffic sent, or `None` if the daemon exposes no control traffic.
    pub control_bytes_sent: Option<f64>,
    /// Bytes of control traffic received, or `None` if the daemon exposes no control traffic.
    pub control_bytes_received: Option<f64>,
    /// Number of reads from the platform.
    pub platform_reads: f64,
}

impl Counters {
    /// Reads the counters of the daemon `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't respond.
    pub fn of(daemons: &Daemons, name: &str) -> Result<Self, MeasureError> {
        Ok(parse_counters(&daemons.read_ops(name, "/metrics")?))
    }
}

/// Parses the counters in the text of `/metrics`.
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
