//! Wall-clock time as records and claims carry it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, by the wall clock of whichever process read it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
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

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
