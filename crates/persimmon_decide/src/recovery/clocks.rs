//! Simultaneous readings of the monotonic and the wall clock.

use persimmon_records::UnixMs;

use crate::MonoMs;

/// One reading of the monotonic and the wall clock.
///
/// After a process was stopped, both clocks have jumped; after its VM was suspended, only the wall
/// clock has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock.
    pub mono: MonoMs,
    /// The wall clock.
    pub wall: UnixMs,
}

impl Clocks {
    /// Returns the milliseconds since `earlier` by the clock that advanced further.
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.mono.ms_since(earlier.mono).max(self.wall.ms_since(earlier.wall))
    }
}
