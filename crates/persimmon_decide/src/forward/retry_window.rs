//! How many times the fleet may send requests again in a sliding window.

use std::collections::VecDeque;

use super::ServiceRetries;
use crate::MonoMs;

/// The fleet's bound on repeated sends to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryWindowSettings {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeated sends allowed for each request in the window.
    pub ratio: f64,
    /// Repeated sends allowed besides.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    start: MonoMs,
    fresh: u32,
    repeated: u32,
}

/// Counts requests and repeated sends to one service in slices of the window.
///
/// A gateway may always use its own share of the bound: the ratio of its own requests, and an equal
/// part of the slack. What the others don't use, by their digests, is shared equally too, since all
/// of them may decide between two digests.
#[derive(Debug)]
pub struct RetryWindow {
    settings: RetryWindowSettings,
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Slices in a window; a finer count isn't worth its memory.
    const SLICES: u64 = 20;
    /// Part of what the others leave that is used; the rest covers the age of digests.
    const UNUSED_FRACTION: f64 = 0.7;
    /// Part of a gateway's own share that is used; the rest covers gateways that aren't known yet.
    const OWN_FRACTION: f64 = 0.85;

    /// A window without requests.
    pub fn new(settings: RetryWindowSettings) -> Self {
        Self { settings, slices: VecDeque::new() }
    }

    /// A caller's request goes to the service.
    pub fn record_fresh(&mut self, now: MonoMs) {
        self.slice(now).fresh += 1;
    }

    /// A request was sent again.
    pub fn record_repeated(&mut self, now: MonoMs) {
        self.slice(now).repeated += 1;
    }

    /// This gateway's counts in the window. A slice that lies in it in part counts with its repeated
    /// sends, but not with its requests, so that the bound holds for every window.
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

    /// Whether one more request may be sent again. `others` are the sums over the other gateways,
    /// of which there are `gateways` with this one.
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
