//! Transfers of records from a peer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};

use crate::body::AbortOnDrop;
use crate::http::{self, GetError, OWN_HOST};
use crate::read_body::ReadError;

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

/// Gets a page of at most `max_bytes` over a new connection within `limit`.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    limit: Duration,
    progress: &Progress,
) -> Result<Bytes, GetError> {
    let answered = async {
        let stream = http::connect(address, limit).await?;
        progress.connected_ms.set(Some(progress.elapsed_ms()));
        let (mut sender, driver) = http::client_handshake(stream).await?;
        let _driver = AbortOnDrop(driver);
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = path.parse()?;
        req.headers_mut().insert(HOST, HeaderValue::from_static(OWN_HOST));
        let response = sender.send_request(req).await?;
        progress.answered_ms.set(Some(progress.elapsed_ms()));
        let (head, mut body) = response.into_parts();
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame.map_err(ReadError::from)?.into_data() else { continue };
            if read.len() + piece.len() > max_bytes {
                return Err(ReadError::TooLong.into());
            }
            read.extend_from_slice(&piece);
            progress.bytes.set(read.len());
        }
        match head.status {
            StatusCode::OK => Ok(read.freeze()),
            status => Err(GetError::Refused(status)),
        }
    };
    tokio::time::timeout(limit, answered).await.map_err(|_| GetError::TimedOut)?
}
