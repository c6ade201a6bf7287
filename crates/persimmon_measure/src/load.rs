//! How busy the machine is.

use crate::parse_load_average;

/// The machine's load average over the last minute; none if the kernel doesn't tell it.
pub fn load_average() -> Option<f64> {
    parse_load_average(&std::fs::read_to_string("/proc/loadavg").ok()?)
}
