//! Connections between processes: Cap'n Proto RPC over TCP, after the handshake.
//!
//! This module runs on a single-threaded executor, inside a `tokio::task::LocalSet`.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{Disconnector, RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::fleet_capnp::node;
use crate::{FleetKey, HandshakeError, accept_handshake, dial_handshake};

/// Time limit for establishing a TCP connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a received message, in 8-byte words: twice the size of the largest record set.
const MAX_MESSAGE_WORDS: usize = 2 * persimmon_records::MAX_SET_BYTES / 8;

/// An open connection to another process.
#[derive(Clone)]
pub struct Connection {
    /// The RPC interface of the other process.
    pub node: node::Client,
    closed: Rc<Cell<bool>>,
    disconnector: Rc<Cell<Option<Disconnector<Side>>>>,
}

impl Connection {
    /// Reports whether the connection has failed or was closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Closes the connection, including all clones of this handle. Calls in progress fail.
    pub fn close(self) {
        self.closed.set(true);
        if let Some(disconnector) = self.disconnector.take() {
            tokio::task::spawn_local(disconnector);
        }
    }
}

/// Opens a connection and performs the handshake.
///
/// # Errors
///
/// Returns an error if the connection isn't established in time or the handshake fails. In that
/// case no call has been sent.
pub async fn dial(address: SocketAddr, key: &FleetKey) -> Result<Connection, HandshakeError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| HandshakeError::Timeout)??;
    stream.set_nodelay(true)?;
    dial_handshake(&mut stream, key).await?;
    let mut rpc = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let node = rpc.bootstrap(Side::Server);
    let disconnector = Rc::new(Cell::new(Some(rpc.get_disconnector())));
    let closed = Rc::new(Cell::new(false));
    let on_close = closed.clone();
    tokio::task::spawn_local(async move {
        let _ended = rpc.await;
        on_close.set(true);
    });
    Ok(Connection { node, closed, disconnector })
}

/// Performs the handshake on an accepted connection and then serves calls with `bootstrap`.
///
/// # Errors
///
/// Returns an error if the handshake fails.
pub async fn serve(
    mut stream: TcpStream,
    key: &FleetKey,
    bootstrap: node::Client,
) -> Result<JoinHandle<()>, HandshakeError> {
    stream.set_nodelay(true)?;
    accept_handshake(&mut stream, key).await?;
    let rpc = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(bootstrap.client));
    Ok(tokio::task::spawn_local(async move {
        let _ended = rpc.await;
    }))
}

fn network(
    stream: TcpStream,
    side: Side,
) -> twoparty::VatNetwork<BufReader<impl futures::AsyncRead + Unpin>> {
    let (reader, writer) = futures::AsyncReadExt::split(stream.compat());
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    twoparty::VatNetwork::new(BufReader::new(reader), BufWriter::new(writer), side, options)
}
