//! How long a request waits for the start of its answer before it goes to another endpoint.

use std::collections::HashMap;
use std::sync::Arc;

/// Follows the time to the first byte of each route's answers.
///
/// Answers endpoints that lose single answers while they serve others: only a time that nearly all
/// answers keep tells such a request from a slow one. When all of a route turns slow, the time
/// follows within some dozens of requests, and nothing is sent twice for long.
#[derive(Debug, Default)]
pub struct FirstByteTimeout {
    quantile_ms: HashMap<Arc<str>, f64>,
}

impl FirstByteTimeout {
    /// Share of the answers that begin within the followed time.
    const QUANTILE: f64 = 0.985;
    /// Step of the followed time, as a part of itself, for an answer that took longer. An answer in
    /// time lowers it by a step that keeps the share.
    const INCREASE: f64 = 0.25;
    /// How far beyond the followed time a request waits.
    const TIMEOUT_FACTOR: f64 = 1.6;
    /// Shortest wait, in milliseconds: several round trips and a prompt's reading.
    const MIN_TIMEOUT_MS: f64 = 320.0;
    /// Longest wait, in milliseconds; callers leave a stream that doesn't start after some two
    /// seconds.
    const MAX_TIMEOUT_MS: f64 = 1_500.0;

    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// An answer of this route began after so long, in milliseconds.
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

    /// How long a request of this route waits, in milliseconds.
    pub fn wait_ms(&self, route: &str) -> u64 {
        let quantile_ms = self.quantile_ms.get(route).copied().unwrap_or(f64::MAX);
        (quantile_ms * Self::TIMEOUT_FACTOR).clamp(Self::MIN_TIMEOUT_MS, Self::MAX_TIMEOUT_MS)
            as u64
    }
}
