//! Seeded, counting benchmarks of the decisions, with regression bounds.
//!
//! A [`Scenario`] gives the size, [`workload`] the turns of every chat, and [`run`] feeds them to
//! sidecars and routers in memory that use the decisions of `persimmon_decide`.

mod bench;
mod deployment;
mod fleet;
mod prefix_cache;
mod run;
mod scenario;
mod sidecar;
mod strategy;
mod tally;
mod workload;

pub use bench::{Comparison, compare};
pub use deployment::{Deployment, Shape};
pub use fleet::Fleet;
pub use prefix_cache::PrefixCache;
pub use run::run;
pub use scenario::Scenario;
pub use sidecar::{Admitted, Bound, Sidecar};
pub use strategy::Strategy;
pub use tally::{Figures, Skew, Tally};
pub use workload::{Turn, in_surge, workload};
