//! Length of the queue with which a service's answers are on time.

/// Factor on the queue at a service's endpoints, adjusted by whether answers are on time.
///
/// Handles overload of endpoints whose speed isn't known: the mean duration of requests shows neither
/// endpoints that are slow for a moment, nor the spread between the queues of several endpoints. A queue
/// that should end within the target then makes many answers late.
///
/// Each late answer shrinks the factor, and each answer on time enlarges it, by steps in the ratio of
/// [`Self::LATE_STEP`] to [`Self::ON_TIME_STEP`]. The factor is steady where the expected steps cancel out,
/// that is, where one answer in ten is late.
///
/// ```
/// use persimmon_decide::forward::QueueAllowance;
///
/// let mut allowance = QueueAllowance::new();
/// assert_eq!(allowance.fill(3.0), 3.0);
/// allowance.record(false);
/// assert!(allowance.fill(3.0) < 3.0);
/// ```
#[derive(Debug)]
pub struct QueueAllowance {
    /// Natural logarithm of the factor.
    log_factor: f64,
}

impl QueueAllowance {
    /// Step of the logarithm for an answer on time: a gateway of a large fleet gets few answers during an
    /// overload, and has to adjust within about twenty.
    const ON_TIME_STEP: f64 = 0.02;
    /// Step of the logarithm for a late answer, which makes one late answer in ten the steady state.
    const LATE_STEP: f64 = 9.0 * Self::ON_TIME_STEP;
    /// Minimum factor. Without any queue, freed slots are idle until the next request.
    const MIN_FACTOR: f64 = 0.2;
    /// Maximum factor. The queue from which it starts already allows for the whole target.
    const MAX_FACTOR: f64 = 1.5;

    /// Creates an allowance that doesn't change the queue.
    pub fn new() -> Self {
        Self { log_factor: 0.0 }
    }

    /// Records an answer during an overload.
    pub fn record(&mut self, is_on_time: bool) {
        let step = if is_on_time { Self::ON_TIME_STEP } else { -Self::LATE_STEP };
        let next = self.log_factor + step;
        self.log_factor = next.clamp(Self::MIN_FACTOR.ln(), Self::MAX_FACTOR.ln());
    }

    /// Returns the fill of endpoints with the allowed queue; `fill` is the one expected to meet the target.
    pub fn fill(&self, fill: f64) -> f64 {
        1.0 + (fill - 1.0).max(0.0) * self.factor()
    }

    /// Returns the factor on the queue.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }
}

impl Default for QueueAllowance {
    fn default() -> Self {
        Self::new()
    }
}
