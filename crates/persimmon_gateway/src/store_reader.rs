//! Reads and watches the platform's records.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::client::conn::http1::SendRequest;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{EndpointState, StoreChange, StoreRecord};
use thiserror::Error;

use crate::body::AbortOnDrop;
use crate::control::Applied;
use crate::gateway::Gateway;
use crate::http::{self, GetError};
use crate::platform::{DecodeError, Platform};

/// How long one watch waits for a change, in milliseconds. Its answer shows that the store is
/// reached, so it has to come well before others take the watcher for cut off.
const WATCH_WAIT_MS: u64 = 600;
/// Time between two looks whether this gateway watches the store, in milliseconds.
const WATCH_CHECK_INTERVAL_MS: u64 = 100;
/// Time that an answer may take beyond its wait, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;
/// Longest time that a connection to the store may take, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Pause before the first call after a failed one, in milliseconds; doubles up to the longest one.
const MIN_RETRY_DELAY_MS: u64 = 100;
const MAX_RETRY_DELAY_MS: u64 = 1_000;
/// Failing for so long counts as an outage in which records may have lapsed, in milliseconds.
const MIN_OUTAGE_MS: u64 = 1_000;
/// Pages from which a list counts as large. When a large fleet starts at once, the platform's rate
/// isn't enough for everyone's list: one gateway in a few lists at full speed, and the others take
/// the records from it.
const LARGE_LIST_PAGES: usize = 4;
const FAST_LISTER_RATIO: u64 = 16;
/// Pause of the other gateways before each further page, in milliseconds.
const LIST_PAUSE_MS: u64 = 200;
/// Largest answer of the store that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pages of one list at most; bounds a list that never ends.
const MAX_PAGES: usize = 1_000;

/// Why a call to the store failed.
#[derive(Debug, Error)]
enum StoreError {
    #[error("{0}")]
    Get(GetError),
    #[error("the history since the last known revision is gone")]
    HistoryGone,
    #[error("{0}")]
    Decode(#[from] DecodeError),
}

impl From<GetError> for StoreError {
    fn from(err: GetError) -> Self {
        match err {
            GetError::Refused(StatusCode::GONE) => Self::HistoryGone,
            err => Self::Get(err),
        }
    }
}

/// An open connection to the store.
struct StoreConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

/// Keeps the records up to date until the process ends.
pub(crate) async fn read_store<P: Platform>(gw: Rc<Gateway<P>>) {
    let mut reader = Reader {
        retry_delay_ms: MIN_RETRY_DELAY_MS,
        failing_since: None,
        is_synced: false,
        revision: 0,
    };
    loop {
        let result = tokio::select! {
            result = session(&gw, &mut reader) => result,
            () = gw.resync.notified() => {
                reader.is_synced = false;
                continue;
            }
        };
        match result {
            Ok(()) => wait_for_turn(&gw, &mut reader).await,
            Err(StoreError::HistoryGone) => {
                tracing::info!(target: "store", "history gone; listing again");
                reader.is_synced = false;
            }
            Err(err) => back_off(&gw, &mut reader, &err).await,
        }
    }
}

/// A reader of the store between two connections.
struct Reader {
    retry_delay_ms: u64,
    /// Since when no call succeeded.
    failing_since: Option<MonoMs>,
    /// Whether the view holds everything up to its revision.
    is_synced: bool,
    /// The revision up to which this reader has seen every change.
    revision: u64,
}

/// Waits until this gateway is one of those that watch the store.
async fn wait_for_turn<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader) {
    gw.control.borrow_mut().store_contact = None;
    tracing::info!(target: "store", "other gateways watch the store");
    loop {
        tokio::time::sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS)).await;
        let now = gw.clock.now();
        let mut control = gw.control.borrow_mut();
        if control.peers.should_watch(now) {
            let is_store_lost = control.peers.is_store_lost(now);
            if is_store_lost {
                // Records may have lapsed while the others didn't reach the store.
                control.view.record_reconnect(now);
            }
            tracing::info!(target: "store", is_store_lost, "watching the store");
            // Peers have told of everything up to the view's revision.
            reader.is_synced = control.view.revision() > 0;
            return;
        }
    }
}

