//! Connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use persimmon_decide::MonoMs;
use persimmon_decide::load::EndpointHash;
use thiserror::Error;

use crate::body::AbortOnDrop;
use crate::http;
use persimmon_process::Clock;

/// Longest time that a connection to an endpoint may take, in milliseconds: many round trips
/// between zones, and less than the retransmission of a lost opening packet.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Idle time after which a connection is closed, in milliseconds, where the endpoint states no
/// timeout: the longest in which any is used.
const MAX_IDLE_MS: u64 = 4_000;
/// Part of the endpoint's stated timeout in which a connection is used.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Why no answer's head came.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    NoConnection(#[source] std::io::Error),
    /// The connection ended before anything was sent.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection broke after the request was sent at least in part.
    #[error("the connection broke: {0}")]
    Broken(#[source] hyper::Error),
}

/// An open connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
    /// How long it was idle before it was taken, in milliseconds; none for a new one.
    idle_ms: Option<u64>,
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(err.into_error())),
            },
        }
    }

    /// How long it was idle before it was taken, in milliseconds; none for a new one.
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

/// Idle connections by endpoint.
#[derive(Debug)]
pub(crate) struct Upstream {
    clock: Clock,
    idle: RefCell<HashMap<EndpointHash, Vec<IdleConnection>>>,
}

impl Upstream {
    /// No connections.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: RefCell::new(HashMap::new()) }
    }

    /// An idle connection that is sound and was used at most `max_idle_ms` ago, if there is one. Those
    /// that were used longer than `keep_alive_ms` ago are closed.
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

    /// Opens a connection.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let stream = http::connect(address, Duration::from_millis(CONNECT_TIMEOUT_MS))
            .await
            .map_err(SendError::NoConnection)?;
        let (sender, driver) =
            http::client_handshake(stream).await.map_err(SendError::NoConnection)?;
        Ok(Connection { sender, _driver: AbortOnDrop(driver), idle_ms: None })
    }

    /// Keeps a connection whose answer has been read to its end. `keep_alive_s` is the timeout that the
    /// endpoint stated, in seconds.
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

    /// Closes connections that are closed, too old, or lead to endpoints that are gone.
    pub(crate) fn sweep(&self, is_published: impl Fn(EndpointHash) -> bool) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|endpoint, connections| {
            connections.retain(|it| {
                now.ms_since(it.idle_since) <= it.keep_alive_ms && !it.connection.sender.is_closed()
            });
            !connections.is_empty() && is_published(*endpoint)
        });
    }

    /// Closes every idle connection, as after a time in which nothing was heard of them.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
