//! Connections with the socket options that every one of them needs.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

use crate::body::AbortOnDrop;

/// Host named in the gateway's own requests; whoever they reach serves one host.
const OWN_HOST: &str = "gateway";
/// Idle time before the first keep-alive probe. Together with the interval and the count, a peer
/// that fell silent is noticed in about three seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Read buffer of a connection to an endpoint or the store, in bytes. An answer's head is far
/// shorter; bodies are read in pieces.
const CLIENT_BUFFER_BYTES: usize = 16 * 1024;

/// Sets the options of a connection, so that silence is noticed and small writes leave at once.
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

/// Opens a connection in at most `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

/// Opens a connection from this VM's own address, by which the other end knows it.
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

/// Why a small request of the gateway's own failed.
#[derive(Debug, Error)]
pub(crate) enum GetError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    /// The connection broke.
    #[error("no answer: {0}")]
    Http(#[from] hyper::Error),
    /// The answer broke off or is too long.
    #[error("no whole answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is a failure.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The path can't be written.
    #[error("a path can't be written: {0}")]
    Path(#[from] hyper::http::uri::InvalidUri),
    /// The answer took too long.
    #[error("no answer in time")]
    TimedOut,
}

/// Gets a small page over a connection of its own, in at most `limit`.
pub(crate) async fn get(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, GetError> {
    let answered = async {
        let (mut sender, driver) = client_handshake(connect(address, limit).await?).await?;
        let _driver = AbortOnDrop(driver);
        get_over(&mut sender, path, max_bytes).await
    };
    tokio::time::timeout(limit, answered).await.map_err(|_| GetError::TimedOut)?
}

/// Gets a page over an open connection.
pub(crate) async fn get_over(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    max_bytes: usize,
) -> Result<Bytes, GetError> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse()?;
    req.headers_mut().insert(HOST, HeaderValue::from_static(OWN_HOST));
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), max_bytes).collect().await;
    let body = body.map_err(GetError::Body)?.to_bytes();
    if status == StatusCode::OK { Ok(body) } else { Err(GetError::Refused(status)) }
}

/// Speaks HTTP over a connection. The returned task drives it.
pub(crate) async fn client_handshake(
    stream: TcpStream,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(CLIENT_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            // The request on it, if any, gets the error too.
            tracing::debug!(target: "http", %err, "a connection ended");
        }
    });
    Ok((sender, task.abort_handle()))
}
