//! A limit on the retries of a router.

/// Thousandths of a retry. The budget counts in integers so that shares add up exactly.
const MILLI: u64 = 1_000;

/// Limits retries to a share of the callers' requests. Only routers retry, so
/// this limits the additional work of the whole fleet.
///
/// A retry here is an attempt that may repeat work, because the outcome of an earlier
/// attempt is unknown or its stream was interrupted. An attempt at the next endpoint after a
/// definite refusal repeats no work and isn't counted.
///
/// ```
/// use persimmon_decide::recovery::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1);
/// for _ in 0..10 {
///     budget.record_request();
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
    /// Maximum number of saved retries, so that a long time without failures doesn't allow a retry
    /// storm.
    pub const DEFAULT_MAX_SAVED: u32 = 10;

    /// Creates an empty budget that grows by `share` retries, from 0 to 1, with each caller's
    /// request.
    pub fn new(share: f64) -> Self {
        let mut budget = Self {
            share_milli: 0,
            saved_milli: 0,
            max_saved_milli: u64::from(Self::DEFAULT_MAX_SAVED) * MILLI,
        };
        budget.set_share(share);
        budget
    }

    /// Sets the maximum number of saved retries.
    #[must_use]
    pub fn with_max_saved(mut self, retries: u32) -> Self {
        self.max_saved_milli = u64::from(retries) * MILLI;
        self
    }

    /// Sets the share, for example from new records. Saved retries remain.
    pub fn set_share(&mut self, share: f64) {
        self.share_milli = (share.clamp(0.0, 1.0) * MILLI as f64) as u64;
    }

    /// Records a caller's request, which adds the share to the budget.
    pub fn record_request(&mut self) {
        self.saved_milli = (self.saved_milli + self.share_milli).min(self.max_saved_milli);
    }

    /// Spends one retry and returns true if the budget allows it.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        if self.saved_milli < MILLI {
            return false;
        }
        self.saved_milli -= MILLI;
        true
    }
}
