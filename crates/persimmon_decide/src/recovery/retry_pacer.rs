//! Exponential back-off with jitter.

/// Draws random delays for retries and for `Retry-After`.
///
/// ```
/// use persimmon_decide::recovery::RetryPacer;
///
/// let pacer = RetryPacer::new(50, 2_000);
/// assert!(pacer.delay_ms(3, 0x9e37_79b9_7f4a_7c15) <= 400);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryPacer {
    base_ms: u64,
    max_ms: u64,
}

impl RetryPacer {
    /// Creates a pacer whose longest delay is `base_ms` at first, doubles with each attempt and
    /// never exceeds `max_ms`.
    pub fn new(base_ms: u64, max_ms: u64) -> Self {
        Self { base_ms, max_ms }
    }

    /// Returns the delay in milliseconds before retry number `attempt`, counted from 0: uniformly
    /// distributed up to a bound that doubles with each attempt.
    pub fn delay_ms(&self, attempt: u32, random: u64) -> u64 {
        let doublings = attempt.min(u64::BITS - 1);
        let bound = self.base_ms.saturating_mul(1 << doublings).min(self.max_ms);
        scale(random, bound + 1)
    }

    /// Returns whole seconds for `Retry-After`, between `least_s` and twice that, so that callers
    /// that were refused together don't retry together.
    pub fn retry_after_s(least_s: u64, random: u64) -> u64 {
        least_s + scale(random, least_s + 1)
    }
}

/// Maps a random number uniformly onto `0..bound`.
pub(crate) fn scale(random: u64, bound: u64) -> u64 {
    ((u128::from(random) * u128::from(bound)) >> u64::BITS) as u64
}
