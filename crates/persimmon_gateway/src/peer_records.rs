//! Fetches records from peers that have later ones.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmon_decide::forward::{StoreDelta, StoreEra};
use thiserror::Error;

use crate::gateway::Gateway;
use crate::http;
use crate::ops::{RECORDS_PATH, SINCE};
use crate::platform::Platform;
use crate::store_reader;
use crate::transfer::{self, Progress};

/// Maximum interval at which a gateway checks whether a peer is ahead.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a peer must be ahead before a gateway that watches the store itself fetches the
/// peer's records, in milliseconds. The gateway's own watch usually returns the change sooner.
const MIN_AHEAD_MS: u64 = 250;
/// Divisor of the interval between digests; the quotient is the mean pause between two fetches, so that
/// the gateways of a large fleet don't fetch each of many changes by itself.
const PAUSE_DIVISOR: u64 = 4;
/// Timeout for fetching records from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a peer's answer, in bytes.
const MAX_DELTA_BYTES: usize = 16 * 1024 * 1024;

/// Fetches records whenever a peer has later ones, until the process ends.
pub(crate) async fn follow<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = gw.peer_ahead.notified() => {}
        }
        adopt_routes(&gw).await;
        if gw.control.borrow().is_watching {
            tokio::time::sleep(Duration::from_millis(MIN_AHEAD_MS)).await;
        }
        while fetch_later(&gw).await {
            pause(&gw).await;
        }
    }
}

async fn pause<P: Platform>(gw: &Gateway<P>) {
    let pause_ms = {
        let mut control = gw.control.borrow_mut();
        let mean_ms = control.peers.interval_ms(false) / PAUSE_DIVISOR;
        mean_ms / 2 + control.draw() % mean_ms.max(1)
    };
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Fetches the records of a peer that has later ones. Returns whether there was one.
async fn fetch_later<P: Platform>(gw: &Rc<Gateway<P>>) -> bool {
    let (known, peer) = {
        let mut control = gw.control.borrow_mut();
        let known = control.view.revision();
        let draw = control.draw();
        let Some(peer) = control.peers.ahead_of(known, draw, gw.clock.now()) else { return false };
        (known, peer)
    };
    let progress = Progress::start();
    gw.control.borrow_mut().is_fetching = true;
    let fetched = fetch(gw.peer_address(peer), known, &progress).await;
    gw.control.borrow_mut().is_fetching = false;
    record_fetch(gw, &progress, fetched.is_ok());
    match fetched {
        Ok(delta) => {
            let now = gw.clock.now();
            tracing::info!(target: "records", %peer, revision = StoreEra::revision(delta.revision),
                era = StoreEra::of(delta.revision).0, known = StoreEra::revision(known),
                is_whole = delta.is_whole, bytes = progress.bytes(),
                connected_ms = progress.connected_ms(), answered_ms = progress.answered_ms(),
                took_ms = progress.elapsed_ms(), "fetched records from a peer");
            let changes = gw.control.borrow_mut().view.apply_peer(delta, now);
            store_reader::apply(gw, changes);
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, known = StoreEra::revision(known),
                bytes = progress.bytes(), connected_ms = progress.connected_ms(),
                answered_ms = progress.answered_ms(), took_ms = progress.elapsed_ms(),
                "fetching records from a peer failed");
        }
    }
    let mut control = gw.control.borrow_mut();
    if control.view.revision() <= known {
        control.peers.record_fetch_failed(peer, gw.clock.now());
    }
    true
}

fn record_fetch<P: Platform>(gw: &Gateway<P>, progress: &Progress, is_ok: bool) {
    let result = if is_ok { "ok" } else { "failed" };
    let metrics = &gw.metrics.records;
    metrics.fetches.with_label_values(&[result]).inc();
    metrics.bytes.with_label_values(&["received"]).inc_by(progress.bytes() as u64);
    let seconds = progress.elapsed_ms() as f64 / 1_000.0;
    metrics.fetch_seconds.with_label_values(&[result]).observe(seconds);
}

/// Fetches the routes of a peer that has later ones. Gateways keep routes that a store has lost by coming
/// back from an older copy, until they are written again.
async fn adopt_routes<P: Platform>(gw: &Rc<Gateway<P>>) {
    let (own, peer) = {
        let control = gw.control.borrow();
        // Before the era of the store's first restoration, positions tell who is ahead.
        if StoreEra::of(control.view.revision()) == StoreEra::default() {
            return;
        }
        let own = control.routes_version();
        let Some(peer) = control.peers.ahead_in_routes(own, gw.clock.now()) else { return };
        (own, peer)
    };
    let progress = Progress::start();
    let fetched = fetch(gw.peer_address(peer), 0, &progress).await;
    record_fetch(gw, &progress, fetched.is_ok());
    match fetched {
        Ok(delta) => {
            if gw.control.borrow_mut().adopt_routes(&gw.platform, delta) {
                let version = gw.control.borrow().routes_version();
                tracing::info!(target: "records", %peer, own, version, "adopted a peer's routes");
                gw.digest_due.notify_one();
            }
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, "fetching routes from a peer failed");
        }
    }
}

/// The reason why fetching records from a peer failed.
#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Get(#[from] http::GetError),
    #[error("invalid records: {0}")]
    Format(#[from] postcard::Error),
}

async fn fetch(
    address: SocketAddr,
    known: u64,
    progress: &Progress,
) -> Result<StoreDelta, FetchError> {
    let path = format!("{RECORDS_PATH}?{SINCE}{known}");
    let body = transfer::get(address, &path, MAX_DELTA_BYTES, FETCH_TIMEOUT, progress).await?;
    Ok(StoreDelta::from_bytes(&body)?)
}
