//! TCP server for other processes of the fleet.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use persimmon_wire::fleet_capnp::node;
use persimmon_wire::{FleetKey, serve};
use tokio::net::TcpListener as AsyncListener;
use tokio::task::LocalSet;

/// Maximum number of open connections from other processes.
const MAX_CONNECTIONS: usize = 1_024;
/// Pause after accepting a connection failed, so that the loop doesn't use a whole core while file
/// descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A server that handles calls on its own thread.
#[derive(Debug)]
pub(crate) struct PeerServer {
    address: SocketAddr,
}

impl PeerServer {
    /// Binds `listen` and starts the server; `node` creates the interface of each connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the thread can't be started.
    pub(crate) fn start(
        listen: SocketAddr,
        key: FleetKey,
        node: impl Fn() -> node::Client + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("peers".into()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, accept_all(listener, key, node));
        })?;
        Ok(Self { address })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept_all(listener: TcpListener, key: FleetKey, node: impl Fn() -> node::Client) {
    let listener = match AsyncListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            tracing::error!("peers: can't use the listener: {err}.");
            return;
        }
    };
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if Rc::strong_count(&open) > MAX_CONNECTIONS {
                    tracing::warn!(
                        "peers: connection from {from} closed because too many are open."
                    );
                    continue;
                }
                let open = open.clone();
                let key = key.clone();
                let bootstrap = node();
                tokio::task::spawn_local(async move {
                    let _open = open;
                    match serve(stream, &key, bootstrap).await {
                        Ok(ended) => {
                            let _joined = ended.await;
                        }
                        Err(err) => {
                            tracing::warn!("peers: connection from {from} refused: {err}.");
                        }
                    }
                });
            }
            Err(err) => {
                tracing::warn!("peers: can't accept a connection: {err}.");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
