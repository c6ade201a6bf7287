//! Load of the machine.

use crate::parse_load_average;

/// Returns the machine's load average over the last minute, or `None` if the kernel doesn't report
/// it.
pub fn load_average() -> Option<f64> {
    parse_load_average(&std::fs::read_to_string("/proc/loadavg").ok()?)
}
