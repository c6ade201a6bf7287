//! The clocks of the process.

use std::time::Instant;

use persimmon_decide::MonoMs;
use rustix::time::{ClockId, clock_gettime};

/// The steady clock, and the one that goes on while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Steady time; it stands still while the VM is suspended.
    pub(crate) fn now(&self) -> MonoMs {
        let elapsed = self.start.elapsed().as_millis();
        // Starts above zero, so that zero is before everything.
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX).saturating_add(1))
    }

    /// The instant at a time of this clock.
    pub(crate) fn instant(&self, at: MonoMs) -> tokio::time::Instant {
        let ms = at.0.saturating_sub(1);
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_millis(ms))
    }

    /// Milliseconds since the VM started, suspended time included.
    pub(crate) fn since_boot_ms(&self) -> u64 {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        seconds * 1_000 + nanos / 1_000_000
    }
}
