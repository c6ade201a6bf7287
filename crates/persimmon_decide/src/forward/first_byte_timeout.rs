//! Timeout for the first byte of an answer, after which a request goes to another endpoint.

use std::collections::HashMap;
use std::sync::Arc;

/// Estimates a high quantile of the time to first byte for each route.
///
/// Some endpoints lose single answers while they serve others. Only a time within which nearly all
/// answers begin distinguishes a lost answer from a slow one. When all answers of a route become
/// slow, the estimate follows within some dozens of requests, so that requests are sent twice only
/// for a short time.
#[derive(Debug, Default)]
pub struct FirstByteTimeout {
    quantile_ms: HashMap<Arc<str>, f64>,
}

impl FirstByteTimeout {
    /// Quantile to estimate: the share of answers that begin within the estimated time.
    const QUANTILE: f64 = 0.985;
    /// Relative increase of the estimate for an answer that took longer. An answer in time lowers
    /// the estimate by a smaller step that balances the increases at the quantile.
    const INCREASE: f64 = 0.25;
    /// Timeout as a multiple of the estimate.
    const TIMEOUT_FACTOR: f64 = 1.6;
    /// Minimum timeout, in milliseconds: several round trips plus the time to read a prompt.
    const MIN_TIMEOUT_MS: f64 = 320.0;
    /// Maximum timeout, in milliseconds. Callers abandon a stream that doesn't start within about
    /// two seconds.
    const MAX_TIMEOUT_MS: f64 = 1_500.0;

    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time to the first byte of an answer of this route, in milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        let Some(quantile_ms) = self.quantile_ms.get_mut(route) else {
            self.quantile_ms.insert(route.clone(), Self::MAX_TIMEOUT_MS / Self::TIMEOUT_FACTOR);
            return;
        };
        let decrease = Self::INCREASE * (1.0 - Self::QUANTILE) / Self::QUANTILE;
        let change = if ms > *quantile_ms { Self::INCREASE } else { -decrease };
        *quantile_ms *= 1.0 + change;
        *quantile_ms = quantile_ms.clamp(
            Self::MIN_TIMEOUT_MS / Self::TIMEOUT_FACTOR,
            Self::MAX_TIMEOUT_MS / Self::TIMEOUT_FACTOR,
        );
    }

    /// Returns the timeout for a request of this route, in milliseconds.
    pub fn timeout_ms(&self, route: &str) -> u64 {
        let quantile_ms = self.quantile_ms.get(route).copied().unwrap_or(f64::MAX);
        (quantile_ms * Self::TIMEOUT_FACTOR).clamp(Self::MIN_TIMEOUT_MS, Self::MAX_TIMEOUT_MS)
            as u64
    }
}
