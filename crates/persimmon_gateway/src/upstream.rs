//! Connections to endpoints and their reuse.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response, StatusCode};
use persimmon_decide::MonoMs;
use persimmon_decide::load::EndpointHash;
use thiserror::Error;

use crate::body::AbortOnDrop;
use crate::framing::Framing;
use crate::http;
use crate::watched_stream::{WatchedStream, WriteState};
use persimmon_process::Clock;

/// Timeout for opening a connection to an endpoint, in milliseconds: many round trips between
/// zones, and less than the retransmission time of a lost SYN packet.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Idle time after which a connection is closed if the endpoint states no timeout, in milliseconds.
/// No connection is reused after a longer idle time.
const MAX_IDLE_MS: u64 = 4_000;
/// Fraction of the timeout stated by the endpoint during which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The reason why no response head arrived.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No connection could be opened.
    #[error("the connection couldn't be opened: {0}")]
    NoConnection(#[source] std::io::Error),
    /// The connection closed before any part of the request was sent.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection broke after at least part of the request was sent.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
    /// What came is no answer; contains its status if that can be read.
    #[error("the status isn't one of an answer: {0:?}")]
    InvalidStatus(Option<StatusCode>),
}

impl SendError {
    /// Reports whether nothing listens at the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::NoConnection(err) if err.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// An open connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    writes: WriteState,
    _driver: AbortOnDrop,
    /// Idle time before the connection was reused, in milliseconds; none for a new connection.
    idle_ms: Option<u64>,
}

impl Connection {
    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                http::check_status(response).map_err(|it| SendError::InvalidStatus(Some(it)))
            }
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None if err.error().is_parse_status() => Err(SendError::InvalidStatus(None)),
                None => Err(SendError::Broken(err.into_error())),
            },
        }
    }

    /// Reports whether an answer in this framing that ended on the connection is a part of one. The end of the
    /// connection doesn't tell that of an answer if the endpoint hasn't even taken the whole request.
    pub(crate) fn has_cut(&self, framing: Framing) -> bool {
        !framing.is_end_framed() && self.writes.is_writing()
    }

    /// Returns the idle time before the connection was reused, in milliseconds; none for a new
    /// connection.
    pub(crate) fn idle_ms(&self) -> Option<u64> {
        self.idle_ms
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: MonoMs,
    keep_alive_ms: u64,
}

/// Opens connections to endpoints and keeps idle ones for reuse.
#[derive(Debug)]
pub(crate) struct Upstream {
    clock: Clock,
    idle: RefCell<HashMap<EndpointHash, Vec<IdleConnection>>>,
}

impl Upstream {
    /// Creates a pool without connections.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: RefCell::new(HashMap::new()) }
    }

    /// Returns an open connection that has been idle for at most `max_idle_ms`, if there is one.
    /// Closes connections that have been idle for longer than `keep_alive_ms`.
    pub(crate) fn take_idle(
        &self,
        endpoint: EndpointHash,
        max_idle_ms: u64,
        keep_alive_ms: u64,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(candidate) = connections.pop() {
            let idle_ms = now.ms_since(candidate.idle_since);
            // The newest is last: if it is too old, so are the others.
            if idle_ms > candidate.keep_alive_ms.min(keep_alive_ms) {
                connections.clear();
                return None;
            }
            if idle_ms > max_idle_ms {
                connections.push(candidate);
                return None;
            }
            if candidate.connection.sender.is_ready() {
                return Some(Connection { idle_ms: Some(idle_ms), ..candidate.connection });
            }
        }
        None
    }

    /// Opens a new connection.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let stream = http::connect_to_endpoint(address, Duration::from_millis(CONNECT_TIMEOUT_MS))
            .await
            .map_err(SendError::NoConnection)?;
        let (stream, writes) = WatchedStream::new(stream);
        let (sender, driver) =
            http::client_handshake(stream).await.map_err(SendError::NoConnection)?;
        Ok(Connection { sender, writes, _driver: AbortOnDrop(driver), idle_ms: None })
    }

    /// Stores a connection for reuse after its answer has been read completely. `keep_alive_s` is
    /// the idle timeout stated by the endpoint, in seconds.
    pub(crate) fn put_idle(
        &self,
        endpoint: EndpointHash,
        connection: Connection,
        keep_alive_s: Option<u64>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let keep_alive_ms = keep_alive_s
            .map_or(MAX_IDLE_MS, |s| (s as f64 * 1_000.0 * IDLE_TIMEOUT_FRACTION) as u64);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint).or_default();
        if connections.len() == MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            idle_since: self.clock.now(),
            keep_alive_ms,
        });
    }

    /// Removes connections that the endpoint has closed, that have been idle for too long, or whose
    /// endpoint is no longer published.
    pub(crate) fn sweep(&self, is_published: impl Fn(EndpointHash) -> bool) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|endpoint, connections| {
            connections.retain(|it| {
                now.ms_since(it.idle_since) <= it.keep_alive_ms && !it.connection.sender.is_closed()
            });
            !connections.is_empty() && is_published(*endpoint)
        });
    }

    /// Closes all idle connections. Used after a suspension, in which their state may have changed
    /// unnoticed.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
