//! Reads the kernel's statistics of a process.

use std::fs;
use std::path::{Path, PathBuf};

use crate::MeasureError;

/// Resolution of the CPU time in `stat`, in ticks per second. Linux reports 100 to user
/// programs, whatever the frequency of its own timer.
const TICKS_PER_S: u64 = 100;

/// CPU time, memory and sockets of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time of all threads, including those that have ended, in milliseconds. The kernel
    /// counts it in steps of 10 ms.
    pub cpu_ms: u64,
    /// CPU time of the live threads, in nanoseconds. It also resolves the usage of an
    /// idle daemon, which stays below one step of [`Self::cpu_ms`] for many seconds.
    pub live_threads_cpu_ns: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Number of open sockets.
    pub sockets: usize,
}

impl ProcessUsage {
    /// Reads the current usage of the process `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or the system isn't Linux.
    pub fn of(id: u32) -> Result<Self, MeasureError> {
        Self::read(id).ok_or(MeasureError::ProcessStats { id })
    }

    fn read(id: u32) -> Option<Self> {
        let directory = PathBuf::from(format!("/proc/{id}"));
        let status = fs::read_to_string(directory.join("status")).ok()?;
        let stat = fs::read_to_string(directory.join("stat")).ok()?;
        let mut live_threads_cpu_ns = 0;
        for thread in fs::read_dir(directory.join("task")).ok()? {
            // A thread may end before its file is read.
            let text = fs::read_to_string(thread.ok()?.path().join("schedstat"));
            live_threads_cpu_ns += text.ok().and_then(|text| parse_cpu_ns(&text)).unwrap_or(0);
        }
        let resident_kib = parse_resident_kib(&status)?;
        let sockets = count_sockets(&directory.join("fd"))?;
        Some(Self { cpu_ms: parse_cpu_ms(&stat)?, live_threads_cpu_ns, resident_kib, sockets })
    }
}

fn count_sockets(directory: &Path) -> Option<usize> {
    let files = fs::read_dir(directory).ok()?;
    let targets = files.filter_map(|file| fs::read_link(file.ok()?.path()).ok());
    Some(targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count())
}

/// Parses a `stat` file and returns the sum of user and system CPU time, in milliseconds.
pub fn parse_cpu_ms(stat: &str) -> Option<u64> {
    // The second field is the program's name in parentheses, which may contain spaces and
    // parentheses itself.
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1_000 / TICKS_PER_S)
}

/// Parses a `schedstat` file and returns the CPU time, in nanoseconds.
pub fn parse_cpu_ns(schedstat: &str) -> Option<u64> {
    schedstat.split_whitespace().next()?.parse().ok()
}

/// Parses a `status` file and returns the resident memory, in KiB.
pub fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Parses a `loadavg` file and returns the load average over the last minute.
pub fn parse_load_average(loadavg: &str) -> Option<f64> {
    loadavg.split_whitespace().next()?.parse().ok()
}