async fn back_off<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader, err: &StoreError) {
    if reader.failing_since.is_none() {
        reader.retry_delay_ms = MIN_RETRY_DELAY_MS;
        reader.failing_since = Some(gw.clock.now());
        // A watcher that never got an answer is cut off as well.
        gw.control.borrow_mut().store_contact.get_or_insert(MonoMs(0));
        tracing::warn!(target: "store", %err, "store lost");
    }
    tokio::time::sleep(Duration::from_millis(reader.retry_delay_ms)).await;
    reader.retry_delay_ms = (reader.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
}

/// Uses one connection until it fails, or until others watch the store.
async fn session<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader) -> Result<(), StoreError> {
    if reader.is_synced && !gw.control.borrow().peers.should_watch(gw.clock.now()) {
        return Ok(());
    }
    let own = gw.settings.peers.ip();
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = http::connect_from(own, gw.settings.store, limit).await;
    let stream = stream.map_err(GetError::Io)?;
    let (sender, driver) = http::client_handshake(stream).await.map_err(GetError::Io)?;
    let mut connection = StoreConnection { sender, _driver: AbortOnDrop(driver) };
    if !reader.is_synced {
        let listed = list(gw, &mut connection, reader).await;
        record_call(gw, "list", &listed);
        reader.revision = listed?;
        reader.is_synced = true;
    }
    while gw.control.borrow().peers.should_watch(gw.clock.now()) {
        let known = reader.revision.max(gw.control.borrow().view.revision());
        let watched = watch(gw, &mut connection, known).await;
        record_call(gw, "watch", &watched);
        let (changes, as_of) = watched?;
        record_success(gw, reader);
        apply(gw, changes);
        reader.revision = known.max(as_of);
    }
    Ok(())
}

fn record_call<P: Platform, T>(gw: &Gateway<P>, kind: &str, result: &Result<T, StoreError>) {
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gw.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
}

/// The store answers. After an outage, records that are missing get time to return.
fn record_success<P: Platform>(gw: &Gateway<P>, reader: &mut Reader) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    control.store_contact = Some(now);
    let Some(since) = reader.failing_since.take() else { return };
    let outage_ms = now.ms_since(since);
    tracing::info!(target: "store", outage_ms, "store back");
    if outage_ms >= MIN_OUTAGE_MS {
        control.view.record_reconnect(now);
    }
}

/// Lists every record and applies the list. Returns the revision from which to watch.
async fn list<P: Platform>(
    gw: &Rc<Gateway<P>>,
    connection: &mut StoreConnection,
    reader: &mut Reader,
) -> Result<u64, StoreError> {
    let mut records: Vec<StoreRecord> = Vec::new();
    let mut as_of = None;
    let is_fast = gw.control.borrow_mut().draw().is_multiple_of(FAST_LISTER_RATIO);
    for page_number in 0..MAX_PAGES {
        if page_number >= LARGE_LIST_PAGES {
            if !is_fast {
                tokio::time::sleep(Duration::from_millis(LIST_PAUSE_MS)).await;
            }
            let control = gw.control.borrow();
            if !reader.is_synced && control.can_route() {
                // A peer has sent everything meanwhile.
                return Ok(control.view.revision());
            }
        }
        let after = records.last().map(|it| &*it.key);
        let path = gw.platform.list_path(after);
        let body = match call(connection, &path, ANSWER_TIMEOUT_MS).await {
            // What was listed so far still holds: the watch brings what changes meanwhile.
            Err(StoreError::Get(GetError::Refused(StatusCode::TOO_MANY_REQUESTS)))
                if !records.is_empty() =>
            {
                tokio::time::sleep(Duration::from_millis(LIST_PAUSE_MS)).await;
                continue;
            }
            body => body?,
        };
        let page = gw.platform.read_page(&body)?;
        // Pages aren't a snapshot: what changed after the first one is brought by the watch.
        as_of.get_or_insert(page.as_of);
        let is_empty = page.records.is_empty();
        records.extend(page.records);
        if !page.has_more || is_empty {
            break;
        }
    }
    record_success(gw, reader);
    let as_of = as_of.unwrap_or(0);
    let now = gw.clock.now();
    let changes = gw.control.borrow_mut().view.apply_list("", records, as_of, now);
    apply(gw, changes);
    Ok(as_of)
}

