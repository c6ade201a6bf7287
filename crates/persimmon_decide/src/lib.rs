//! The decision logic of the fleet, free of I/O: callers pass in the time, random numbers and
//! messages, and perform the actions and send the messages that are returned. Nothing here opens a
//! socket, starts a thread, reads a clock or draws a random number, so each decision can be tested
//! and benchmarked on its own.

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
