//! Metrics of a process, in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    Result, TextEncoder,
};

/// Set of metrics. Each metric is registered when it is created.
///
/// ```
/// use persimmon_process::MetricSet;
///
/// let set = MetricSet::default();
/// set.counters("calls_total", "Calls.", &["kind"])?.with_label_values(&["read"]).inc();
/// assert!(String::from_utf8_lossy(&set.encode()?).contains("calls_total{kind=\"read\"} 1"));
/// # Ok::<_, prometheus::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Creates counters, one for each combination of values of `labels`.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Creates a gauge.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Creates gauges, one for each combination of values of `labels`.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Creates histograms, one for each value of `label`; `buckets` are the upper bounds.
    ///
    /// # Errors
    ///
    /// Returns an error if another metric has the same name.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        label: &str,
        buckets: &[f64],
    ) -> Result<HistogramVec> {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.register(HistogramVec::new(opts, &[label])?)
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    fn register<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
