//! Metrics of the process, in the customary text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.47, 1.0, 5.0, 30.0];

/// Every metric of the process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub(crate) outcomes: IntCounterVec,
    /// Refusals by reason.
    pub(crate) refusals: IntCounterVec,
    /// Bytes of control traffic by direction and kind.
    pub(crate) control_bytes: IntCounterVec,
    /// Reads of the platform by kind and result.
    pub(crate) platform_reads: IntCounterVec,
    /// Frames and datagrams that were dropped, by reason.
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
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// Two metrics have one name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let outcomes = counters("persimmon_outcomes_total", "Requests by outcome.", &["outcome"])?;
        let refusals = counters("persimmon_refusals_total", "Refusals by reason.", &["reason"])?;
        let control_bytes = counters(
            "persimmon_control_bytes_total",
            "Control traffic, payload bytes.",
            &["direction", "kind"],
        )?;
        let platform_reads =
            counters("persimmon_platform_reads_total", "Platform reads.", &["kind", "result"])?;
        let dropped =
            counters("persimmon_dropped_total", "Frames and datagrams dropped.", &["reason"])?;
        let retries = counters("persimmon_retries_total", "Retries by result.", &["result"])?;
        let in_progress = IntGaugeVec::new(
            Opts::new("persimmon_in_progress", "Requests in progress by state."),
            &["state"],
        )?;
        registry.register(Box::new(in_progress.clone()))?;
        let generation =
            IntGauge::new("persimmon_records_generation", "Generation of the records in force.")?;
        registry.register(Box::new(generation.clone()))?;
        let first_token = HistogramVec::new(
            HistogramOpts::new("persimmon_first_token_seconds", "Time to the first token.")
                .buckets(LATENCY_BUCKETS_S.to_vec()),
            &["hop"],
        )?;
        registry.register(Box::new(first_token.clone()))?;
        Ok(Self {
            registry,
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

    /// Every metric in the text format.
    ///
    /// # Errors
    ///
    /// A metric can't be written.
    pub(crate) fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