/// Waits for changes after a revision.
async fn watch<P: Platform>(
    gw: &Rc<Gateway<P>>,
    connection: &mut StoreConnection,
    revision: u64,
) -> Result<(Vec<StoreChange>, u64), StoreError> {
    let path = gw.platform.watch_path(revision, WATCH_WAIT_MS);
    let body = call(connection, &path, WATCH_WAIT_MS + ANSWER_TIMEOUT_MS).await?;
    let page = gw.platform.read_changes(&body)?;
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    let changes = page.records.into_iter().flat_map(|it| control.view.apply(it, now)).collect();
    Ok((changes, page.as_of))
}

async fn call(
    connection: &mut StoreConnection,
    path: &str,
    limit_ms: u64,
) -> Result<Bytes, StoreError> {
    let answered = http::get_over(&mut connection.sender, path, MAX_ANSWER_BYTES);
    let limit = Duration::from_millis(limit_ms);
    let answered = tokio::time::timeout(limit, answered).await;
    Ok(answered.map_err(|_| GetError::TimedOut)??)
}

/// Applies removals that were held back after an outage.
pub(crate) fn apply_due<P: Platform>(gw: &Rc<Gateway<P>>) {
    let due = gw.control.borrow_mut().view.expire(gw.clock.now());
    apply(gw, due);
}

/// Applies changes, and logs what they did.
pub(crate) fn apply<P: Platform>(gw: &Rc<Gateway<P>>, changes: Vec<StoreChange>) {
    if changes.is_empty() {
        return;
    }
    gw.digest_due.notify_one();
    let mut control = gw.control.borrow_mut();
    let applied = control.apply(&gw.platform, changes);
    let revision = control.view.revision();
    if control.can_route() {
        gw.configured.notify_waiters();
    }
    if let Some(routes) = &control.routes {
        gw.metrics.routes_version.set(i64::try_from(routes.version).unwrap_or(i64::MAX));
    }
    gw.metrics.endpoints.set(i64::try_from(control.directory.len()).unwrap_or(i64::MAX));
    drop(control);
    for it in applied {
        log_applied(gw, &it, revision);
    }
}

fn log_applied<P: Platform>(gw: &Gateway<P>, applied: &Applied, revision: u64) {
    let Some(suppressed) = gw.log_limiter.admit("records", gw.clock.now()) else { return };
    match applied {
        Applied::Routes(version) => {
            tracing::info!(target: "records", version, revision, suppressed, "routes in force");
        }
        Applied::StaleRoutes(version) => {
            tracing::warn!(target: "records", version, revision, suppressed, "older routes passed over");
        }
        Applied::Endpoint(endpoint) => {
            let is_draining = endpoint.state == EndpointState::Draining;
            tracing::info!(target: "records", endpoint = &*endpoint.id, address = %endpoint.address,
                is_draining, revision, suppressed, "endpoint published");
        }
        Applied::EndpointRemoved(endpoint) => {
            tracing::info!(target: "records", endpoint = &*endpoint.id, revision, suppressed,
                "endpoint gone");
        }
        Applied::Unreadable(key, err) => {
            tracing::warn!(target: "records", key = &**key, %err, suppressed, "record unreadable");
        }
    }
}
