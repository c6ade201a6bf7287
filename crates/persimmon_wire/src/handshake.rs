//! Mutual authentication with the fleet key on a new connection, before the first RPC message.
//!
//! The dialer sends a nonce. The acceptor replies with its own nonce and a message authentication
//! code (MAC) over both nonces, and the dialer replies with its own MAC. The input of each MAC
//! includes the side that computed it, so that a peer can't authenticate by returning the MAC that
//! it received.

use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use crate::FleetKey;

/// Time limit of the whole handshake, at each end.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);

const PROTOCOL: &[u8; 8] = b"psmn/001";
const NONCE_BYTES: usize = 32;
const MAC_BYTES: usize = blake3::OUT_LEN;
const DIALER: &[u8] = b"dialer";
const ACCEPTOR: &[u8] = b"acceptor";

/// The reason why a connection wasn't established.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer uses another protocol.
    #[error("the peer uses another protocol; check that the address is a persimmonmount peer")]
    Protocol,
    /// The peer has another fleet key.
    #[error("the peer has another fleet key; set the same PERSIMMON_FLEET_KEY on both")]
    Key,
    /// The peer didn't accept the connection or complete the handshake in time.
    #[error("the peer didn't answer in time; check that its process is running")]
    Timeout,
    /// The operating system returned no random bytes for a nonce.
    #[error("the system returned no random bytes; check the VM's random source")]
    Random,
    /// The connection failed.
    #[error("the connection failed before the first call ({0}); the dialer retries")]
    Io(#[from] std::io::Error),
}

/// Performs the handshake as the side that opened the connection.
///
/// # Errors
///
/// Returns an error if the peer doesn't answer, uses another protocol or has another key.
pub async fn dial_handshake<S>(stream: &mut S, key: &FleetKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, dial_steps(stream, key))
        .await
        .map_err(|_| HandshakeError::Timeout)?
}

/// Performs the handshake as the side that accepted the connection.
///
/// # Errors
///
/// Returns an error if the peer doesn't answer, uses another protocol or has another key.
pub async fn accept_handshake<S>(stream: &mut S, key: &FleetKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    timeout(HANDSHAKE_TIMEOUT, accept_steps(stream, key))
        .await
        .map_err(|_| HandshakeError::Timeout)?
}

async fn dial_steps<S>(stream: &mut S, key: &FleetKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own = nonce()?;
    stream.write_all(PROTOCOL).await?;
    stream.write_all(&own).await?;
    stream.flush().await?;
    read_protocol(stream).await?;
    let other = read_array::<_, NONCE_BYTES>(stream).await?;
    let mac = read_array::<_, MAC_BYTES>(stream).await?;
    // `blake3::Hash` compares in constant time.
    if blake3::Hash::from_bytes(mac) != key.handshake_mac([ACCEPTOR, &own, &other]) {
        return Err(HandshakeError::Key);
    }
    stream.write_all(key.handshake_mac([DIALER, &own, &other]).as_bytes()).await?;
    stream.flush().await?;
    Ok(())
}

async fn accept_steps<S>(stream: &mut S, key: &FleetKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    read_protocol(stream).await?;
    let other = read_array::<_, NONCE_BYTES>(stream).await?;
    let own = nonce()?;
    stream.write_all(PROTOCOL).await?;
    stream.write_all(&own).await?;
    stream.write_all(key.handshake_mac([ACCEPTOR, &other, &own]).as_bytes()).await?;
    stream.flush().await?;
    let mac = read_array::<_, MAC_BYTES>(stream).await?;
    if blake3::Hash::from_bytes(mac) != key.handshake_mac([DIALER, &other, &own]) {
        return Err(HandshakeError::Key);
    }
    Ok(())
}

fn nonce() -> Result<[u8; NONCE_BYTES], HandshakeError> {
    let mut bytes = [0; NONCE_BYTES];
    getrandom::fill(&mut bytes).map_err(|_| HandshakeError::Random)?;
    Ok(bytes)
}

async fn read_protocol<S: AsyncRead + Unpin>(stream: &mut S) -> Result<(), HandshakeError> {
    let protocol = read_array::<_, { PROTOCOL.len() }>(stream).await?;
    if protocol == *PROTOCOL { Ok(()) } else { Err(HandshakeError::Protocol) }
}

async fn read_array<S, const N: usize>(stream: &mut S) -> Result<[u8; N], HandshakeError>
where
    S: AsyncRead + Unpin,
{
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}
