//! A seeded soak test of gateways under injected faults.

mod builds;
mod callers;
mod checks;
mod schedule;
mod soak;
mod stop_callers;
mod stops;
mod testbed;

pub use checks::Finding;
pub use schedule::{Fault, Schedule, Step};
pub use soak::{Soak, SoakReport};
pub use stops::{StopCount, StopSettings};
