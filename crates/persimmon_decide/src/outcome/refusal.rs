//! Why a sidecar refuses a request, and what may be concluded from it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::Outcome;

/// What a router or a caller should do after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryHint {
    /// Try the next endpoint at once; if none is left, come back later.
    Elsewhere,
    /// Present the same claim again, later if a delay is given.
    SameClaim,
    /// Obtain a new claim, then call again.
    NewClaim,
    /// Check with the service whether the call ran before doing anything else.
    CheckFirst,
    /// Mend the request; sending it again as it stands won't help.
    FixRequest,
}

/// Why a sidecar refuses a request.
///
/// The ledger is asked first ([`super::Ledger::begin`]); a sidecar that then refuses for another
/// reason withdraws the entry, which makes the refusal definite.
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
    /// The endpoint is above its share of the mean load.
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
    /// The endpoint takes no new work.
    #[error("the endpoint is leaving; retry at once")]
    Leaving,
    /// The sidecar hasn't confirmed its records recently enough to admit by them.
    #[error("the sidecar's records are stale; retry after the given delay")]
    StaleRecords,
    /// The engine or the service worker is down.
    #[error("the endpoint is down; retry after the given delay")]
    EndpointDown,
    /// An endpoint crashed while the same request was in progress.
    #[error("an endpoint crashed while this request was in progress; retry after the given delay")]
    Suspected,
    /// The same request was present when endpoints crashed.
    #[error("the request is quarantined because endpoints crashed on it; change it")]
    Quarantined,
    /// The endpoint doesn't serve what the request names, or not for this workspace.
    #[error("the endpoint doesn't serve this to the workspace; check the published records")]
    NotServed,
    /// The ledger has no room for another call.
    #[error("the sidecar's ledger is full; obtain a new claim after the given delay")]
    LedgerFull,
    /// The request was settled or refused as not run before this copy of it arrived.
    #[error("the request was already refused as not run; send it anew with a new claim")]
    Tombstoned,
    /// The stamp of an ordinary request is too old to tell a late copy from a new request.
    #[error("the request was sent too long ago; send it again")]
    StaleStamp,
    /// The request was sent to an earlier life of the sidecar.
    #[error("the sidecar has restarted since; check with the service whether the call ran")]
    WrongIncarnation,
    /// The claim names another endpoint as its owner.
    #[error("the claim belongs to another endpoint; present it to a router again")]
    WrongOwner,
    /// The claim has expired, and with it the record of whether it ran.
    #[error("the claim has expired; check with the service whether the call ran")]
    ExpiredClaim,
    /// The call began, and its end was never seen.
    #[error("the call began but its end wasn't seen; check with the service whether it ran")]
    EarlierRunUnknown,
    /// The claim or request id was used with another body.
    #[error("the claim or request id was used with another body; send the body it was used with")]
    BodyMismatch,
    /// The answer was seen whole but is no longer kept.
    #[error(
        "it is done but its answer is no longer kept; look it up, or ask with a new request id"
    )]
    AnswerNotKept,
    /// The claim is malformed, forged, or made for another workspace or service.
    ///
    /// Nothing is said about the claim itself: it may have run for whoever may present it.
    #[error("the claim isn't valid here; send it as it was given, to its service, with its key")]
    BadClaim,
    /// The service's calls may not be repeated, and the caller presented no claim.
    #[error("this service needs a claim; use the claim exchange with the Idempotency-Key")]
    NeedsClaim,
}

impl Refusal {
    /// What the refusal says about the request it answers.
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

    /// Whether it is certain that the request didn't run and won't.
    pub fn is_definite(self) -> bool {
        self.outcome() == Outcome::NotRun
    }

    /// What to do next with an ordinary request or a claim.
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

    /// The stable kind that failure bodies and metrics use.
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
