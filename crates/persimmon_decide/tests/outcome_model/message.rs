//! Messages between routers and sidecars, defects of the model, and violations.

use persimmon_decide::Attempt;
use persimmon_decide::outcome::{Event, PresentedCall};

/// A rule that the model breaks on purpose, to show that the search detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// The ledger receives its own incarnation in place of the claim's.
    IncarnationUnchecked,
    /// A call that never began is settled as not run, and the ledger records no tombstone.
    SettleWithoutTombstone,
    /// A sidecar over its load bound refuses a call without consulting the ledger.
    RefusalWithoutTombstone,
    /// A full ledger drops all entries.
    ForgetsWhenFull,
    /// A router that can't reach the claim's owner reports the call as not run.
    UnreachableIsNotRun,
    /// A router reports the call as not run when its deadline passes.
    DeadlineIsNotRun,
    /// Calls have an `Idempotency-Key` but no claim. The sidecar that is the key's owner in the
    /// router's view runs a call once the sidecar has been up for the given time.
    KeyWithoutClaim {
        wait_ms: u64,
    },
}

/// A violation that the search looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Violation {
    DoubleRun,
    FalseNotRun,
    FalseDone,
    MisroutedAnswer,
}

/// The identifier to which runs are attributed: of a claim, or of one exchange of an ordinary
/// request.
pub(crate) type Tag = u64;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Submission {
    pub(crate) presented: PresentedCall,
    pub(crate) tag: Tag,
    pub(crate) call: usize,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Request {
    Submit,
    Settle,
    Resume,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Request { request: Request, to: usize, submission: Submission, reply_to: ReplyTo },
    Reply { to: ReplyTo, reply: Reply },
}

/// A sidecar's reply, with the call that the answer in it belongs to, if it contains one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reply {
    pub(crate) event: Event,
    pub(crate) answered_call: Option<usize>,
}

/// The destination of a reply: an attempt of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplyTo {
    pub(crate) exchange: usize,
    pub(crate) attempt: Attempt,
}
