//! Measures running processes of the fleet.
//!
//! The daemons run as real processes on the loopback interface; stand-ins replace the external
//! systems. Since the figures depend on the machine, each result includes its load average.

mod control;
mod direct;
mod error;
mod first_event;
mod first_token;
mod growth_plot;
mod line;
mod load;
mod percentile;
mod plot;
mod proc_fs;
mod programs;
mod record_spread;
mod scrape;
mod sweep;
mod throughput;
mod vms;

pub use control::{
    ControlFigures, ControlPoint, ControlSettings, Growth, RoleLines, RoleUsage, measure_control,
};
pub use error::MeasureError;
pub use first_event::{FirstEventFigures, measure_first_event};
pub use first_token::{FirstTokenFigures, FirstTokenSettings, measure_first_token};
pub use growth_plot::plot_growth;
pub use line::Line;
pub use load::load_average;
pub use percentile::percentile;
pub use plot::PlotError;
pub use proc_fs::{
    ProcessUsage, parse_cpu_ms, parse_cpu_ns, parse_load_average, parse_resident_kib,
};
pub use programs::Programs;
pub use record_spread::{
    ChangeFigures, ChangeSample, PerGateway, RecordSpreadFigures, RecordSpreadSettings,
    RecordUsage, RoutesInForce, first_to_last_ms, measure_record_spread, plot_record_spread,
};
pub use scrape::{Counters, parse_counters};
pub use sweep::{Spread, Sweep, SweepError, SweepPoint};
pub use throughput::{Shape, ThroughputFigures, ThroughputSettings, measure_throughput};
