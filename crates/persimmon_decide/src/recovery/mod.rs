//! Recovery: draining of processes, limits on retries, and quarantine of requests that crash
//! endpoints.

mod clocks;
mod leaving;
mod leaving_cause;
mod leaving_settings;
mod probation;
mod quarantine;
mod quarantine_settings;
mod retry_budget;
mod retry_pacer;
mod suspect_mark;

pub use clocks::Clocks;
pub use leaving::{Leaving, Phase, RemainingWork};
pub use leaving_cause::{HoldReason, LeavingCause, NotServing, RecordStatus};
pub use leaving_settings::LeavingSettings;
pub use probation::{Probation, ProbationRefusal, ProbationStep};
pub use quarantine::{Quarantine, QuarantineRefusal, RunMode};
pub use quarantine_settings::QuarantineSettings;
pub use retry_budget::RetryBudget;
pub use retry_pacer::RetryPacer;
pub(crate) use retry_pacer::scale;
pub use suspect_mark::{SuspectMark, Suspicion, Verdict};
