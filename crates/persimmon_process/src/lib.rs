//! Clocks and metrics, which every process of the fleet needs in any role.

mod clock;
mod metric_set;

pub use clock::Clock;
pub use metric_set::MetricSet;
