//! Time that callers have already spent on a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::MonoMs;

/// The longest deadlines that callers stated in this and the previous period.
#[derive(Debug, Default)]
struct Longest {
    began: MonoMs,
    current_ms: u64,
    previous_ms: u64,
}

/// Tracks the longest time that callers of each route state until their deadline.
///
/// Handles callers that come back after a refusal in overload: they state what is left of their time, which
/// is less than what callers state at first. The route's timeout alone doesn't tell, as all callers of a
/// route may state a shorter time.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::forward::StatedDeadlines;
///
/// let mut stated = StatedDeadlines::new();
/// assert_eq!(stated.spent_ms(&"commit".into(), 3_000, MonoMs(0)), 0);
/// assert_eq!(stated.spent_ms(&"commit".into(), 2_600, MonoMs(50)), 400);
/// ```
#[derive(Debug, Default)]
pub struct StatedDeadlines {
    routes: HashMap<Arc<str>, Longest>,
}

impl StatedDeadlines {
    /// Length of a period, in milliseconds: an overload of some seconds doesn't outlast what callers stated
    /// before it.
    const PERIOD_MS: u64 = 30_000;

    /// Creates a tracker that knows no deadlines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time until a caller's deadline, and returns the time that the caller has probably spent
    /// already; both in milliseconds.
    pub fn spent_ms(&mut self, route: &Arc<str>, stated_ms: u64, now: MonoMs) -> u64 {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), Longest { began: now, ..Longest::default() });
        }
        let Some(it) = self.routes.get_mut(route) else { return 0 };
        if now.ms_since(it.began) >= Self::PERIOD_MS {
            it.previous_ms = std::mem::take(&mut it.current_ms);
            it.began = now;
        }
        it.current_ms = it.current_ms.max(stated_ms);
        it.current_ms.max(it.previous_ms) - stated_ms
    }
}
