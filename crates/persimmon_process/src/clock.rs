//! The clocks of the process, read here and handed to the decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use persimmon_records::{MonoMs, UnixMs};
use rustix::time::{ClockId, clock_gettime};

/// The steady clock, the one that goes on while the VM is suspended, and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose steady time starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Steady time. It goes on while the process is stopped, and stands still while the VM is
    /// suspended.
    pub fn now(&self) -> MonoMs {
        let elapsed = self.start.elapsed().as_millis();
        // Starts above zero, so that zero is before everything.
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX).saturating_add(1))
    }

    /// The instant at a time of this clock.
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(1))
    }

    /// Milliseconds since the VM started, suspended time included.
    pub fn since_boot_ms(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        seconds * 1_000 + nanos / 1_000_000
    }

    /// Wall-clock time; zero if it is set to before 1970.
    pub fn unix(&self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
