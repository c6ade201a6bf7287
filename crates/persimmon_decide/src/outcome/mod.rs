//! Tracking of request outcomes: whether a request ran, didn't run, or may have run.
//!
//! The sidecar uses [`Ledger`] (which calls began, and their answers) and [`OutputStore`] (answer
//! frames, retained until the router acknowledges them). The router uses [`Dispatch`] (a state
//! machine for each request), [`Assembly`] (puts the frames of an answer in order) and
//! [`Heartbeat`] (detects silent connections). A [`Claim`] is a token that a caller presents to
//! any router for a call that may run at most once.

mod answer;
mod assembly;
mod claim;
mod dispatch;
mod dispatch_event;
mod frame;
mod heartbeat;
mod idempotency_key;
mod ledger;
mod ledger_entry;
mod ledger_key;
mod ledger_limits;
mod output_store;
mod refusal;
mod retained_output;
mod sealer;
mod stamp;
mod unclaimed_call;
mod verdict;

pub use answer::Answer;
pub use assembly::{Assembly, AssemblyCounts, DropReason, Inserted, RestartError};
pub use claim::Claim;
pub use dispatch::{Dispatch, DispatchLimits};
pub use dispatch_event::{Action, Cause, Event, FinalResult};
pub use frame::{Body, Frame, FrameId, StreamEnd};
pub use heartbeat::{Heartbeat, HeartbeatLimits, HeartbeatStatus};
pub use idempotency_key::{IdempotencyKey, IdempotencyKeyError};
pub use ledger::{Begin, Ledger, LedgerError};
pub use ledger_key::LedgerKey;
pub use ledger_limits::{LedgerCounts, LedgerLimits};
pub use output_store::{OutputStore, StoreError, StoreLimits, SweepReport};
pub use refusal::{Refusal, RetryHint};
pub use retained_output::{OutputLimits, OutputState, PushError, ResumeError, RetainedOutput};
pub use sealer::{ClaimError, ClaimSealer};
pub use stamp::{PresentedCall, Repeatability, Stamp};
pub use unclaimed_call::check_unclaimed_call;
pub use verdict::{Outcome, Settled};
