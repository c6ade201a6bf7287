//! Limit on the fleet's retries in a sliding window.

use std::collections::VecDeque;

use super::ServiceRetries;
use crate::MonoMs;

/// Limit on the fleet's retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryWindowSettings {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed on top of the ratio.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    start: MonoMs,
    fresh: u32,
    repeated: u32,
}

/// Counts the requests and retries to one service in slices of the window.
///
/// A gateway can always use its own share of the limit: the ratio of its own requests, plus an
/// equal part of the slack. The unused shares of the other gateways, by their digests, are also
/// divided equally, since all gateways may decide between two digests.
#[derive(Debug)]
pub struct RetryWindow {
    settings: RetryWindowSettings,
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Number of slices in a window; more slices would use more memory for little gain in
    /// precision.
    const SLICES: u64 = 20;
    /// Fraction of the other gateways' unused shares that may be used. The rest allows for the age
    /// of digests.
    const UNUSED_FRACTION: f64 = 0.7;
    /// Fraction of a gateway's own share that may be used. The rest allows for gateways that aren't
    /// known yet.
    const OWN_FRACTION: f64 = 0.85;

    /// Creates an empty window.
    pub fn new(settings: RetryWindowSettings) -> Self {
        Self { settings, slices: VecDeque::new() }
    }

    /// Records a caller's request to the service; retries of it are recorded separately.
    pub fn record_request(&mut self, now: MonoMs) {
        self.slice(now).fresh += 1;
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: MonoMs) {
        self.slice(now).repeated += 1;
    }

    /// Returns this gateway's counts in the window. A slice that is only partly in the window
    /// counts with its retries but not with its requests, so that the limit holds for every window.
    pub fn counts(&self, now: MonoMs) -> ServiceRetries {
        let window_ms = self.settings.window_ms;
        let slice_ms = self.slice_ms();
        let mut counts = ServiceRetries::default();
        for slice in &self.slices {
            let age_ms = now.ms_since(slice.start);
            if age_ms < window_ms {
                counts.fresh += slice.fresh;
            }
            if age_ms < window_ms + slice_ms {
                counts.repeated += slice.repeated;
            }
        }
        counts
    }

    /// Reports whether one more retry is allowed. `others` are the sums over the other gateways,
    /// and `gateways` is the number of gateways including this one.
    pub fn allows(&self, others: ServiceRetries, gateways: usize, now: MonoMs) -> bool {
        let own = self.counts(now);
        let settings = self.settings;
        let gateways = gateways.max(1) as f64;
        let slack = settings.slack / gateways;
        let share = settings.ratio * f64::from(own.fresh) + slack;
        let others_share = settings.ratio * f64::from(others.fresh) + settings.slack - slack;
        let unused = (others_share - f64::from(others.repeated)).max(0.0);
        let allowed = share * Self::OWN_FRACTION + unused * Self::UNUSED_FRACTION / gateways;
        f64::from(own.repeated + 1) <= allowed
    }

    fn slice_ms(&self) -> u64 {
        (self.settings.window_ms / Self::SLICES).max(1)
    }

    fn slice(&mut self, now: MonoMs) -> &mut Slice {
        let slice_ms = self.slice_ms();
        let start = MonoMs(now.0 - now.0 % slice_ms);
        let retained_ms = self.settings.window_ms + slice_ms;
        while self.slices.front().is_some_and(|it| now.ms_since(it.start) > retained_ms) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.start != start) {
            self.slices.push_back(Slice { start, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
