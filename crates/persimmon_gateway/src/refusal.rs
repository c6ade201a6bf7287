//! Answers of the gateway's own.

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::AnswerBody;

const MS_PER_S: f64 = 1_000.0;

/// Why the gateway answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request can't be read one way only.
    BadRequest(&'static str),
    /// No workspace holds the key.
    UnknownKey,
    /// No route serves the host and path.
    NoRoute,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body didn't come in time.
    BodyTooSlow,
    /// No routes are known yet.
    NotConfigured,
    /// Endpoints crashed under this content.
    Crashing,
    /// The gateway shuts down and the request would not end in time.
    Leaving {
        /// When another one takes it, in milliseconds.
        retry_after_ms: u64,
    },
    /// No endpoint takes the request.
    NoEndpoint {
        /// When one may, in milliseconds.
        retry_after_ms: u64,
    },
    /// The endpoints can't answer before the deadline.
    Overloaded {
        /// When they can, in milliseconds.
        retry_after_ms: u64,
    },
    /// An endpoint may have run it, and no whole answer came.
    Unknown,
    /// The time is over; an endpoint may have run it.
    TimedOut,
}

impl Refusal {
    /// Time until a gateway that has just started knows the routes, in milliseconds.
    const START_RETRY_MS: u64 = 500;
    /// Time for which content that crashes endpoints stays refused, in milliseconds.
    const CRASHING_RETRY_MS: u64 = 300_000;

    /// The status code. 408 and 503 say that the request hasn't run and won't.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NotConfigured
            | Self::Crashing
            | Self::Leaving { .. }
            | Self::NoEndpoint { .. }
            | Self::Overloaded { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// A short name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::NotConfigured => "not_configured",
            Self::Crashing => "crashing",
            Self::Leaving { .. } => "leaving",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::Overloaded { .. } => "overloaded",
            Self::Unknown => "unknown_outcome",
            Self::BodyTooSlow => "body_too_slow",
            Self::TimedOut => "timed_out",
        }
    }

    /// What the caller can do about it.
    fn message(self) -> &'static str {
        match self {
            Self::BadRequest(why) => why,
            Self::UnknownKey => "the key is unknown; use a key of a workspace",
            Self::NoRoute => "no route serves this host and path",
            Self::BodyTooLarge => "the body is too large",
            Self::NotConfigured => "the gateway has no routes yet; not run, send it again",
            Self::Crashing => "endpoints crashed under this request; not run, change it",
            Self::Leaving { .. } => "the gateway shuts down; not run, send it again",
            Self::NoEndpoint { .. } => "no endpoint takes requests; not run, send it again",
            Self::Overloaded { .. } => "it can't be answered in time; not run, send it again later",
            Self::Unknown => "an endpoint may have run the request, and its answer is lost",
            Self::BodyTooSlow => "the body didn't come in time; not run, send it again",
            Self::TimedOut => "the time is over; an endpoint may have run the request",
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotConfigured => Some(Self::START_RETRY_MS),
            Self::Crashing => Some(Self::CRASHING_RETRY_MS),
            Self::Leaving { retry_after_ms }
            | Self::NoEndpoint { retry_after_ms }
            | Self::Overloaded { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let text = format!("{}\n", self.message());
        let mut response = Response::new(AnswerBody::whole(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(ms) = self.retry_after_ms() {
            let seconds = format!("{:.3}", ms as f64 / MS_PER_S);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        // What follows a request that can't be read may be part of it.
        if matches!(self, Self::BadRequest(_) | Self::BodyTooLarge | Self::BodyTooSlow) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
