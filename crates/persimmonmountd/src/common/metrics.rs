//! Metrics of the process in the Prometheus text format.

use persimmon_process::MetricSet;
use prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1.0, 5.0, 30.0];

/// The metrics of the process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    set: MetricSet,
    /// Requests by outcome.
    pub(crate) outcomes: IntCounterVec,
    /// Refusals by reason.
    pub(crate) refusals: IntCounterVec,
    /// Bytes of control traffic by direction and kind.
    pub(crate) control_bytes: IntCounterVec,
    /// Reads from the platform by kind and result.
    pub(crate) platform_reads: IntCounterVec,
    /// Dropped frames and datagrams by reason.
    pub(crate) dropped: IntCounterVec,
    /// Retries by result.
    pub(crate) retries: IntCounterVec,
    /// Requests in progress by state.
    pub(crate) in_progress: IntGaugeVec,
    /// Generation of the records in force.
    pub(crate) generation: IntGauge,
    /// Time to the first token by hop.
    pub(crate) first_token: HistogramVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let set = MetricSet::default();
        let outcomes =
            set.counters("persimmon_outcomes_total", "Requests by outcome.", &["outcome"])?;
        let refusals =
            set.counters("persimmon_refusals_total", "Refusals by reason.", &["reason"])?;
        let control_bytes = set.counters(
            "persimmon_control_bytes_total",
            "Control traffic, payload bytes.",
            &["direction", "kind"],
        )?;
        let platform_reads =
            set.counters("persimmon_platform_reads_total", "Platform reads.", &["kind", "result"])?;
        let dropped =
            set.counters("persimmon_dropped_total", "Frames and datagrams dropped.", &["reason"])?;
        let retries = set.counters("persimmon_retries_total", "Retries by result.", &["result"])?;
        let in_progress =
            set.gauges("persimmon_in_progress", "Requests in progress by state.", &["state"])?;
        let generation =
            set.gauge("persimmon_records_generation", "Generation of the records in force.")?;
        let first_token = set.histograms(
            "persimmon_first_token_seconds",
            "Time to the first token.",
            "hop",
            &LATENCY_BUCKETS_S,
        )?;
        Ok(Self {
            set,
            outcomes,
            refusals,
            control_bytes,
            platform_reads,
            dropped,
            retries,
            in_progress,
            generation,
            first_token,
        })
    }

    /// Encodes the metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub(crate) fn encode(&self) -> prometheus::Result<Vec<u8>> {
        self.set.encode()
    }
}
