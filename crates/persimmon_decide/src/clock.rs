//! Monotonic time as the decisions see it.

use serde::{Deserialize, Serialize};

/// Milliseconds on a process's monotonic clock, counted from any fixed start.
///
/// ```
/// use persimmon_decide::MonoMs;
///
/// let start = MonoMs(1_000);
/// assert_eq!(start.plus_ms(500).ms_since(start), 500);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// This time plus `ms` milliseconds, held at the latest representable time.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
