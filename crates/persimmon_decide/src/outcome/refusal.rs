//! The reasons why a sidecar refuses a request, with the outcome that each implies.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Outcome;

/// What a router or a caller should do after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryHint {
    /// Try the next endpoint at once; if none is left, retry later.
    Elsewhere,
    /// Present the same claim again, after the delay if one is given.
    SameClaim,
    /// Obtain a new claim, then call again.
    NewClaim,
    /// Check with the service whether the call ran before doing anything else.
    CheckFirst,
    /// Correct the request; the same request would be refused again.
    FixRequest,
}

/// The reason why a sidecar refuses a request.
///
/// The sidecar calls [`super::Ledger::begin`] first. If it then refuses the request for another
/// reason, it withdraws the ledger entry, so that the request certainly won't run.
///
/// ```
/// use persimmon_decide::outcome::{Outcome, Refusal};
///
/// assert_eq!(Refusal::OverBound.outcome(), Outcome::NotRun);
/// assert_eq!(Refusal::WrongIncarnation.outcome(), Outcome::Unknown);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The endpoint's load exceeds its bound relative to the mean load.
    #[error("the endpoint is over its load bound; retry after the given delay")]
    OverBound,
    /// The endpoint's queue is full.
    #[error("the endpoint's queue is full; retry after the given delay")]
    QueueFull,
    /// The request can't be answered by its deadline.
    #[error("the deadline can't be met; retry after the given delay or allow more time")]
    DeadlineUnmeetable,
    /// The workspace has used up its limit.
    #[error("the workspace's limit is used up; retry after the given delay")]
    LimitReached,
    /// The endpoint accepts no new requests.
    #[error("the endpoint is leaving the fleet; retry at once")]
    Leaving,
    /// The sidecar's records weren't confirmed recently enough to admit requests.
    #[error("the sidecar's records are stale; retry after the given delay")]
    StaleRecords,
    /// The engine or the service worker is down.
    #[error("the endpoint is down; retry after the given delay")]
    EndpointDown,
    /// An endpoint crashed while the same request was in progress.
    #[error("an endpoint crashed while this request was in progress; retry after the given delay")]
    Suspected,
    /// The same request was in progress when endpoints crashed.
    #[error("the request is quarantined because endpoints crashed while they ran it; change it")]
    Quarantined,
    /// The endpoint doesn't serve the requested model or service, or not for this workspace.
    #[error("the model or service isn't served to the workspace here; check the published records")]
    NotServed,
    /// The ledger has no room for another call.
    #[error("the sidecar's ledger is full; obtain a new claim after the given delay")]
    LedgerFull,
    /// An earlier copy of the request was settled or refused as not run.
    #[error("the request was already refused as not run; send it again with a new claim")]
    Tombstoned,
    /// The stamp of an ordinary request is too old to distinguish a late copy from a new request.
    #[error("the request was sent too long ago; send it again")]
    StaleStamp,
    /// The claim or stamp was issued by another incarnation of the sidecar.
    #[error(
        "the sidecar has restarted since it issued the claim or stamp; check with the service whether \
         the call ran"
    )]
    WrongIncarnation,
    /// The claim names another endpoint as its owner.
    #[error("the claim belongs to another endpoint; present it to a router again")]
    WrongOwner,
    /// The claim has expired, and the record of whether the call ran may be evicted.
    #[error("the claim has expired; check with the service whether the call ran")]
    ExpiredClaim,
    /// The call began earlier, and its outcome is unknown.
    #[error("the call began but its outcome is unknown; check with the service whether it ran")]
    EarlierRunUnknown,
    /// The claim or request id was first used with another body.
    #[error("the claim or request id was used with another body; send the original body")]
    BodyMismatch,
    /// The request is done, but its answer is no longer retained.
    #[error(
        "the request is done but its answer is no longer kept; look up the result or use a new id"
    )]
    AnswerNotKept,
    /// The claim is malformed, forged, or issued for another workspace or service.
    ///
    /// The outcome is unknown, as the rightful caller may have run the call with this claim.
    #[error("the claim isn't valid here; send it unchanged, to its service and with its key")]
    BadClaim,
    /// The service's calls must not be repeated, and the caller presented no claim.
    #[error("this service needs a claim; obtain one for the Idempotency-Key first")]
    NeedsClaim,
}

impl Refusal {
    /// Returns the outcome of the refused request.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::OverBound
            | Self::QueueFull
            | Self::DeadlineUnmeetable
            | Self::LimitReached
            | Self::Leaving
            | Self::StaleRecords
            | Self::EndpointDown
            | Self::Suspected
            | Self::Quarantined
            | Self::NotServed
            | Self::LedgerFull
            | Self::Tombstoned
            | Self::NeedsClaim => Outcome::NotRun,
            Self::BadClaim
            | Self::StaleStamp
            | Self::WrongIncarnation
            | Self::WrongOwner
            | Self::ExpiredClaim
            | Self::EarlierRunUnknown
            | Self::BodyMismatch => Outcome::Unknown,
            Self::AnswerNotKept => Outcome::Done,
        }
    }

    /// Reports whether the request certainly didn't run and won't.
    pub fn is_definite(self) -> bool {
        self.outcome() == Outcome::NotRun
    }

    /// Returns what to do next with the request or its claim.
    pub fn hint(self) -> RetryHint {
        match self {
            Self::OverBound
            | Self::QueueFull
            | Self::DeadlineUnmeetable
            | Self::Leaving
            | Self::StaleRecords
            | Self::EndpointDown
            | Self::NotServed
            | Self::LedgerFull
            | Self::Tombstoned
            | Self::StaleStamp => RetryHint::Elsewhere,
            Self::WrongOwner => RetryHint::SameClaim,
            Self::NeedsClaim => RetryHint::NewClaim,
            Self::WrongIncarnation | Self::ExpiredClaim | Self::EarlierRunUnknown => {
                RetryHint::CheckFirst
            }
            Self::LimitReached
            | Self::Suspected
            | Self::Quarantined
            | Self::BadClaim
            | Self::BodyMismatch
            | Self::AnswerNotKept => RetryHint::FixRequest,
        }
    }

    /// Returns the stable name for failure bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverBound => "over-bound",
            Self::QueueFull => "queue-full",
            Self::DeadlineUnmeetable => "deadline-unmeetable",
            Self::LimitReached => "limit-reached",
            Self::Leaving => "leaving",
            Self::StaleRecords => "stale-records",
            Self::EndpointDown => "endpoint-down",
            Self::Suspected => "suspected",
            Self::Quarantined => "quarantined",
            Self::NotServed => "not-served",
            Self::LedgerFull => "ledger-full",
            Self::Tombstoned => "tombstoned",
            Self::StaleStamp => "stale-stamp",
            Self::WrongIncarnation => "wrong-incarnation",
            Self::WrongOwner => "wrong-owner",
            Self::ExpiredClaim => "expired-claim",
            Self::EarlierRunUnknown => "earlier-run-unknown",
            Self::BodyMismatch => "body-mismatch",
            Self::AnswerNotKept => "answer-not-kept",
            Self::BadClaim => "bad-claim",
            Self::NeedsClaim => "needs-claim",
        }
    }
}
