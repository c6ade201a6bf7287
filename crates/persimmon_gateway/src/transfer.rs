//! Transfers of records from the store and from peers.

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};

use crate::http::{self, GetError, OWN_HOST, Page};
use persimmon_process::ReadError;

/// How far a transfer has got.
#[derive(Debug)]
pub(crate) struct Progress {
    started: Instant,
    connected_ms: Cell<Option<u64>>,
    answered_ms: Cell<Option<u64>>,
    bytes: Cell<usize>,
}

impl Progress {
    /// Returns the progress of a transfer that starts now.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            connected_ms: Cell::new(None),
            answered_ms: Cell::new(None),
            bytes: Cell::new(0),
        }
    }

    /// Records that the connection is open.
    pub(crate) fn record_connected(&self) {
        self.connected_ms.set(Some(self.elapsed_ms()));
    }

    /// Records that the answer has begun, and that `bytes` of its body have arrived.
    pub(crate) fn record_bytes(&self, bytes: usize) {
        if self.answered_ms.get().is_none() {
            self.answered_ms.set(Some(self.elapsed_ms()));
        }
        self.bytes.set(bytes);
    }

    /// Returns the time since the start, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time until the connection was open, in milliseconds.
    pub(crate) fn connected_ms(&self) -> Option<u64> {
        self.connected_ms.get()
    }

    /// Returns the time until the head of the answer arrived, in milliseconds.
    pub(crate) fn answered_ms(&self) -> Option<u64> {
        self.answered_ms.get()
    }

    /// Returns the bytes of the body that have arrived.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }
}

/// Limits of a transfer. A page may take however long it needs, as long as bytes come.
#[derive(Debug)]
pub(crate) struct Limits {
    /// Maximum size of the page, in bytes.
    pub(crate) bytes: usize,
    /// Timeout for the head of the answer.
    pub(crate) head: Duration,
    /// Timeout for each further piece.
    pub(crate) piece: Duration,
}

/// Gets a page over an open connection. `record_progress` is called with the number of bytes of the body that
/// have arrived, at its head and at each piece, unless the request is refused.
///
/// # Errors
///
/// The connection fails or makes no progress, or the answer has another status than 200 or is too long.
pub(crate) async fn get_over(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    limits: &Limits,
    record_progress: impl Fn(usize),
) -> Result<Page, GetError> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse()?;
    req.headers_mut().insert(HOST, HeaderValue::from_static(OWN_HOST));
    let response = tokio::time::timeout(limits.head, sender.send_request(req)).await;
    let response = match response.map_err(|_| GetError::TimedOut)? {
        Err(err) if err.is_parse_status() => return Err(GetError::InvalidStatus(None)),
        response => response?,
    };
    let response = http::check_status(response).map_err(|it| GetError::InvalidStatus(Some(it)))?;
    let (head, mut body) = response.into_parts();
    if head.status != StatusCode::OK {
        return Err(GetError::Refused(head.status));
    }
    record_progress(0);
    let mut read = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limits.piece, body.frame()).await;
        let Some(frame) = frame.map_err(|_| GetError::Stalled)? else { break };
        let Ok(piece) = frame.map_err(ReadError::from)?.into_data() else { continue };
        if read.len() + piece.len() > limits.bytes {
            return Err(ReadError::TooLong.into());
        }
        read.extend_from_slice(&piece);
        record_progress(read.len());
    }
    Ok(Page { headers: head.headers, body: read.freeze() })
}
