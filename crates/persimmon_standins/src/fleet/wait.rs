//! Polling for a condition.

use std::thread;
use std::time::{Duration, Instant};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `condition` returns true and reports whether it did within `deadline`.
///
/// ```
/// use std::time::Duration;
///
/// use persimmon_standins::fleet::wait_until;
///
/// let mut checks = 0;
/// assert!(wait_until(Duration::from_secs(1), || {
///     checks += 1;
///     checks == 3
/// }));
/// ```
#[must_use]
pub fn wait_until(deadline: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let ends_at = Instant::now() + deadline;
    while !condition() {
        if Instant::now() >= ends_at {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}
