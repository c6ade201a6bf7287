//! Failures as returned to callers: a status, a stable kind, an outcome and the remedy.

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
    /// Creates a failure of a request that the router rejects without sending it to an endpoint.
    pub(crate) fn not_run(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self { status, kind, outcome: Outcome::NotRun, message, retry_after_ms: None }
    }

    /// Creates a failure of the fleet or of an endpoint.
    pub(crate) fn failed(
        status: StatusCode,
        kind: &'static str,
        outcome: Outcome,
        message: impl Into<String>,
    ) -> Self {
        Self { status, kind, outcome, message: message.into(), retry_after_ms: None }
    }

    /// Creates the failure for a sidecar's refusal.
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

    /// Creates the failure of a request that arrived while the router shuts down. It wasn't run.
    pub(crate) fn draining() -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "draining",
            "this router is shutting down; send the request again to reach another router",
        )
        .with_retry_after_ms(0)
    }

    /// Creates the failure of a request whose exchange ended without a final result.
    pub(crate) fn stopped() -> Self {
        Self::failed(
            StatusCode::BAD_GATEWAY,
            "stopped",
            Outcome::Unknown,
            "the router stopped processing the request; resume the answer or resend the request",
        )
    }

    /// Creates the failure of a call for which no worker of the service can be tried.
    pub(crate) fn no_worker(outcome: Outcome) -> Self {
        Self::failed(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-endpoint",
            outcome,
            "no worker of the service can be reached; retry after the given delay",
        )
        .with_retry_after_ms(1_000)
    }

    /// Creates the failure of a call whose claim belongs to a worker that the records no longer
    /// list.
    pub(crate) fn owner_gone() -> Self {
        Self::failed(
            StatusCode::BAD_GATEWAY,
            "owner-gone",
            Outcome::Unknown,
            "the claim's owner is no longer in the records; check with the service whether the call ran",
        )
    }

    /// Creates the failure for the final result of a request without a complete answer.
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

    /// Sets the delay after which the caller may retry, in milliseconds.
    #[must_use]
    pub(crate) fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the outcome, which may depend on more than the last refusal.
    #[must_use]
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns the HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the stable kind.
    pub(crate) fn kind(&self) -> &'static str {
        self.kind
    }

    /// Returns the request's outcome.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the value of `Retry-After`: the delay rounded up to whole seconds.
    pub(crate) fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1_000))
    }

    /// Returns the response body, one JSON object.
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

/// Returns the retry delay for a cause without one from a sidecar, in milliseconds. It includes
/// jitter, so that callers that failed together don't retry together.
fn default_retry_after_ms(cause: Cause) -> Option<u64> {
    let after_s = match cause {
        // The crash report must spread through the fleet before the request runs again.
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
