//! Metrics of a process in the customary text format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    Result, TextEncoder,
};

/// A set of metrics, each registered as it is made.
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
    /// Counters that only grow, one for each set of values of `labels`.
    ///
    /// # Errors
    ///
    /// Another metric has the name.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// A number that goes up and down.
    ///
    /// # Errors
    ///
    /// Another metric has the name.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Numbers that go up and down, one for each set of values of `labels`.
    ///
    /// # Errors
    ///
    /// Another metric has the name.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Histograms with these upper bounds of buckets, one for each value of `label`.
    ///
    /// # Errors
    ///
    /// Another metric has the name.
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

    /// Every metric in the text format.
    ///
    /// # Errors
    ///
    /// A metric can't be written.
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
