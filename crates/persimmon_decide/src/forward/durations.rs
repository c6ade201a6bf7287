//! How long requests of a route last.

use std::collections::HashMap;
use std::sync::Arc;

/// Mean and deviation of the time that a route's requests take, by exponential smoothing.
#[derive(Debug, Default)]
pub struct DurationBook {
    routes: HashMap<Arc<str>, Smoothed>,
}

#[derive(Debug, Clone, Copy)]
struct Smoothed {
    mean_ms: f64,
    deviation_ms: f64,
}

impl DurationBook {
    /// Weight of a new duration. Some twenty requests make a fresh estimate.
    const WEIGHT: f64 = 0.05;
    /// Deviations above the mean that cover nearly all requests.
    const MARGIN: f64 = 3.0;

    /// A book without durations.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request of this route took so long, in milliseconds.
    pub fn record(&mut self, route: &Arc<str>, ms: u64) {
        let ms = ms as f64;
        match self.routes.get_mut(route) {
            Some(it) => {
                let error = ms - it.mean_ms;
                it.mean_ms += Self::WEIGHT * error;
                it.deviation_ms += Self::WEIGHT * (error.abs() - it.deviation_ms);
            }
            None => {
                self.routes.insert(route.clone(), Smoothed { mean_ms: ms, deviation_ms: ms / 2.0 });
            }
        }
    }

    /// The time in which nearly all requests of the route end, in milliseconds; none while unknown.
    pub fn most_ms(&self, route: &str) -> Option<u64> {
        let it = self.routes.get(route)?;
        Some((it.mean_ms + Self::MARGIN * it.deviation_ms) as u64)
    }
}
