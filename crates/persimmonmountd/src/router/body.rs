//! The bodies of requests and responses.

use std::time::Duration;

use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use persimmon_process::PieceReceiver;
use tokio::time::timeout;

use super::failure::Failure;

/// Maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");

/// The body of a response: complete, or a stream of events.
pub(crate) type Reply = Either<Full<Bytes>, PieceReceiver>;

/// Reads a request's body.
///
/// # Errors
///
/// Returns a failure if the body is too large or too slow, or if it ends early.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Failure> {
    let whole = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match whole {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Failure::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
            format!("the body is longer than {MAX_BODY_BYTES} bytes; send a shorter one"),
        )),
        Ok(Err(_)) => Err(Failure::not_run(
            StatusCode::BAD_REQUEST,
            "body-broken",
            "the body ended early; send it completely",
        )),
        Err(_) => Err(Failure::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
            "the body wasn't received in time; send it faster",
        )),
    }
}

/// Reports whether a body is a stream of unknown length.
pub(crate) fn is_stream(body: &Reply) -> bool {
    matches!(body, Either::Right(_))
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, text: String) -> Response<Reply> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

/// Returns the response for a failure.
pub(crate) fn failure(failure: &Failure) -> Response<Reply> {
    let mut response = json(failure.status(), failure.to_json());
    if let Some(seconds) = failure.retry_after_s() {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Returns a response of server-sent events, which streams each piece once it is received.
pub(crate) fn events(pieces: PieceReceiver) -> Response<Reply> {
    let mut response = Response::new(Either::Right(pieces));
    response.headers_mut().insert(CONTENT_TYPE, EVENTS);
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
