//! A blocking HTTP client with one request per connection, for processes on the same VM and for the
//! platform.
//!
//! An answer that breaks off is an error in every framing: the connection may neither close before
//! the stated length or the last chunk, nor be reset.

use std::future::Future;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use persimmon_decide::forward::AnswerStatus;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, timeout_at};

const TRACEPARENT: &str = "traceparent";

/// Why a request has no complete answer.
#[derive(Debug, Error)]
pub(crate) enum HttpError {
    /// The request couldn't be built.
    #[error("the request is invalid: {0}")]
    Request(#[from] hyper::http::Error),
    /// The request's JSON can't be written, or the answer's can't be read.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The thread's I/O couldn't be set up, or no connection was opened. Nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(#[source] io::Error),
    /// The connection broke before the end of the answer.
    #[error("the connection broke before the end of the answer: {0}")]
    Broken(#[from] hyper::Error),
    /// What came has a status that no answer has. The request may have been processed.
    #[error("the status {0} isn't one of an answer")]
    InvalidStatus(StatusCode),
    /// The answer isn't complete by the deadline.
    #[error("no complete answer in time")]
    TimedOut,
    /// The answer is too long.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

impl HttpError {
    /// Reports whether the connection broke before the end of the answer.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(self, Self::Broken(_))
    }

    /// Reports whether the other end refused the connection, so that it received nothing.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::NotConnected(err) if err.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A request that hasn't been sent.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    address: SocketAddr,
    method: Method,
    path: String,
    traceparent: Option<String>,
    body: Bytes,
    timeout: Duration,
}

impl HttpRequest {
    /// Creates a request without a body. The timeout covers the time from connecting to the end of
    /// the answer.
    pub(crate) fn get(address: SocketAddr, path: &str, timeout: Duration) -> Self {
        let (path, body) = (path.to_owned(), Bytes::new());
        Self { address, method: Method::GET, path, traceparent: None, body, timeout }
    }

    /// Creates a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be written as JSON.
    pub(crate) fn post<T: Serialize>(
        address: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<Self, HttpError> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        Ok(Self { method: Method::POST, body, ..Self::get(address, path, timeout) })
    }

    /// Sets the trace context.
    #[must_use]
    pub(crate) fn with_traceparent(mut self, traceparent: String) -> Self {
        self.traceparent = Some(traceparent);
        self
    }

    /// Sends the request and waits for the head of the answer. Redirects aren't followed, since a
    /// redirected request might run twice.
    ///
    /// # Errors
    ///
    /// Returns an error if no head arrives before the timeout.
    pub(crate) fn send(self) -> Result<HttpAnswer, HttpError> {
        let deadline = Instant::now() + self.timeout;
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(HttpError::NotConnected)?;
        let response = block_until(&runtime, deadline, self.exchange())??;
        let is_end_framed = response.headers().contains_key(CONTENT_LENGTH)
            || response.headers().contains_key(TRANSFER_ENCODING)
            || response.body().is_end_stream();
        let (head, body) = response.into_parts();
        let head = Response::from_parts(head, ());
        Ok(HttpAnswer { runtime, deadline, head, is_end_framed, body, unread: Bytes::new() })
    }

    async fn exchange(self) -> Result<Response<Incoming>, HttpError> {
        let mut req = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(HOST, self.address.to_string())
            .header(CONNECTION, "close");
        if !self.body.is_empty() {
            req = req.header(CONTENT_TYPE, "application/json");
        }
        if let Some(traceparent) = self.traceparent {
            req = req.header(TRACEPARENT, traceparent);
        }
        let req = req.body(Full::new(self.body))?;
        let stream = TcpStream::connect(self.address).await.map_err(HttpError::NotConnected)?;
        stream.set_nodelay(true).map_err(HttpError::NotConnected)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // Its errors reach the answer's reader too.
        tokio::spawn(connection);
        let response = sender.send_request(req).await?;
        match AnswerStatus::of(response.status().as_u16()) {
            AnswerStatus::Final => Ok(response),
            AnswerStatus::Interim | AnswerStatus::Invalid => {
                Err(HttpError::InvalidStatus(response.status()))
            }
        }
    }
}

/// An answer whose head has arrived. Its body is read as it arrives.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    runtime: Runtime,
    deadline: Instant,
    head: Response<()>,
    is_end_framed: bool,
    body: Incoming,
    unread: Bytes,
}

impl HttpAnswer {
    /// Returns the status.
    pub(crate) fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the value of a header, if it is readable text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers().get(name)?.to_str().ok()
    }

    /// Reports whether a length or a last chunk shows the end of the body. If not, a body that ends
    /// with its connection may be truncated without a sign of it.
    pub(crate) fn is_end_framed(&self) -> bool {
        self.is_end_framed
    }

    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, is longer than `max_bytes`, or takes too long.
    pub(crate) fn read_complete(mut self, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        while let Some(piece) = self.next_piece()? {
            if body.len() + piece.len() > max_bytes {
                return Err(HttpError::TooLong(max_bytes));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }

    /// Reads the complete body and discards it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off or takes too long.
    pub(crate) fn discard(mut self) -> Result<(), HttpError> {
        while self.next_piece()?.is_some() {}
        Ok(())
    }

    /// Reads the complete body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, is longer than `max_bytes`, or isn't valid.
    pub(crate) fn json<T: DeserializeOwned>(self, max_bytes: usize) -> Result<T, HttpError> {
        Ok(serde_json::from_slice(&self.read_complete(max_bytes)?)?)
    }

    fn next_piece(&mut self) -> Result<Option<Bytes>, HttpError> {
        loop {
            let Some(frame) = block_until(&self.runtime, self.deadline, self.body.frame())? else {
                return Ok(None);
            };
            // Trailers aren't used.
            if let Ok(piece) = frame?.into_data() {
                return Ok(Some(piece));
            }
        }
    }
}

impl Read for HttpAnswer {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.unread.is_empty() {
            match self.next_piece().map_err(io::Error::other)? {
                Some(piece) => self.unread = piece,
                None => return Ok(0),
            }
        }
        let length = self.unread.len().min(buf.len());
        buf[..length].copy_from_slice(&self.unread.split_to(length));
        Ok(length)
    }
}

/// Runs `future` on the current thread until `deadline`.
fn block_until<F: Future>(
    runtime: &Runtime,
    deadline: Instant,
    future: F,
) -> Result<F::Output, HttpError> {
    runtime.block_on(async { timeout_at(deadline, future).await }).map_err(|_| HttpError::TimedOut)
}
