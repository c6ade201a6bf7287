//! Mutual authentication with the fleet key, before the first RPC message.

use persimmon_wire::{FleetKey, HandshakeError, accept_handshake, dial_handshake};
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// Buffer size in each direction, enough for the whole handshake.
const BUFFER_BYTES: usize = 1_024;
const KEY: &str = "a fleet key for tests";

type Ends = (Result<(), HandshakeError>, Result<(), HandshakeError>);

fn key(text: &str) -> FleetKey {
    FleetKey::new(text).unwrap()
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(future)
}

fn handshake(dialer: &str, acceptor: &str) -> Ends {
    let (dialer, acceptor) = (key(dialer), key(acceptor));
    run(async {
        let (mut one, mut other) = duplex(BUFFER_BYTES);
        // Each end closes its stream when it is done, as a process does.
        let dial = async move { dial_handshake(&mut one, &dialer).await };
        let accept = async move { accept_handshake(&mut other, &acceptor).await };
        tokio::join!(dial, accept)
    })
}

#[test]
fn handshake_same_key() {
    let (dialed, accepted) = handshake(KEY, KEY);
    dialed.unwrap();
    accepted.unwrap();
}

#[test]
fn handshake_different_keys() {
    let (dialed, accepted) = handshake(KEY, "another fleet key for tests");
    assert!(matches!(dialed, Err(HandshakeError::Key)), "{dialed:?}");
    assert!(accepted.is_err(), "the acceptor refuses the dialer");
}

#[test]
fn accept_dialer_without_key() {
    let accepted = run(async {
        let (mut dialer, mut acceptor) = duplex(BUFFER_BYTES);
        // A well-formed protocol name and nonce, and then an invalid MAC.
        dialer.write_all(b"psmn/001").await.unwrap();
        dialer.write_all(&[7; 32]).await.unwrap();
        dialer.write_all(&[0; 32]).await.unwrap();
        accept_handshake(&mut acceptor, &key(KEY)).await
    });
    assert!(matches!(accepted, Err(HandshakeError::Key)), "{accepted:?}");
}

#[test]
fn dial_peer_that_reflects_nonce() {
    let dialed = run(async {
        let (mut dialer, mut reflector) = duplex(BUFFER_BYTES);
        let reflecting = async move {
            let mut start = [0; 40];
            reflector.read_exact(&mut start).await.unwrap();
            reflector.write_all(&start).await.unwrap();
            reflector.write_all(&[0; 32]).await.unwrap();
        };
        let key = key(KEY);
        tokio::join!(dial_handshake(&mut dialer, &key), reflecting).0
    });
    assert!(matches!(dialed, Err(HandshakeError::Key)), "{dialed:?}");
}

#[test]
fn accept_other_protocol() {
    let accepted = run(async {
        let (mut dialer, mut acceptor) = duplex(BUFFER_BYTES);
        dialer.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        accept_handshake(&mut acceptor, &key(KEY)).await
    });
    assert!(matches!(accepted, Err(HandshakeError::Protocol)), "{accepted:?}");
}
