//! Seeded benchmarks of the placement, admission and credit decisions in `persimmon_decide`, with
//! regression bounds. Except for [`place_cost`], they count outcomes in a simulation and don't
//! measure time.
//!
//! A [`Scenario`] describes the size of a run, [`workload`] generates the turns of its chats, and
//! [`run`] sends them through simulated routers and sidecars.

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
