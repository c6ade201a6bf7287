//! Longest recent durations of requests.

use std::collections::HashMap;
use std::sync::Arc;

/// Tracks the longest recent duration of requests for each route.
///
/// ```
/// use persimmon_decide::forward::DurationTracker;
///
/// let mut durations = DurationTracker::new();
/// assert_eq!(durations.max_ms("chat"), None);
/// durations.record(&"chat".into(), 4_000);
/// durations.record(&"chat".into(), 100);
/// assert!(durations.max_ms("chat").unwrap() > 3_900);
/// ```
#[derive(Debug, Default)]
pub struct DurationTracker {
    max_ms: HashMap<Arc<str>, f64>,
}

impl DurationTracker {
    /// Factor by which each shorter request reduces the maximum. It takes some hundreds of requests
    /// to forget an outlier.
    const DECAY: f64 = 0.997;

    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration of a request of this route, in milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        match self.max_ms.get_mut(route) {
            Some(max_ms) => *max_ms = ms.max(*max_ms * Self::DECAY),
            None => {
                self.max_ms.insert(route.clone(), ms);
            }
        }
    }

    /// Returns the time within which nearly all requests of the route finish, in milliseconds; none
    /// if unknown.
    pub fn max_ms(&self, route: &str) -> Option<u64> {
        self.max_ms.get(route).map(|max_ms| *max_ms as u64)
    }
}
