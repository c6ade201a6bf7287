//! Connections with the socket options that every one of them needs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;

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

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
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
