//! Failures as callers see them: a status, a stable kind, an outcome and the remedy.

use hyper::StatusCode;
use persimmon_decide::outcome::{Outcome, Refusal};
use persimmon_wire::Refused;
use serde::Serialize;

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
