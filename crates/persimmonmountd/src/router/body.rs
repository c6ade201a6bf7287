//! The bodies of requests and responses.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use persimmon_decide::forward::BodyLoss;
use persimmon_process::{BodyBuffer, BodyError, CallerConnection, PieceReceiver, ReadError};
use tokio::time::timeout;

use super::context::TrafficCx;
use super::failure::Failure;
use crate::common::random_u64;

/// Maximum size of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum delay after which a caller whose body was given up may return, in milliseconds. It is spread out
/// over the same time.
const GIVEN_UP_RETRY_MS: u64 = 1_000;
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");

/// The body of a response: complete, or a stream of events.
pub(crate) type Reply = Either<Full<Bytes>, PieceReceiver>;

/// The body of a request, which isn't read before its head has been checked.
#[derive(Debug)]
pub(crate) struct RequestBody {
    incoming: Incoming,
    connection: Rc<CallerConnection>,
    head_bytes: usize,
    /// Whether reading the body failed, so that its rest may still arrive.
    is_cut: bool,
}

impl RequestBody {
    /// Creates the body of a request on `connection` whose head has about `head_bytes`.
    pub(crate) fn new(
        incoming: Incoming,
        connection: Rc<CallerConnection>,
        head_bytes: usize,
    ) -> Self {
        Self { incoming, connection, head_bytes, is_cut: false }
    }

    /// Reads the body. Its memory counts until the returned buffer is dropped.
    ///
    /// # Errors
    ///
    /// Returns a failure if the body is too large or too slow, if it ends early, or if it was given up for
    /// lack of memory or connections.
    pub(crate) async fn read(&mut self, cx: &TrafficCx) -> Result<(Bytes, BodyBuffer), Failure> {
        let buffer = BodyBuffer::begin(&cx.bodies, self.connection.address(), self.head_bytes);
        self.connection.record_body(buffer.key());
        let read = timeout(BODY_TIMEOUT, buffer.read(&mut self.incoming, MAX_BODY_BYTES)).await;
        let failure = match read {
            Ok(Ok(bytes)) => return Ok((bytes, buffer)),
            Ok(Err(err)) => failure_of(cx, &err),
            Err(_) => Failure::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "body-too-slow",
                "the body wasn't received in time; send it faster",
            ),
        };
        self.is_cut = true;
        Err(failure)
    }

    /// Reports whether reading the body failed.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns the rest of the body if it wasn't read to its end.
    pub(crate) fn into_unread(self) -> Option<Incoming> {
        Some(self.incoming).filter(|it| !it.is_end_stream())
    }
}

/// Returns the failure of a request whose body couldn't be read.
fn failure_of(cx: &TrafficCx, err: &BodyError) -> Failure {
    let given_up = |kind, message| {
        if let Some(suppressed) = cx.log_limiter.admit(kind, cx.clock.now()) {
            tracing::warn!("router: a body was given up: {kind}. Lines left out: {suppressed}.");
        }
        let after_ms = GIVEN_UP_RETRY_MS + random_u64() % GIVEN_UP_RETRY_MS;
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, message)
            .with_retry_after_ms(after_ms)
    };
    match err {
        BodyError::Read(ReadError::TooLong) => Failure::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
            format!("the body is longer than {MAX_BODY_BYTES} bytes; send a shorter one"),
        ),
        BodyError::Read(ReadError::TooManyPieces) => Failure::not_run(
            StatusCode::BAD_REQUEST,
            "body-in-tiny-chunks",
            "the body consists of too many small chunks; send larger ones",
        ),
        BodyError::Read(ReadError::Broken(_)) => Failure::not_run(
            StatusCode::BAD_REQUEST,
            "body-broken",
            "the body ended early; send it completely",
        ),
        BodyError::GivenUp(BodyLoss::Stalled) => Failure::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body-stalled",
            "the body stopped before its end; send it again completely",
        ),
        BodyError::GivenUp(BodyLoss::NoMemory) => {
            given_up("no-memory", "the router has no memory for the body; retry later")
        }
        BodyError::GivenUp(BodyLoss::NoConnection) => {
            given_up("no-connection", "too many connections are open; retry later")
        }
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
