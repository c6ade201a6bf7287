//! Failures as callers see them: a status, a stable kind, an outcome and the remedy.

use hyper::StatusCode;
use persimmon_decide::outcome::{Cause, FinalResult, Outcome, Refusal};
use persimmon_decide::recovery::{QuarantineSettings, RetryPacer};
use persimmon_wire::Refused;
use serde::Serialize;

use crate::common::random_u64;

/// A failure of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    status: StatusCode,
    kind: &'static str,
    outcome: Outcome,
    message: String,
    retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    kind: &'a str,
    outcome: Outcome,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Failure {
    /// A fault of the request itself. No endpoint was asked.
    pub(crate) fn bad_request(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self { status, kind, outcome: Outcome::NotRun, message, retry_after_ms: None }
    }

    /// A failure of the fleet or the endpoint.
    pub(crate) fn failed(
        status: StatusCode,
        kind: &'static str,
        outcome: Outcome,
        message: impl Into<String>,
    ) -> Self {
        Self { status, kind, outcome, message: message.into(), retry_after_ms: None }
    }

    /// A refusal by a sidecar.
    pub(crate) fn refused(refused: Refused) -> Self {
        let Refused { refusal, retry_after_ms } = refused;
        Self {
            status: status_of(refusal),
            kind: refusal.as_str(),
            outcome: refusal.outcome(),
            message: refusal.to_string(),
            retry_after_ms: (retry_after_ms > 0).then_some(retry_after_ms),
        }
    }

    /// A request that came while the router stops. It wasn't run.
    pub(crate) fn draining() -> Self {
        Self::bad_request(
            StatusCode::SERVICE_UNAVAILABLE,
            "draining",
            "this router is stopping; send the request again, which reaches another",
        )
        .with_retry_after_ms(0)
    }

    /// An exchange that ended without a final answer.
    pub(crate) fn stopped() -> Self {
        Self::failed(
            StatusCode::BAD_GATEWAY,
            "stopped",
            Outcome::Unknown,
            "the router stopped working on the request; resume the answer, or ask again",
        )
    }

    /// No worker of a service could be tried, or none is left to try.
    pub(crate) fn no_worker(outcome: Outcome) -> Self {
        Self::failed(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-endpoint",
            outcome,
            "no worker of the service can be reached; retry after the given delay",
        )
        .with_retry_after_ms(1_000)
    }

    /// The only worker that may run a call has left the records.
    pub(crate) fn owner_gone() -> Self {
        Self::failed(
            StatusCode::BAD_GATEWAY,
            "owner-gone",
            Outcome::Unknown,
            "the claim's owner is no longer in the records; check with the service whether the call ran",
        )
    }

    /// How a request ended that has no whole answer.
    pub(crate) fn from_result(end: &FinalResult) -> Self {
        let status = match end.outcome {
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Done | Outcome::Unknown => StatusCode::BAD_GATEWAY,
        };
        let failure = match end.cause {
            Cause::Refused(refusal) => {
                let retry_after_ms = end.retry_after_ms.unwrap_or_default();
                Self::refused(Refused { refusal, retry_after_ms }).with_outcome(end.outcome)
            }
            cause => Self::failed(status, cause.as_str(), end.outcome, cause.to_string()),
        };
        match end.retry_after_ms.or_else(|| default_retry_after_ms(end.cause)) {
            Some(ms) => failure.with_retry_after_ms(ms),
            None => failure,
        }
    }

    /// Sets when retrying may help.
    #[must_use]
    pub(crate) fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets what became of the request, where more is known than from the refusal alone.
    #[must_use]
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// The stable kind.
    pub(crate) fn kind(&self) -> &'static str {
        self.kind
    }

    /// What became of the request.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The value of `Retry-After`, in whole seconds, never earlier than the delay itself.
    pub(crate) fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000))
    }

    /// The body, as one JSON object.
    pub(crate) fn to_json(&self) -> String {
        let error = ErrorBody {
            kind: self.kind,
            outcome: self.outcome,
            message: &self.message,
            retry_after_s: self.retry_after_s(),
        };
        // Plain strings and numbers always serialize.
        serde_json::to_string(&Envelope { error }).unwrap_or_default()
    }
}

/// When to come back where no sidecar said so. Callers that failed together come back apart.
fn default_retry_after_ms(cause: Cause) -> Option<u64> {
    let after_s = match cause {
        // The fleet has to hear of the crash before the request runs again.
        Cause::Crashed => u64::from(QuarantineSettings::default().spread_s),
        Cause::NoEndpoint
        | Cause::Unreachable
        | Cause::BudgetSpent
        | Cause::Withdrawn
        | Cause::DeadlinePassed => 1,
        _ => return None,
    };
    Some(RetryPacer::retry_after_s(after_s, random_u64()) * 1_000)
}

fn status_of(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        Refusal::BodyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::BadClaim | Refusal::NeedsClaim => StatusCode::BAD_REQUEST,
        Refusal::Quarantined => StatusCode::FORBIDDEN,
        Refusal::NotServed => StatusCode::NOT_FOUND,
        Refusal::ExpiredClaim | Refusal::AnswerNotKept => StatusCode::GONE,
        Refusal::Tombstoned | Refusal::StaleStamp | Refusal::WrongOwner => StatusCode::CONFLICT,
        Refusal::WrongIncarnation | Refusal::EarlierRunUnknown => StatusCode::BAD_GATEWAY,
        Refusal::DeadlineUnmeetable => StatusCode::GATEWAY_TIMEOUT,
        Refusal::OverBound
        | Refusal::QueueFull
        | Refusal::Leaving
        | Refusal::StaleRecords
        | Refusal::EndpointDown
        | Refusal::Suspected
        | Refusal::LedgerFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}
