//! HTTP connections with the socket options that all connections of a gateway use.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use persimmon_decide::forward::AnswerStatus;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use persimmon_process::ReadError;

/// Host header of the gateway's own requests; their receivers serve only one host.
pub(crate) const OWN_HOST: &str = "gateway";
/// Idle time before the first keep-alive probe. With the interval and the number of probes below, a
/// dead peer is detected after about three seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// Size of the read buffer of a connection to an endpoint or the store, in bytes. A response head
/// is far smaller, and bodies are read in pieces.
const CLIENT_BUFFER_BYTES: usize = 16 * 1024;

/// Size of the system's receive buffer of a connection to an endpoint, in bytes, of which about half is for
/// data. It counts towards the process's memory.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// Sets the options of a connection, so that a dead peer is detected and small writes are sent
/// without delay.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Opens a connection within `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Opens a connection to an endpoint within `limit`. The system buffers little of what it sends, whatever
/// the rate at which the answer is read.
pub(crate) async fn connect_to_endpoint(
    address: SocketAddr,
    limit: Duration,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = tokio::time::timeout(limit, socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Opens a connection within `limit` from `own`, the address by which the other end identifies this
/// VM.
pub(crate) async fn connect_from(
    own: IpAddr,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<TcpStream> {
    let socket = if own.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    let stream = tokio::time::timeout(limit, socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The reason why one of the gateway's own requests failed.
#[derive(Debug, Error)]
pub(crate) enum GetError {
    /// No connection could be opened.
    #[error("the connection couldn't be opened: {0}")]
    Io(#[from] io::Error),
    /// The connection broke.
    #[error("the connection broke before an answer arrived: {0}")]
    Http(#[from] hyper::Error),
    /// The answer is truncated or too long.
    #[error("the answer is truncated or too long: {0}")]
    Body(#[from] ReadError),
    /// What came is no answer; contains its status if that can be read.
    #[error("the status isn't one of an answer: {0:?}")]
    InvalidStatus(Option<StatusCode>),
    /// The answer has another status than 200.
    #[error("the request was refused with status {0}")]
    Refused(StatusCode),
    /// The path isn't a valid URI.
    #[error("invalid request path: {0}")]
    Path(#[from] hyper::http::uri::InvalidUri),
    /// The answer stopped for too long before its end.
    #[error("the answer stopped before its end")]
    Stalled,
    /// No answer arrived before the timeout.
    #[error("no answer before the timeout")]
    TimedOut,
}

/// Returns a response, unless its status isn't one of an answer. Its connection must not be used again then: after
/// 101 the other end may speak another protocol.
pub(crate) fn check_status<B>(response: Response<B>) -> Result<Response<B>, StatusCode> {
    let status = response.status();
    // The library skips interim responses, so that one that arrives here is the last on its connection.
    match AnswerStatus::of(status.as_u16()) {
        AnswerStatus::Final => Ok(response),
        AnswerStatus::Interim | AnswerStatus::Invalid => Err(status),
    }
}

/// A page and its headers.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Starts HTTP on a connection. Returns the sender for requests and the task that drives the
/// connection.
pub(crate) async fn client_handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(CLIENT_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            // A request in flight on it gets the error too.
            tracing::debug!(target: "http", %err, "a connection failed");
        }
    });
    Ok((sender, task.abort_handle()))
}
