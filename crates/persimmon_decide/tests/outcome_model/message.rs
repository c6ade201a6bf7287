//! Messages between routers and sidecars, and what is searched for.

use persimmon_decide::Attempt;
use persimmon_decide::outcome::{Event, PresentedCall};

/// A rule of the product that the model breaks, to show that the search would see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// The ledger is handed its own incarnation in place of the claim's.
    IncarnationUnchecked,
    /// A call that never began is settled as not run, and nothing is recorded.
    SettleWithoutTombstone,
    /// A sidecar over its bound refuses without asking the ledger.
    RefusalWithoutTombstone,
    /// A full ledger forgets everything.
    ForgetsWhenFull,
    /// A router that can't reach the claim's owner says that the call wasn't run.
    UnreachableIsNotRun,
    /// A router whose deadline passes says that the call wasn't run.
    DeadlineIsNotRun,
    /// Calls carry no claim, only a key; the sidecar that the router's view names as its owner runs
    /// it once it has owned the key for the given time.
    KeyWithoutClaim {
        wait_ms: u64,
    },
}

/// What must never be found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Violation {
    DoubleRun,
    FalseNotRun,
    FalseDone,
    MisroutedAnswer,
}

/// What a run is attributed to: a claim, or one exchange of an ordinary request.
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

/// What a sidecar says, with the call that the answer in it belongs to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reply {
    pub(crate) event: Event,
    pub(crate) answered_call: Option<usize>,
}

/// The attempt of an exchange that a reply is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReplyTo {
    pub(crate) exchange: usize,
    pub(crate) attempt: Attempt,
}
