//! What the kernel tells of a process.

use std::fs;
use std::path::PathBuf;

use crate::MeasureError;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUse {
    /// Processor time of all its threads, in nanoseconds.
    pub cpu_ns: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUse {
    /// Reads what the process `id` uses now.
    ///
    /// The processor time is that of `schedstat`, which counts nanoseconds, since `stat` counts
    /// steps of 10 ms, as long as an idle process may run in a whole window. Threads that have ended
    /// aren't counted.
    ///
    /// # Errors
    ///
    /// The process has ended or the system isn't Linux.
    pub fn of(id: u32) -> Result<Self, MeasureError> {
        Self::read(id).ok_or(MeasureError::Figures { id })
    }

    fn read(id: u32) -> Option<Self> {
        let directory = PathBuf::from(format!("/proc/{id}"));
        let status = fs::read_to_string(directory.join("status")).ok()?;
        let mut cpu_ns = 0;
        for thread in fs::read_dir(directory.join("task")).ok()? {
            // A thread may end while the list is read.
            let text = fs::read_to_string(thread.ok()?.path().join("schedstat"));
            cpu_ns += text.ok().and_then(|text| parse_cpu_ns(&text)).unwrap_or(0);
        }
        Some(Self { cpu_ns, resident_kib: parse_resident_kib(&status)? })
    }
}

/// The processor time that a `schedstat` file tells, in nanoseconds.
pub fn parse_cpu_ns(schedstat: &str) -> Option<u64> {
    schedstat.split_whitespace().next()?.parse().ok()
}

/// The resident memory that a `status` file tells, in KiB.
pub fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The load average over the last minute that a `loadavg` file tells.
pub fn parse_load_average(loadavg: &str) -> Option<f64> {
    loadavg.split_whitespace().next()?.parse().ok()
}
