//! Times in milliseconds, with one type for each kind of clock, so that times of different clocks
//! can't be compared.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Defines the time type of one kind of clock.
macro_rules! clock_time {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Default,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Adds `ms` milliseconds, saturating at the latest representable time.
            #[must_use]
            pub fn plus_ms(self, ms: u64) -> Self {
                Self(self.0.saturating_add(ms))
            }

            /// Returns the milliseconds from `earlier` to this time, or zero if `earlier` is later.
            #[must_use]
            pub fn ms_since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }
        }
    };
}

clock_time! {
    /// Milliseconds since the Unix epoch, by the wall clock of the process that read it.
    UnixMs
}

clock_time! {
    /// Milliseconds on a process's monotonic clock, counted from an arbitrary start.
    ///
    /// ```
    /// use persimmon_records::MonoMs;
    ///
    /// let start = MonoMs(1_000);
    /// assert_eq!(start.plus_ms(500).ms_since(start), 500);
    /// ```
    MonoMs
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
