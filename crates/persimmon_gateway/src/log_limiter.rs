//! Bounds the log lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;

use persimmon_decide::MonoMs;

/// Lines of one kind that are written in a second; the rest are counted.
const LINES_PER_S: u32 = 20;
const WINDOW_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Kind {
    window_start: MonoMs,
    written: u32,
    suppressed: u64,
}

/// Says which lines are written, and how many of their kind were left out before.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    kinds: RefCell<HashMap<&'static str, Kind>>,
}

impl LogLimiter {
    /// A log_limiter that wrote nothing yet.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Whether a line of this kind is written now; if so, how many were left out since the last.
    pub(crate) fn admit(&self, kind: &'static str, now: MonoMs) -> Option<u64> {
        let mut kinds = self.kinds.borrow_mut();
        let it = kinds.entry(kind).or_default();
        if now.ms_since(it.window_start) >= WINDOW_MS {
            it.window_start = now;
            it.written = 0;
        }
        if it.written >= LINES_PER_S {
            it.suppressed += 1;
            return None;
        }
        it.written += 1;
        Some(std::mem::take(&mut it.suppressed))
    }
}
