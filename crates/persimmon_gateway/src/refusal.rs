//! Error responses that the gateway itself sends.

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::AnswerBody;

const MS_PER_S: f64 = 1_000.0;

/// The reason why the gateway answers a request with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is malformed or ambiguous.
    BadRequest(&'static str),
    /// No workspace has the key.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body didn't arrive before the deadline.
    BodyTooSlow,
    /// The body had stopped before its end and was given up for lack of memory.
    BodyStalled,
    /// The body was given up, or not begun, for lack of memory.
    NoMemory {
        /// Delay until memory may be free, in milliseconds.
        retry_after_ms: u64,
    },
    /// The body was still arriving when its connection had to give way to a new one.
    NoConnection {
        /// Delay until connections may be free, in milliseconds.
        retry_after_ms: u64,
    },
    /// No routes are known yet.
    NotConfigured,
    /// Endpoints crashed while processing the same content.
    Crashing,
    /// The gateway is shutting down, and the request would not finish in time.
    Leaving {
        /// Delay until another gateway accepts the request, in milliseconds.
        retry_after_ms: u64,
    },
    /// No endpoint is available.
    NoEndpoint {
        /// Delay until an endpoint may be available, in milliseconds.
        retry_after_ms: u64,
    },
    /// Endpoints are too full to answer in time.
    Overloaded {
        /// Delay until the request may be accepted, in milliseconds.
        retry_after_ms: u64,
    },
    /// Every endpoint of the service wants no requests for a while.
    Paused {
        /// Delay until the first of them is back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Every endpoint of the service names a limit that is reached.
    Limited {
        /// Delay until the first of them takes a request, in milliseconds.
        retry_after_ms: u64,
    },
    /// Every endpoint of the service is cold and has got the requests that it bears.
    Cold {
        /// Delay until the first of them takes a request, in milliseconds.
        retry_after_ms: u64,
    },
    /// The caller takes up a stream, and which software version began it isn't known.
    UnknownStream,
    /// The caller takes up a stream that began at a software version which no endpoint serves.
    VersionGone,
    /// An endpoint may have run the request, but no complete answer arrived.
    Unknown,
    /// The deadline has passed; an endpoint may have run the request.
    TimedOut,
}

impl Refusal {
    /// Retry delay until a gateway that has just started knows the routes, in milliseconds.
    const START_RETRY_MS: u64 = 500;
    /// Retry delay of a stream that can't go on now, in milliseconds: endpoints whose records lapsed
    /// in an outage of the store register again within it.
    const STREAM_RETRY_MS: u64 = 2_000;
    /// Time for which content that crashed endpoints is refused, in milliseconds.
    const CRASHING_RETRY_MS: u64 = 300_000;

    /// Returns the status code. 408 and 503 mean that the request hasn't run and won't.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow | Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::NotConfigured
            | Self::Crashing
            | Self::Leaving { .. }
            | Self::NoEndpoint { .. }
            | Self::Overloaded { .. }
            | Self::Paused { .. }
            | Self::Limited { .. }
            | Self::Cold { .. }
            | Self::NoMemory { .. }
            | Self::NoConnection { .. }
            | Self::UnknownStream
            | Self::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns a short name for logs and metrics.
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
            Self::Paused { .. } => "paused",
            Self::Limited { .. } => "limited",
            Self::Cold { .. } => "cold",
            Self::UnknownStream => "unknown_stream",
            Self::VersionGone => "version_gone",
            Self::Unknown => "unknown_outcome",
            Self::BodyTooSlow => "body_too_slow",
            Self::BodyStalled => "body_stalled",
            Self::NoMemory { .. } => "no_memory",
            Self::NoConnection { .. } => "no_connection",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the text for the caller, with the remedy.
    fn message(self) -> &'static str {
        match self {
            Self::BadRequest(why) => why,
            Self::UnknownKey => "unknown key; use a key of a workspace",
            Self::NoRoute => "no route matches this host and path; check both",
            Self::BodyTooLarge => "the body exceeds the size limit; send a smaller one",
            Self::NotConfigured => "the gateway has no routes yet; request not run, retry it",
            Self::Crashing => "this request has crashed endpoints; request not run, change it",
            Self::Leaving { .. } => "the gateway is shutting down; request not run, retry it",
            Self::NoEndpoint { .. } => "no endpoint is available; request not run, retry it",
            Self::Overloaded { .. } => "overloaded; request not run, retry it after the delay",
            Self::Paused { .. } => "every endpoint has paused; request not run, retry it later",
            Self::Limited { .. } => {
                "every endpoint is at its limit; request not run, retry it later"
            }
            Self::Cold { .. } => "every endpoint is cold; request not run, retry it later",
            Self::UnknownStream => {
                "the stream's origin isn't known; request not run, begin it anew"
            }
            Self::VersionGone => {
                "no endpoint can go on with the stream; request not run, begin it anew"
            }
            Self::Unknown => "answer lost; the request may have run, so check before a retry",
            Self::BodyStalled => "the body stopped before its end; request not run, retry it",
            Self::NoMemory { .. } => "no memory for the body; request not run, retry it later",
            Self::NoConnection { .. } => {
                "too many connections are open; request not run, retry it later"
            }
            Self::BodyTooSlow => "the body didn't arrive in time; request not run, retry it",
            Self::TimedOut => "deadline passed; the request may have run, so check before a retry",
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotConfigured => Some(Self::START_RETRY_MS),
            Self::Crashing => Some(Self::CRASHING_RETRY_MS),
            Self::UnknownStream | Self::VersionGone => Some(Self::STREAM_RETRY_MS),
            Self::Leaving { retry_after_ms }
            | Self::NoEndpoint { retry_after_ms }
            | Self::Overloaded { retry_after_ms }
            | Self::Paused { retry_after_ms }
            | Self::Limited { retry_after_ms }
            | Self::Cold { retry_after_ms }
            | Self::NoMemory { retry_after_ms }
            | Self::NoConnection { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        }
    }

    /// Converts the refusal into the response to the caller.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let text = format!("{}\n", self.message());
        let mut response = Response::new(AnswerBody::complete(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(ms) = self.retry_after_ms() {
            let seconds = format!("{:.3}", ms as f64 / MS_PER_S);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        // The bytes after an incompletely read request may belong to it.
        let is_cut = matches!(
            self,
            Self::BadRequest(_)
                | Self::BodyTooLarge
                | Self::BodyTooSlow
                | Self::BodyStalled
                | Self::NoMemory { .. }
                | Self::NoConnection { .. }
        );
        if is_cut {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
