//! How many retries a router may add to its fresh requests.

/// Thousandths of a retry, so that shares add up exactly.
const MILLI: u64 = 1_000;

/// Allows retries as a share of fresh requests. Only routers retry, so this bounds the extra work
/// of the fleet.
///
/// A retry here is an attempt that may repeat work: an earlier one ended unknown or was cut. Going
/// on to the next endpoint after a definite refusal repeats nothing and isn't counted.
///
/// ```
/// use persimmon_decide::recovery::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1);
/// for _ in 0..10 {
///     budget.record_fresh();
/// }
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    share_milli: u64,
    saved_milli: u64,
    max_saved_milli: u64,
}

impl RetryBudget {
    /// Retries that may be saved up, so that a long quiet time doesn't pay for a storm.
    pub const DEFAULT_MAX_SAVED: u32 = 10;

    /// A budget without anything saved, for `share` retries to each fresh request, from 0 to 1.
    pub fn new(share: f64) -> Self {
        let mut budget = Self {
            share_milli: 0,
            saved_milli: 0,
            max_saved_milli: u64::from(Self::DEFAULT_MAX_SAVED) * MILLI,
        };
        budget.set_share(share);
        budget
    }

    /// Sets how many retries may be saved up.
    #[must_use]
    pub fn with_max_saved(mut self, retries: u32) -> Self {
        self.max_saved_milli = u64::from(retries) * MILLI;
        self
    }

    /// Sets the share when new records come into force. What is saved stays.
    pub fn set_share(&mut self, share: f64) {
        self.share_milli = (share.clamp(0.0, 1.0) * MILLI as f64) as u64;
    }

    /// A caller sent a fresh request.
    pub fn record_fresh(&mut self) {
        self.saved_milli = (self.saved_milli + self.share_milli).min(self.max_saved_milli);
    }

    /// Takes one retry if the budget holds one.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        if self.saved_milli < MILLI {
            return false;
        }
        self.saved_milli -= MILLI;
        true
    }
}
