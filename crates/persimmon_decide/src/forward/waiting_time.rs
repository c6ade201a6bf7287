//! How long a request would wait at a service.

use std::collections::HashMap;
use std::sync::Arc;

/// The mean time that endpoints of each service take for a request, without waiting for a slot.
///
/// Answers the load at which all slots of a service are taken: a request that would wait longer
/// than its caller does is refused at once, and told when there is room.
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
    /// Weight of a new time in the mean. Some twenty requests make a fresh estimate.
    const SAMPLE_WEIGHT: f64 = 0.05;

    /// How much longer than on average a slot may take to become free.
    const SLOT_WAIT_FACTOR: f64 = 1.2;
    /// How far a target has to lie above the mean time to be kept by most requests.
    const MIN_TARGET_RATIO: f64 = 1.5;
    /// Part of the time beyond the mean that requests may wait; the rest covers requests that take
    /// longer than the mean, and the age of other gateways' counts.
    const QUEUE_FRACTION: f64 = 0.6;

    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request at this service that had a slot at once took so long, in milliseconds.
    pub fn record(&mut self, service: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        match self.mean_ms.get_mut(service) {
            Some(mean_ms) => *mean_ms += Self::SAMPLE_WEIGHT * (ms - *mean_ms),
            None => {
                self.mean_ms.insert(service.clone(), ms);
            }
        }
    }

    /// The mean time of a request, in milliseconds; zero while nothing is known.
    pub fn mean_ms(&self, service: &str) -> u64 {
        self.mean_ms.get(service).copied().unwrap_or(0.0) as u64
    }

    /// How full an endpoint may be, as a multiple of its slots, for a request to be answered within
    /// `target_ms`; within `deadline_ms` if a request without any wait takes longer than the
    /// target. At least one, and infinite while nothing is known.
    ///
    /// Answers the load that lasts: where the queue only bounds the deadline, all callers wait
    /// until it, and are answered late; a shorter queue serves as many, on time.
    pub fn max_fill(&self, service: &str, target_ms: u64, deadline_ms: u64) -> f64 {
        let Some(mean_ms) = self.mean_ms.get(service).copied().filter(|ms| *ms > 0.0) else {
            return f64::INFINITY;
        };
        let is_reachable = target_ms as f64 >= mean_ms * Self::MIN_TARGET_RATIO;
        let limit_ms = if is_reachable { target_ms } else { deadline_ms } as f64;
        1.0 + (limit_ms - mean_ms).max(0.0) * Self::QUEUE_FRACTION / mean_ms
    }

    /// When a caller may come back that found no slot, in milliseconds: in one to three times the
    /// time in which the slots are taken by other requests, since an overload mostly lasts longer
    /// than one request. `draw`, any number, spreads the callers.
    pub fn retry_after_ms(&self, service: &str, draw: u64) -> u64 {
        let mean_ms = self.mean_ms(service).max(1);
        mean_ms + draw % (2 * mean_ms)
    }

    /// How long a request waits for a slot at an endpoint with `slots` of them and `load` requests,
    /// in milliseconds; zero while nothing is known. Slots become free one after the other, spread
    /// over the mean time of a request, but not evenly.
    pub fn wait_ms(&self, service: &str, load: u32, slots: u32) -> u64 {
        let ahead = f64::from((load + 1).saturating_sub(slots));
        let mean_ms = self.mean_ms.get(service).copied().unwrap_or(0.0);
        (ahead * mean_ms / f64::from(slots.max(1)) * Self::SLOT_WAIT_FACTOR) as u64
    }
}
