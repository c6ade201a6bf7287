//! Rate limit for log lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;

use persimmon_decide::MonoMs;

/// Maximum number of lines of one kind in a second; further lines are only counted.
const LINES_PER_S: u32 = 20;
const WINDOW_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct KindCounts {
    window_start: MonoMs,
    written: u32,
    suppressed: u64,
}

/// Limits the rate of log lines of each kind and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogLimiter {
    kinds: RefCell<HashMap<&'static str, KindCounts>>,
}

impl LogLimiter {
    /// Creates a limiter that has admitted no lines yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of lines of this kind suppressed since the last admitted one, if a line
    /// may be written now; none if it is suppressed.
    pub fn admit(&self, kind: &'static str, now: MonoMs) -> Option<u64> {
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
