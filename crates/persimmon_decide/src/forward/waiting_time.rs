//! Estimate of the queueing time at a service.

use std::collections::HashMap;
use std::sync::Arc;

/// Tracks the mean service time of requests to each service, that is, the time without waiting for
/// a slot.
///
/// When all slots of a service are taken, a request that would wait longer than its caller does is
/// refused immediately, with a retry delay.
///
/// ```
/// use persimmon_decide::forward::WaitingTime;
///
/// let mut times = WaitingTime::new();
/// times.record(&"ledger".into(), 40);
/// assert_eq!(times.wait_ms("ledger", 5, 6), 0);
/// assert_eq!(times.wait_ms("ledger", 17, 6), 96);
/// assert_eq!(times.mean_ms("ledger"), 40);
/// ```
#[derive(Debug, Default)]
pub struct WaitingTime {
    mean_ms: HashMap<Arc<str>, f64>,
}

impl WaitingTime {
    /// Weight of a new sample in the mean, which then mostly reflects the last twenty requests.
    const SAMPLE_WEIGHT: f64 = 0.05;

    /// Factor on the expected time until a slot is free, since slots don't become free at even
    /// intervals.
    const SLOT_WAIT_FACTOR: f64 = 1.2;
    /// Minimum ratio of the target to the mean time for most requests to meet the target.
    const MIN_TARGET_RATIO: f64 = 1.5;
    /// Fraction of the time beyond the mean that requests may wait. The rest allows for requests
    /// that take longer than the mean, and for the age of the other gateways' counts.
    const QUEUE_FRACTION: f64 = 0.6;

    /// Creates a tracker without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration, in milliseconds, of a request that got a slot immediately.
    pub fn record(&mut self, service: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        match self.mean_ms.get_mut(service) {
            Some(mean_ms) => *mean_ms += Self::SAMPLE_WEIGHT * (ms - *mean_ms),
            None => {
                self.mean_ms.insert(service.clone(), ms);
            }
        }
    }

    /// Returns the mean duration of a request, in milliseconds; zero if there are no samples.
    pub fn mean_ms(&self, service: &str) -> u64 {
        self.mean_ms.get(service).copied().unwrap_or(0.0) as u64
    }

    /// Returns the fill, as a multiple of an endpoint's slots, up to which a request is answered
    /// within `target_ms`, or within `deadline_ms` if the target is too short even without a queue.
    /// The fill is at least one, and infinite if there are no samples.
    ///
    /// Under a lasting overload, a queue limited only by the deadline makes every caller wait until
    /// the deadline. A shorter queue serves as many requests, and on time.
    pub fn max_fill(&self, service: &str, target_ms: u64, deadline_ms: u64) -> f64 {
        let Some(mean_ms) = self.mean_ms.get(service).copied().filter(|ms| *ms > 0.0) else {
            return f64::INFINITY;
        };
        let limit_ms = self.limit_ms(service, target_ms, deadline_ms) as f64;
        1.0 + (limit_ms - mean_ms).max(0.0) * Self::QUEUE_FRACTION / mean_ms
    }

    /// Returns the time within which a request should be answered: `target_ms`, or `deadline_ms` if the
    /// target is too short even without a queue.
    pub fn limit_ms(&self, service: &str, target_ms: u64, deadline_ms: u64) -> u64 {
        let mean_ms = self.mean_ms.get(service).copied().unwrap_or(0.0);
        let is_reachable = target_ms as f64 >= mean_ms * Self::MIN_TARGET_RATIO;
        if is_reachable { target_ms } else { deadline_ms }
    }

    /// Returns the retry delay for a caller that found no free slot, in milliseconds: one to three
    /// times the mean duration of a request, since an overload usually lasts longer than one
    /// request. The random number `draw` spreads the retries.
    pub fn retry_after_ms(&self, service: &str, draw: u64) -> u64 {
        let mean_ms = self.mean_ms(service).max(1);
        mean_ms + draw % (2 * mean_ms)
    }

    /// Returns the time a request waits for a slot at an endpoint with `slots` slots and `load`
    /// requests, in milliseconds; zero if there are no samples. Slots become free one after
    /// another, unevenly spread over the mean duration of a request.
    pub fn wait_ms(&self, service: &str, load: u32, slots: u32) -> u64 {
        let ahead = f64::from((load + 1).saturating_sub(slots));
        let mean_ms = self.mean_ms.get(service).copied().unwrap_or(0.0);
        (ahead * mean_ms / f64::from(slots.max(1)) * Self::SLOT_WAIT_FACTOR) as u64
    }
}
