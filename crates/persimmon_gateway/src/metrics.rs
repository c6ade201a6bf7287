//! Counters and histograms of a gateway, in the customary text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Every metric of a gateway.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Callers' requests by route and outcome.
    pub(crate) requests: IntCounterVec,
    /// Attempts at endpoints by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Calls to the platform's store by kind and result.
    pub(crate) store_calls: IntCounterVec,
    /// Digests by direction.
    pub(crate) digests: IntCounterVec,
    /// Requests in progress.
    pub(crate) in_progress: IntGauge,
    /// Version of the routes in force.
    pub(crate) routes_version: IntGauge,
    /// Endpoints published.
    pub(crate) endpoints: IntGauge,
    /// Time to an answer's first byte by route.
    pub(crate) first_byte: HistogramVec,
    /// Time to an answer's end by route.
    pub(crate) whole_answer: HistogramVec,
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
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = HistogramVec::new(opts, &["route"])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Self {
            requests: counters(
                "persimmon_gateway_requests_total",
                "Callers' requests by outcome.",
                &["outcome"],
            )?,
            attempts: counters(
                "persimmon_gateway_attempts_total",
                "Attempts at endpoints by outcome.",
                &["outcome"],
            )?,
            store_calls: counters(
                "persimmon_gateway_store_calls_total",
                "Calls to the platform's store.",
                &["kind", "result"],
            )?,
            digests: counters(
                "persimmon_gateway_digests_total",
                "Digests between gateways.",
                &["direction"],
            )?,
            in_progress: gauge("persimmon_gateway_in_progress", "Requests in progress.")?,
            routes_version: gauge("persimmon_gateway_routes_version", "Version of the routes.")?,
            endpoints: gauge("persimmon_gateway_endpoints", "Endpoints published.")?,
            first_byte: histogram(
                "persimmon_gateway_first_byte_seconds",
                "Time to an answer's first byte.",
            )?,
            whole_answer: histogram(
                "persimmon_gateway_whole_answer_seconds",
                "Time to an answer's end.",
            )?,
            registry,
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
