//! Clocks of a process. The decision code reads no clock itself and gets the times as arguments.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use persimmon_records::{MonoMs, UnixMs};
use rustix::time::{ClockId, clock_gettime};

/// The monotonic clock, the boot-time clock, which includes time during which the VM is suspended,
/// and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the monotonic time. It advances while the process is stopped, but not while the VM
    /// is suspended.
    pub fn now(&self) -> MonoMs {
        let elapsed = self.start.elapsed().as_millis();
        // Starts at 1, so that zero is earlier than any time of the clock.
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX).saturating_add(1))
    }

    /// Converts a monotonic time of this clock to an [`Instant`].
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(1))
    }

    /// Returns the milliseconds since the VM started, including the time when it was suspended.
    pub fn since_boot_ms(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        seconds * 1_000 + nanos / 1_000_000
    }

    /// Returns the wall-clock time, or zero if the clock is set to before 1970.
    pub fn unix(&self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
