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
/// A gateway may always use its own share of the bound. Beyond that it may use what the others
/// leave, by their digests, up to a part of the whole, since several may decide between two
/// digests.
#[derive(Debug)]
pub struct RetryWindow {
    settings: RetryWindowSettings,
    slices: VecDeque<Slice>,
}

impl RetryWindow {
    /// Slices in a window; a finer count isn't worth its memory.
    const SLICES: u64 = 20;
    /// Part of the fleet's bound that is used by the sum over gateways, so that decisions between
    /// two digests don't exceed it.
    const SHARED_PART: f64 = 0.7;
    /// Part of a gateway's own share that is always available.
    const OWN_PART: f64 = 0.85;

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

    /// This gateway's counts in the window.
    pub fn counts(&self, now: MonoMs) -> ServiceRetries {
        let live = self.slices.iter().filter(|it| now.ms_since(it.start) < self.settings.window_ms);
        live.fold(ServiceRetries::default(), |sum, it| ServiceRetries {
            fresh: sum.fresh + it.fresh,
            repeated: sum.repeated + it.repeated,
        })
    }

    /// Whether one more request may be sent again. `others` are the sums over the other gateways,
    /// of which there are `gateways` with this one.
    pub fn allows(&self, others: ServiceRetries, gateways: usize, now: MonoMs) -> bool {
        let own = self.counts(now);
        let settings = self.settings;
        let share = settings.ratio * f64::from(own.fresh) + settings.slack / gateways.max(1) as f64;
        if f64::from(own.repeated + 1) <= share * Self::OWN_PART {
            return true;
        }
        let fleet = settings.ratio * f64::from(own.fresh + others.fresh) + settings.slack;
        f64::from(own.repeated + others.repeated + 1) <= fleet * Self::SHARED_PART
    }

    fn slice(&mut self, now: MonoMs) -> &mut Slice {
        let slice_ms = (self.settings.window_ms / Self::SLICES).max(1);
        let start = MonoMs(now.0 - now.0 % slice_ms);
        let window_ms = self.settings.window_ms;
        while self.slices.front().is_some_and(|it| now.ms_since(it.start) > window_ms) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.start != start) {
            self.slices.push_back(Slice { start, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
