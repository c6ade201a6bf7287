//! Start and shutdown of a gateway process.

use std::io;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::callers;
use crate::crash_holders;
use crate::gateway::Gateway;
use crate::http;
use crate::metrics::Metrics;
use crate::ops;
use crate::peer_records;
use crate::peers;
use crate::platform::Platform;
use crate::settings::GatewaySettings;
use crate::shutdown;
use crate::store_reader;
use crate::stream_versions;

/// Runs a gateway until SIGTERM or SIGINT. `reload` reads the settings again after SIGHUP; if they
/// can't be read, it logs the error and returns none.
///
/// # Errors
///
/// An address can't be bound, or a metric can't be registered.
pub fn run_gateway<P: Platform>(
    platform: P,
    settings: GatewaySettings,
    reload: impl Fn() -> Option<GatewaySettings> + 'static,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let gw = Rc::new(Gateway::new(platform, settings, metrics));
    LocalSet::new().block_on(&runtime, run(gw, reload))
}

async fn run<P: Platform>(
    gw: Rc<Gateway<P>>,
    reload: impl Fn() -> Option<GatewaySettings> + 'static,
) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    start(&gw).await?;
    tracing::info!(target: "gateway", name = &*gw.settings.name, zone = &*gw.settings.zone,
        callers = %gw.settings.callers, store = %gw.settings.store, "started");
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => apply_settings(&gw, reload()),
        }
    }
    shutdown::shut_down(&gw).await;
    Ok(())
}

async fn start<P: Platform>(gw: &Rc<Gateway<P>>) -> io::Result<()> {
    let settings = &gw.settings;
    let callers = http::listen(settings.callers)?;
    let readiness = http::listen(settings.readiness)?;
    let records = http::listen(settings.peers)?;
    let socket = Rc::new(UdpSocket::bind(settings.peers).await?);
    if let Some(address) = settings.metrics {
        spawn_local(ops::serve_ops(gw.clone(), http::listen(address)?));
    }
    spawn_local(store_reader::read_store(gw.clone()));
    spawn_local(ops::serve_ops(gw.clone(), readiness));
    spawn_local(ops::serve_ops(gw.clone(), records));
    gw.streams.set_socket(socket.clone());
    gw.socket.set(socket.clone()).expect("the socket is bound once");
    spawn_local(stream_versions::tell_streams(gw.clone()));
    spawn_local(crash_holders::exchange(gw.clone()));
    spawn_local(peers::receive(gw.clone(), socket.clone()));
    spawn_local(peers::send(gw.clone(), socket));
    spawn_local(peer_records::follow(gw.clone()));
    spawn_local(peer_records::follow_routes(gw.clone()));
    spawn_local(callers::accept_callers(gw.clone(), callers));
    Ok(())
}

/// Applies the only setting that can change at run time, the seeds. Changed addresses need a
/// restart.
fn apply_settings<P: Platform>(gw: &Gateway<P>, settings: Option<GatewaySettings>) {
    let Some(settings) = settings else { return };
    tracing::info!(target: "gateway", seeds = ?settings.seeds, "settings read again");
    gw.control.borrow_mut().peers.set_seeds(settings.seeds);
}
