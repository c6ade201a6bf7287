//! Seeded, counting benchmarks of the decisions, with regression bounds.
//!
//! A [`Scenario`] gives the size, [`workload`] the turns of every chat, and [`run`] feeds them to
//! sidecars and routers in memory that use the decisions of `persimmon_decide`.

mod bench;
mod credits;
mod deployment;
mod fleet;
mod offering;
mod place_cost;
mod plot;
mod prefix_cache;
mod run;
mod scenario;
mod sidecar;
mod strategy;
mod tally;
mod workload;

pub use bench::{Comparison, compare};
pub use credits::{CreditFigures, CreditWay, Trouble, credit_figures};
pub use deployment::{Deployment, Shape};
pub use fleet::Fleet;
pub use place_cost::{PlaceCost, place_cost};
pub use plot::{PlotError, plot};
pub use prefix_cache::PrefixCache;
pub use run::run;
pub use scenario::Scenario;
pub use sidecar::{Admitted, Bound, Sidecar};
pub use strategy::Strategy;
pub use tally::{Figures, Skew, Tally};
pub use workload::{Turn, in_surge, workload};
