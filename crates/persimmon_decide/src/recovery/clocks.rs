//! Both clocks of a process, read together.

use persimmon_records::UnixMs;

use crate::MonoMs;

/// One reading of the monotonic and the wall clock.
///
/// A process that was stopped shows as a jump of the monotonic clock; a VM that was suspended shows
/// as a jump of the wall clock alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock.
    pub mono: MonoMs,
    /// The wall clock.
    pub wall: UnixMs,
}

impl Clocks {
    /// Milliseconds that passed since `earlier` by whichever clock advanced further.
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.mono.ms_since(earlier.mono).max(self.wall.ms_since(earlier.wall))
    }
}
