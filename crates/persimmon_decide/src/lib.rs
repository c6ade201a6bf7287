//! The decisions of the fleet: time, random numbers and messages come in, messages and effects go
//! out. Nothing here opens a socket, starts a thread, reads a clock or draws a random number, so
//! every decision can be tested and benchmarked on its own.

pub mod config;
pub mod forward;
pub mod load;
pub mod membership;
pub mod orders;
pub mod outcome;
pub mod recovery;

mod ids;
mod sealer;

pub use ids::{Attempt, Fingerprint, Incarnation, Offset, RequestId, RequestIdError};
pub use persimmon_records::MonoMs;
pub use sealer::{SealError, Sealer};
