//! The clocks of the process, read here and handed to the decisions.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use persimmon_decide::MonoMs;
use persimmon_records::UnixMs;

/// The monotonic and the wall clock of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Monotonic time. It goes on while the process is stopped.
    pub(crate) fn now(&self) -> MonoMs {
        let elapsed = self.start.elapsed().as_millis();
        MonoMs(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Wall-clock time.
    pub(crate) fn unix(&self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
