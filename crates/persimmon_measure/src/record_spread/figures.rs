//! Figures of how changes reach all gateways.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{RecordUsage, first_to_last_ms};
use crate::percentile;

const NS_PER_MS: f64 = 1e6;

/// What was measured of one change.
#[derive(Debug, Clone)]
pub struct ChangeSample {
    /// Time of day at which each gateway had the change in force, in microseconds.
    pub in_force_us: Vec<i64>,
    /// What the change cost each gateway.
    pub usage: Vec<RecordUsage>,
}

/// A figure of all gateways for one change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PerGateway {
    /// Mean over all gateways and changes.
    pub mean: f64,
    /// Highest figure of one gateway for one change.
    pub busiest: f64,
}

impl PerGateway {
    /// Summarizes figures; NaN without any.
    pub(super) fn of(figures: impl Iterator<Item = f64>) -> Self {
        let figures: Vec<_> = figures.collect();
        let mean = figures.iter().sum::<f64>() / figures.len() as f64;
        Self { mean, busiest: figures.into_iter().fold(f64::NAN, f64::max) }
    }
}

/// Figures of changes of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeFigures {
    /// Number of changes, one after another.
    pub changes: usize,
    /// Median over the changes of the time from the first gateway to the last one, in milliseconds.
    pub spread_p50_ms: f64,
    /// Longest time from the first gateway to the last one, in milliseconds.
    pub spread_max_ms: f64,
    /// Bytes of records that a gateway sent to others for one change.
    pub bytes_sent: PerGateway,
    /// Bytes of records that a gateway received from others for one change.
    pub bytes_received: PerGateway,
    /// CPU time of a gateway in the window of one change, in milliseconds.
    pub cpu_ms: PerGateway,
    /// Number of fetches between gateways that were answered, of all changes.
    pub fetches_answered: u64,
    /// Number of fetches that were refused by a busy gateway, of all changes.
    pub fetches_refused: u64,
    /// Number of fetches that failed, of all changes.
    pub fetches_failed: u64,
}

impl ChangeFigures {
    /// Summarizes changes of one kind.
    pub fn of(samples: &[ChangeSample]) -> Self {
        let spreads: Vec<_> = samples.iter().map(|it| first_to_last_ms(&it.in_force_us)).collect();
        let usages = || samples.iter().flat_map(|it| it.usage.iter());
        let per_gateway = |figure: fn(&RecordUsage) -> f64| PerGateway::of(usages().map(figure));
        Self {
            changes: samples.len(),
            spread_p50_ms: percentile(&spreads, 50.0).unwrap_or(f64::NAN),
            spread_max_ms: percentile(&spreads, 100.0).unwrap_or(f64::NAN),
            bytes_sent: per_gateway(|it| it.bytes_sent as f64),
            bytes_received: per_gateway(|it| it.bytes_received as f64),
            cpu_ms: per_gateway(|it| it.cpu_ns as f64 / NS_PER_MS),
            fetches_answered: usages().map(|it| it.fetches_answered).sum(),
            fetches_refused: usages().map(|it| it.fetches_refused).sum(),
            fetches_failed: usages().map(|it| it.fetches_failed).sum(),
        }
    }

    fn write(&self, f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
        let Self { bytes_sent: sent, bytes_received: received, cpu_ms, .. } = self;
        writeln!(
            f,
            "{name:<24} {:>8.1} ms first to last, longest {:.1} ms",
            self.spread_p50_ms, self.spread_max_ms
        )?;
        writeln!(
            f,
            "  bytes sent             {:>8.0} mean {:>9.0} busiest",
            sent.mean, sent.busiest
        )?;
        writeln!(
            f,
            "  bytes received         {:>8.0} mean {:>9.0} busiest",
            received.mean, received.busiest
        )?;
        writeln!(
            f,
            "  processor time         {:>8.1} mean {:>9.1} busiest, ms in the window",
            cpu_ms.mean, cpu_ms.busiest
        )?;
        writeln!(
            f,
            "  fetches                {:>8} answered, {} refused by a busy gateway, {} failed",
            self.fetches_answered, self.fetches_refused, self.fetches_failed
        )
    }
}

/// Figures of a fleet of one size.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordSpreadFigures {
    /// Number of gateways.
    pub gateways: u8,
    /// Number of routes after the bulk change.
    pub routes: usize,
    /// Figures of the change that adds all routes but a few.
    pub bulk: ChangeFigures,
    /// Figures of changes of one route.
    pub single: ChangeFigures,
    /// CPU time of a gateway in a window of the same length without a change, in milliseconds.
    pub quiet_cpu_ms: PerGateway,
    /// Sum of the resident memory of all gateways after the changes, in KiB.
    pub resident_kib: u64,
    /// Load average of the machine before the gateways were started.
    pub load_average_before: Option<f64>,
    /// Load average of the machine after the last change.
    pub load_average: Option<f64>,
}

impl RecordSpreadFigures {
    /// Maximum time from the first gateway to the last one for a change of one route, in milliseconds.
    pub const TARGET_MS: f64 = 1_000.0;

    /// Reports whether each change of one route met the target.
    pub fn is_within_target(&self) -> bool {
        self.single.spread_max_ms <= Self::TARGET_MS
    }
}

impl fmt::Display for RecordSpreadFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} gateways, {} routes, load average {:.1} before, {:.1} after",
            self.gateways,
            self.routes,
            self.load_average_before.unwrap_or(-1.0),
            self.load_average.unwrap_or(-1.0)
        )?;
        self.bulk.write(f, "bulk change")?;
        self.single.write(f, &format!("each of {} single changes", self.single.changes))?;
        writeln!(
            f,
            "window without a change: processor time {:.1} ms mean, {:.1} ms busiest",
            self.quiet_cpu_ms.mean, self.quiet_cpu_ms.busiest
        )?;
        writeln!(f, "resident memory of all gateways: {} MB", self.resident_kib / 1_024)?;
        let verdict = if self.is_within_target() { "met" } else { "not met" };
        write!(f, "target: single changes at most {} ms: {verdict}", Self::TARGET_MS)
    }
}
