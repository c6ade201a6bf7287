//! How long requests of a route last.

use std::collections::HashMap;
use std::sync::Arc;

/// The longest time that requests of each route took lately.
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
    /// What is left of the longest time after each shorter request. It takes some hundred requests
    /// to forget an outlier.
    const DECAY: f64 = 0.997;

    /// A book without durations.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request of this route took so long, in milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        match self.max_ms.get_mut(route) {
            Some(max_ms) => *max_ms = ms.max(*max_ms * Self::DECAY),
            None => {
                self.max_ms.insert(route.clone(), ms);
            }
        }
    }

    /// The time in which nearly all requests of the route end, in milliseconds; none while unknown.
    pub fn max_ms(&self, route: &str) -> Option<u64> {
        self.max_ms.get(route).map(|max_ms| *max_ms as u64)
    }
}
