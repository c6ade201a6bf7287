//! Reads the headers of callers' requests.

use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Request, StatusCode};
use persimmon_decide::RequestId;
use persimmon_records::{Class, KeyDigest};

use super::command::{PlanRequest, RequestKind};
use super::failure::Failure;
use crate::common::{TraceContext, random_u64};

pub(crate) const CLASS: &str = "persimmon-class";
pub(crate) const CHAT: &str = "persimmon-chat";
pub(crate) const DEADLINE_MS: &str = "persimmon-deadline-ms";
pub(crate) const REQUEST_ID: &str = "persimmon-request-id";
pub(crate) const ANSWER: &str = "persimmon-answer";
pub(crate) const CLAIM: &str = "persimmon-claim";
pub(crate) const OUTCOME: &str = "persimmon-outcome";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const TRACEPARENT: &str = "traceparent";

/// Maximum length of a workspace key, in characters.
const MAX_KEY_CHARS: usize = 256;
/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Default deadlines by class, in milliseconds.
const QUICK_DEADLINE_MS: u64 = 30_000;
const CONVERSATION_DEADLINE_MS: u64 = 300_000;
const DRAFTING_DEADLINE_MS: u64 = 1_800_000;

/// The values of the headers that all requests have in common.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    pub(crate) key: KeyDigest,
    pub(crate) class: Option<Class>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) request_id: RequestId,
    pub(crate) trace: TraceContext,
}

impl Head {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns a failure if a required header is missing or a header is invalid.
    pub(crate) fn of<B>(req: &Request<B>) -> Result<Self, Failure> {
        let headers = req.headers();
        Ok(Self {
            key: workspace_key(headers)?,
            class: class(headers)?,
            deadline_ms: deadline_ms(headers)?,
            request_id: request_id(headers)?,
            trace: TraceContext::from_header(text(headers, TRACEPARENT)?),
        })
    }

    /// Returns the request for a plan.
    pub(crate) fn plan_request(&self, kind: RequestKind) -> PlanRequest {
        PlanRequest { key: self.key, class: self.class, kind }
    }

    /// Returns the request's deadline in milliseconds, by default that of its class.
    pub(crate) fn deadline_ms(&self, class: Class) -> u64 {
        self.deadline_ms.unwrap_or(match class {
            Class::Quick => QUICK_DEADLINE_MS,
            Class::Conversation => CONVERSATION_DEADLINE_MS,
            Class::Drafting => DRAFTING_DEADLINE_MS,
        })
    }
}

/// Returns the value of a header, if it is present.
///
/// # Errors
///
/// Returns a failure if the value contains characters other than visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad(name, "visible ASCII characters"))?;
    Ok(Some(text.trim()))
}

fn workspace_key(headers: &HeaderMap) -> Result<KeyDigest, Failure> {
    let missing = || {
        Failure::not_run(
            StatusCode::UNAUTHORIZED,
            "no-workspace-key",
            "the workspace key is missing; send it as `Authorization: Bearer <key>`",
        )
    };
    let value = text(headers, AUTHORIZATION.as_str())?.ok_or_else(missing)?;
    let key = value.strip_prefix("Bearer ").ok_or_else(missing)?.trim();
    if key.is_empty() || key.len() > MAX_KEY_CHARS {
        return Err(missing());
    }
    Ok(KeyDigest::of_key(key))
}

fn class(headers: &HeaderMap) -> Result<Option<Class>, Failure> {
    let Some(text) = text(headers, CLASS)? else { return Ok(None) };
    let class = Class::ALL.into_iter().find(|class| class.as_str() == text);
    class.map(Some).ok_or_else(|| bad(CLASS, "quick, conversation or drafting"))
}

fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(text) = text(headers, DEADLINE_MS)? else { return Ok(None) };
    let ms = text.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    ms.map(Some).ok_or_else(|| bad(DEADLINE_MS, "milliseconds from 1 to 3600000"))
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, Failure> {
    match text(headers, REQUEST_ID)? {
        Some(text) => text.parse().map_err(|_| bad(REQUEST_ID, "32 hexadecimal digits")),
        None => Ok(RequestId((u128::from(random_u64()) << 64) | u128::from(random_u64()))),
    }
}

fn bad(name: &str, remedy: &str) -> Failure {
    let message = format!("the header {name} is invalid; send {remedy}");
    Failure::not_run(StatusCode::BAD_REQUEST, "bad-header", message)
}
