//! What the records have cost a gateway since it started.

use std::ops::Sub;

/// Metric of bytes of records that gateways exchange.
const BYTES: &str = "persimmon_gateway_record_bytes_total";
/// Metric of fetches between gateways.
const FETCHES: &str = "persimmon_gateway_record_fetches_total";

/// Counters of a gateway about records, and its CPU time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecordUsage {
    /// Bytes of records sent to other gateways.
    pub bytes_sent: u64,
    /// Bytes of records received from other gateways.
    pub bytes_received: u64,
    /// Number of fetches from other gateways that were answered.
    pub fetches_answered: u64,
    /// Number of fetches that another gateway refused since it was sending to enough others.
    pub fetches_refused: u64,
    /// Number of fetches that failed.
    pub fetches_failed: u64,
    /// CPU time of the process, in nanoseconds.
    pub cpu_ns: u64,
}

impl RecordUsage {
    /// Parses the counters in the text of `/metrics`, which holds no CPU time. A counter that isn't there is zero: gateways expose
    /// one from its first increment.
    pub fn parse(metrics: &str) -> Self {
        let mut usage = Self::default();
        for line in metrics.lines() {
            let Some((series, value)) = line.rsplit_once(' ') else { continue };
            let Some((name, labels)) = series.split_once('{') else { continue };
            let counter = match (name, labels) {
                (BYTES, "direction=\"sent\"}") => &mut usage.bytes_sent,
                (BYTES, "direction=\"received\"}") => &mut usage.bytes_received,
                (FETCHES, "result=\"ok\"}") => &mut usage.fetches_answered,
                (FETCHES, "result=\"busy\"}") => &mut usage.fetches_refused,
                (FETCHES, "result=\"failed\"}") => &mut usage.fetches_failed,
                _ => continue,
            };
            *counter += value.parse().unwrap_or(0);
        }
        usage
    }
}

impl Sub for RecordUsage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            bytes_sent: self.bytes_sent.saturating_sub(earlier.bytes_sent),
            bytes_received: self.bytes_received.saturating_sub(earlier.bytes_received),
            fetches_answered: self.fetches_answered.saturating_sub(earlier.fetches_answered),
            fetches_refused: self.fetches_refused.saturating_sub(earlier.fetches_refused),
            fetches_failed: self.fetches_failed.saturating_sub(earlier.fetches_failed),
            cpu_ns: self.cpu_ns.saturating_sub(earlier.cpu_ns),
        }
    }
}
