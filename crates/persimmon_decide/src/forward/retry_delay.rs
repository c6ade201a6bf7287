//! Delay after which a caller that was refused should come back.

use std::collections::VecDeque;

use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
struct Slice {
    start: MonoMs,
    admitted: u32,
    refused: u32,
}

/// What the delay of one caller is decided by.
#[derive(Debug, Clone, Copy)]
pub struct RetryInput {
    /// Mean duration of a request with a slot, in milliseconds.
    pub turnover_ms: u64,
    /// Time that the caller has spent on the request, in milliseconds.
    pub spent_ms: u64,
    /// Time within which the request should be answered, in milliseconds.
    pub target_ms: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub left_ms: u64,
    /// Random number from 0 to 1 that spreads the callers.
    pub draw: f64,
    /// Current time.
    pub now: MonoMs,
}

/// Decides when callers of short requests that an overloaded service refused should come back.
///
/// Handles overload in which gateways limit their requests to their shares. A caller that can still be on
/// time comes back within a turnover: another gateway probably gets it, whose share may not be used up. A
/// caller that can't be on time any more is worth little, and finds a service that is as full as before if
/// it comes back soon. With few refusals for each admitted request it comes back after one to three
/// turnovers, and with as many refused as admitted ones as late as it is willing to, which is after a third
/// of its remaining time.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::forward::{RetryDelay, RetryInput};
///
/// let mut delay = RetryDelay::new();
/// let (turnover_ms, left_ms, now) = (50, 3_000, MonoMs(0));
/// let first = RetryInput { turnover_ms, spent_ms: 0, target_ms: 300, left_ms, draw: 0.5, now };
/// assert_eq!(delay.delay_ms(first), 20);
/// let late = RetryInput { spent_ms: 200, ..first };
/// assert_eq!(delay.delay_ms(late), 100);
/// delay.record(true, now);
/// delay.record(false, now);
/// assert_eq!(delay.delay_ms(late), 750);
/// ```
#[derive(Debug, Default)]
pub struct RetryDelay {
    slices: VecDeque<Slice>,
}

impl RetryDelay {
    /// Time whose decisions count, in milliseconds: it covers some digests of a large fleet, and an overload
    /// that has ended is forgotten before most callers come back.
    const WINDOW_MS: u64 = 1_000;
    /// Length of a slice of that time, in milliseconds.
    const SLICE_MS: u64 = 100;
    /// Shortest and longest delay of a caller that can still be on time, in turnovers. At no delay callers
    /// find the same state as before, and at more than one turnover too few of them are on time.
    const SOON_TURNOVERS: (f64, f64) = (0.2, 0.6);
    /// Time that a request needs after its caller came back, in turnovers: its own and a queue.
    const NEEDED_TURNOVERS: f64 = 2.0;
    /// Maximum delay without pressure, in turnovers.
    const MAX_TURNOVERS: f64 = 3.0;
    /// Divisor of the caller's remaining time; callers don't wait longer than the quotient.
    const MAX_DELAY_DIVISOR: f64 = 3.0;
    /// Ratio of the shortest to the longest delay under full pressure.
    const SPREAD: f64 = 0.5;

    /// Creates a state without decisions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, is_admitted: bool, now: MonoMs) {
        let start = MonoMs(now.0 - now.0 % Self::SLICE_MS);
        while self.slices.front().is_some_and(|it| !Self::counts(it, now)) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.start != start) {
            self.slices.push_back(Slice { start, admitted: 0, refused: 0 });
        }
        let Some(slice) = self.slices.back_mut() else { return };
        if is_admitted {
            slice.admitted += 1;
        } else {
            slice.refused += 1;
        }
    }

    /// Returns the number of refused requests for each admitted one.
    pub fn pressure(&self, now: MonoMs) -> f64 {
        let recent = || self.slices.iter().filter(|it| Self::counts(it, now));
        let admitted: u32 = recent().map(|it| it.admitted).sum();
        let refused: u32 = recent().map(|it| it.refused).sum();
        f64::from(refused) / f64::from(admitted.max(1))
    }

    /// Returns the delay for a caller, in milliseconds.
    pub fn delay_ms(&self, input: RetryInput) -> u64 {
        let turnover_ms = input.turnover_ms.max(1) as f64;
        let longest_ms = input.left_ms as f64 / Self::MAX_DELAY_DIVISOR;
        let (soon_from, soon_to) = Self::SOON_TURNOVERS;
        let needed_ms = (soon_to + Self::NEEDED_TURNOVERS) * turnover_ms;
        let (from_ms, to_ms) = if input.spent_ms as f64 + needed_ms <= input.target_ms as f64 {
            (soon_from * turnover_ms, soon_to * turnover_ms)
        } else {
            let pressure = self.pressure(input.now).min(1.0);
            let between = |calm_ms: f64, full_ms: f64| {
                let calm_ms = calm_ms.min(full_ms);
                calm_ms + pressure * (full_ms - calm_ms)
            };
            let from_ms = between(turnover_ms, longest_ms * Self::SPREAD);
            (from_ms, between(turnover_ms * Self::MAX_TURNOVERS, longest_ms))
        };
        let delay_ms = from_ms + input.draw * (to_ms - from_ms);
        delay_ms.min(longest_ms).round().max(1.0) as u64
    }

    fn counts(slice: &Slice, now: MonoMs) -> bool {
        now.ms_since(slice.start) < Self::WINDOW_MS
    }
}
