//! Fetches records from peers that have later ones.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use persimmon_decide::forward::{
    FetchEnd, RecordContent, RecordUpdate, RecordsVersion, StoreChange, StoreDelta, StoreEra,
    StoreRecord, StoreUpdate, UpdateError,
};
use thiserror::Error;
use tokio::task::{AbortHandle, JoinSet};

use crate::body::AbortOnDrop;
use crate::gateway::Gateway;
use crate::http::{self, GetError};
use crate::notices;
use crate::ops::{CHANGES_PATH, RECORDS_PATH, SINCE, VALUES};
use crate::platform::Platform;
use crate::record_answers::AnswerContent;
use crate::store_reader;
use crate::transfer::{self, Limits, Progress};
use crate::update_codec::{self, CodecError};

/// Maximum interval at which a gateway checks whether a peer is ahead, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits of a fetch.
const FETCH_LIMITS: Limits = Limits {
    bytes: 32 * 1024 * 1024,
    head: Duration::from_millis(1_000),
    piece: Duration::from_millis(1_000),
};

/// The reason why fetching records from a peer failed.
#[derive(Debug, Error)]
enum FetchError {
    #[error("{0}")]
    Get(#[from] GetError),
    #[error("{0}")]
    Codec(#[from] CodecError),
    #[error("invalid records: {0}")]
    Format(#[from] postcard::Error),
    #[error("{0}")]
    Update(#[from] UpdateError),
    #[error("the peer's records aren't later")]
    NothingLater,
}

impl FetchError {
    fn end(&self) -> FetchEnd {
        match self {
            Self::Get(GetError::Refused(StatusCode::SERVICE_UNAVAILABLE)) => FetchEnd::Busy,
            Self::Update(UpdateError::Patch(_) | UpdateError::NoRecord) => FetchEnd::OtherBase,
            _ => FetchEnd::Failed,
        }
    }
}

/// Fetches records whenever a peer has later ones, and repeats notices to others, until the process ends.
pub(crate) async fn follow<P: Platform>(gw: Rc<Gateway<P>>) {
    let mut fetches = JoinSet::new();
    let mut handles: HashMap<IpAddr, AbortHandle> = HashMap::new();
    let mut checked_at = gw.clock.now();
    loop {
        let next = gw.control.borrow().fan_out.next_at(checked_at);
        let next = next.unwrap_or(checked_at.plus_ms(CHECK_INTERVAL_MS));
        tokio::select! {
            () = tokio::time::sleep_until(gw.clock.instant(next).into()) => {}
            () = gw.peer_ahead.notified() => {}
            Some(ended) = fetches.join_next() => {
                if let Err(err) = ended
                    && err.is_panic()
                {
                    tracing::error!(target: "records", %err, "fetching records panicked");
                }
            }
        }
        checked_at = gw.clock.now();
        notices::send_due(&gw);
        for peer in take_needless(&gw) {
            tracing::debug!(target: "records", %peer,
                "fetch given up: the records have arrived otherwise");
            if let Some(handle) = handles.remove(&peer) {
                handle.abort();
            }
        }
        handles.retain(|peer, handle| {
            if handle.is_finished() {
                // Without effect unless the fetch ended without recording it.
                end_fetch(&gw, *peer, FetchEnd::Failed);
            }
            !handle.is_finished()
        });
        while let Some(peer) = next_fetch(&gw) {
            handles.insert(peer, fetches.spawn_local(fetch(gw.clone(), peer)));
        }
    }
}

fn take_needless<P: Platform>(gw: &Gateway<P>) -> Vec<IpAddr> {
    let mut control = gw.control.borrow_mut();
    let own = control.view.revision();
    control.fan_out.take_needless(own)
}

fn end_fetch<P: Platform>(gw: &Gateway<P>, peer: IpAddr, end: FetchEnd) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    if control.fan_out.record_fetch_end(peer, end, now) {
        control.peers.record_fetch_failed(peer, now);
    }
}

fn next_fetch<P: Platform>(gw: &Gateway<P>) -> Option<IpAddr> {
    gw.control.borrow_mut().next_fetch(gw.clock.now())
}

/// Fetches what a peer has later than this gateway, and puts it in force.
async fn fetch<P: Platform>(gw: Rc<Gateway<P>>, peer: IpAddr) {
    let progress = Progress::start();
    let known = gw.control.borrow().view.revision();
    let fetched = fetch_changes(&gw, peer, known, &progress).await;
    record_fetch(&gw, &progress, &fetched);
    let end = match fetched {
        Ok((changes, revision)) => {
            tracing::info!(target: "records", %peer, revision = StoreEra::revision(revision),
                era = StoreEra::of(revision).0, known = StoreEra::revision(known),
                bytes = progress.bytes(), connected_ms = progress.connected_ms(),
                answered_ms = progress.answered_ms(), took_ms = progress.elapsed_ms(),
                "fetched records from a peer");
            store_reader::apply(&gw, changes, false);
            FetchEnd::Applied
        }
        Err(err) => {
            let end = err.end();
            if end != FetchEnd::Busy {
                tracing::warn!(target: "records", %peer, %err, known = StoreEra::revision(known),
                    bytes = progress.bytes(), connected_ms = progress.connected_ms(),
                    answered_ms = progress.answered_ms(), took_ms = progress.elapsed_ms(),
                    "fetching records from a peer failed");
            }
            end
        }
    };
    end_fetch(&gw, peer, end);
}

/// Fetches what a peer has later than `known` into the view. Returns the changes to put in force, and the
/// peer's revision.
async fn fetch_changes<P: Platform>(
    gw: &Gateway<P>,
    peer: IpAddr,
    known: u64,
    progress: &Progress,
) -> Result<(Vec<StoreChange>, u64), FetchError> {
    let (has_patches, needs_values) = {
        let control = gw.control.borrow();
        let has_patches = control.peers.reads_notices(peer) || control.fan_out.has_offered(peer);
        (has_patches, control.fan_out.asks_for_values(peer))
    };
    let values = if needs_values { VALUES } else { "" };
    let bytes = match has_patches {
        true => get(gw, peer, &format!("{CHANGES_PATH}?{SINCE}{known}{values}"), progress).await?,
        false => get(gw, peer, &format!("{RECORDS_PATH}?{SINCE}{known}"), progress).await?,
    };
    let now = gw.clock.now();
    if !has_patches {
        let delta = StoreDelta::from_bytes(&bytes)?;
        let mut control = gw.control.borrow_mut();
        let revision = later(delta.revision, known)?;
        return Ok((control.view.apply_peer(delta, now), revision));
    }
    let update = update_codec::decode(&bytes)?;
    let revision = later(update.revision, known)?;
    let may_keep = !needs_values && update.grace_ms == 0 && update.deferred.is_empty();
    let mut control = gw.control.borrow_mut();
    let changes = control.view.apply_update(update, now)?;
    if may_keep && control.view.revision() == revision {
        let content = AnswerContent { since: known, revision, kept: control.view.kept_values() };
        gw.record_answers.keep(content, &bytes);
    }
    Ok((changes, revision))
}

fn later(revision: u64, known: u64) -> Result<u64, FetchError> {
    if revision > known { Ok(revision) } else { Err(FetchError::NothingLater) }
}

async fn get<P: Platform>(
    gw: &Gateway<P>,
    peer: IpAddr,
    path: &str,
    progress: &Progress,
) -> Result<Bytes, GetError> {
    let stream = http::connect(gw.peer_address(peer), CONNECT_TIMEOUT).await?;
    progress.record_connected();
    let (mut sender, driver) = http::client_handshake(stream).await?;
    let _driver = AbortOnDrop(driver);
    let page = transfer::get_over(&mut sender, path, &FETCH_LIMITS, |bytes| {
        progress.record_bytes(bytes);
        let now = gw.clock.now();
        gw.control.borrow_mut().fan_out.record_fetch_progress(peer, now);
    });
    Ok(page.await?.body)
}

fn record_fetch<P: Platform, T>(
    gw: &Gateway<P>,
    progress: &Progress,
    fetched: &Result<T, FetchError>,
) {
    let result = match fetched {
        Ok(_) => "ok",
        Err(err) if err.end() == FetchEnd::Busy => "busy",
        Err(_) => "failed",
    };
    let metrics = &gw.metrics.records;
    metrics.fetches.with_label_values(&[result]).inc();
    metrics.bytes.with_label_values(&["received"]).inc_by(progress.bytes() as u64);
    let seconds = progress.elapsed_ms() as f64 / 1_000.0;
    metrics.fetch_seconds.with_label_values(&[result]).observe(seconds);
}

/// Fetches the routes of a peer that has later ones, until the process ends. Gateways keep routes that a store
/// has lost by coming back from an older copy, until they are written again.
pub(crate) async fn follow_routes<P: Platform>(gw: Rc<Gateway<P>>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => {}
            () = gw.routes_ahead.notified() => {}
        }
        adopt_routes(&gw).await;
    }
}

async fn adopt_routes<P: Platform>(gw: &Rc<Gateway<P>>) {
    let (own, peer) = {
        let mut control = gw.control.borrow_mut();
        // Before the era of the store's first restoration, positions tell who is ahead.
        if StoreEra::of(control.view.revision()) == StoreEra::default() {
            return;
        }
        let own =
            RecordsVersion { position: control.view.revision(), routes: control.routes_version() };
        let draw = control.draw();
        let Some(peer) = control.peers.ahead_in_routes(own, draw, gw.clock.now()) else { return };
        (own.routes, peer)
    };
    let progress = Progress::start();
    let fetched = fetch_all(gw, peer, &progress).await;
    record_fetch(gw, &progress, &fetched);
    match fetched {
        Ok(records) => {
            if gw.control.borrow_mut().adopt_routes(&gw.platform, records) {
                let version = gw.control.borrow().routes_version();
                tracing::info!(target: "records", %peer, own, version, "adopted a peer's routes");
                gw.digest_due.notify_one();
            }
        }
        Err(err) => {
            tracing::warn!(target: "records", %peer, %err, "fetching routes from a peer failed");
            gw.control.borrow_mut().peers.record_fetch_failed(peer, gw.clock.now());
        }
    }
}

/// Fetches all records of a peer.
async fn fetch_all<P: Platform>(
    gw: &Gateway<P>,
    peer: IpAddr,
    progress: &Progress,
) -> Result<Vec<StoreRecord>, FetchError> {
    if !gw.control.borrow().peers.reads_notices(peer) {
        let bytes = get(gw, peer, &format!("{RECORDS_PATH}?{SINCE}0"), progress).await?;
        return Ok(StoreDelta::from_bytes(&bytes)?.records);
    }
    let bytes = get(gw, peer, &format!("{CHANGES_PATH}?{SINCE}0{VALUES}"), progress).await?;
    let StoreUpdate { records, .. } = update_codec::decode(&bytes)?;
    let record = |RecordUpdate { key, revision, content }| {
        let value = match content {
            RecordContent::Written(value) => Some(value),
            RecordContent::Deleted | RecordContent::Patched(_) => None,
        };
        StoreRecord { key, revision, value }
    };
    Ok(records.into_iter().map(record).collect())
}
