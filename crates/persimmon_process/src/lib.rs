//! What every process of the fleet has, whatever its role: clocks and a set of metrics.

mod clock;
mod metric_set;

pub use clock::Clock;
pub use metric_set::MetricSet;
