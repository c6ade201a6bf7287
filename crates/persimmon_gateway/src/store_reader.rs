//! Lists and watches the platform's records.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::client::conn::http1::SendRequest;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{EndpointState, PeerTable, StoreChange, StoreEra, StoreRecord};
use thiserror::Error;

use crate::body::AbortOnDrop;
use crate::control::{Applied, Control};
use crate::gateway::Gateway;
use crate::http::{self, GetError, Page};
use crate::notices;
use crate::platform::{DecodeError, Platform, RecordPage};
use crate::store_fallback::{self, AfterRead};
use crate::transfer::{self, Limits};
use persimmon_process::ReadError;

/// Time that one watch waits for a change, in milliseconds. Its answer shows that the gateway
/// reaches the store, so it must arrive well before the peers assume that it doesn't.
const WATCH_WAIT_MS: u64 = 600;
/// Interval at which a gateway that doesn't watch the store checks whether it should, in
/// milliseconds.
const WATCH_CHECK_INTERVAL_MS: u64 = 100;
/// Timeout for the beginning of an answer of the store, and for each further piece, in milliseconds; a
/// watch's own wait is added to the first.
const ANSWER_TIMEOUT_MS: u64 = 2_000;
/// Time from the beginning of an answer for which its progress counts as contact with the store, in
/// milliseconds.
const MAX_PROGRESS_MS: u64 = 2_000;
/// Timeout for opening a connection to the store, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time that a watch waits for a change, in milliseconds, and timeout for its answer, where it has to show soon
/// whether this gateway reaches the store: the first one that takes over from gateways that are cut off from
/// the store, and one that reads what peers don't send.
pub(crate) const SHORT_WATCH_WAIT_MS: u64 = 1;
pub(crate) const SHORT_WATCH_TIMEOUT_MS: u64 = CONNECT_TIMEOUT_MS;
/// Delay before the first retry of a failed call, in milliseconds; each further failure doubles it
/// up to [`MAX_RETRY_DELAY_MS`].
const MIN_RETRY_DELAY_MS: u64 = 100;
/// Maximum delay between retries, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 1_000;
/// Minimum duration of an outage in which records may have expired, in milliseconds.
const MIN_OUTAGE_MS: u64 = 1_000;
/// Number of pages from which a list counts as large. When a large fleet starts at once, the
/// platform's rate limit doesn't allow every gateway a large list. A few gateways list at full
/// speed, and the others fetch the records from them.
const LARGE_LIST_PAGES: usize = 4;
/// Number of gateways of which one, on average, lists at full speed.
const FAST_LISTER_RATIO: u64 = 16;
/// Pause of the other gateways before each further page, in milliseconds.
const LIST_PAUSE_MS: u64 = 200;
/// Key after which a page has no items, or few.
const AFTER_ALL_KEYS: &str = "~";
/// Maximum size of an answer of the store, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 48 * 1024 * 1024;
/// Maximum number of pages in one list, in case the store never reports the last page.
const MAX_PAGES: usize = 1_000;

/// The reason why a call to the store failed.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    #[error("{0}")]
    Get(GetError),
    #[error("the store no longer has the history since the last known revision; list again")]
    HistoryGone,
    #[error("the store has come back from an older copy; list again")]
    Restored,
    #[error("the answer is older than what is known: era {0}")]
    EarlierEra(u64),
    #[error("a watch left out changes up to position {0}")]
    Incomplete(u64),
    #[error("{0}")]
    Decode(#[from] DecodeError),
}

impl StoreError {
    /// Reports whether the store answered, but not with what can be read.
    fn is_unreadable(&self) -> bool {
        let is_large =
            |err: &ReadError| matches!(err, ReadError::TooLong | ReadError::TooManyPieces);
        match self {
            Self::Decode(_) => true,
            Self::Get(GetError::Body(err)) => is_large(err),
            _ => false,
        }
    }
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
pub(crate) struct StoreConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
}

/// Keeps the records up to date until the process ends.
pub(crate) async fn read_store<P: Platform>(gw: Rc<Gateway<P>>) {
    let mut reader = Reader {
        retry_delay_ms: MIN_RETRY_DELAY_MS,
        failing_since: None,
        takeover: Takeover::No,
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
            Err(StoreError::Restored) => {
                tracing::warn!(target: "store", "store has come back from an older copy; listing again");
                reader.is_synced = false;
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(target: "store", "store has dropped the history; listing again");
                reader.is_synced = false;
            }
            Err(err) => {
                // The same changes would be as unreadable in the next answer; a list has no history.
                if reader.is_synced && err.is_unreadable() {
                    tracing::warn!(target: "store", %err, "changes are unreadable; listing again");
                    reader.is_synced = false;
                }
                back_off(&gw, &mut reader, &err).await;
            }
        }
    }
}

/// Whether this gateway watches the store in place of others that were cut off from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Takeover {
    /// It doesn't, or it has reached the store since.
    No,
    /// It hasn't called the store yet.
    Due,
    /// Its first call has begun, and no call has succeeded.
    Tried,
}

/// State of the reader that survives a reconnection to the store.
struct Reader {
    retry_delay_ms: u64,
    /// Time since which calls have been failing.
    failing_since: Option<MonoMs>,
    takeover: Takeover,
    /// Whether the view contains every change up to its revision.
    is_synced: bool,
    /// Revision up to which this reader has received every change.
    revision: u64,
}

/// Waits until this gateway should watch the store. Only a few gateways do so at a time.
async fn wait_for_turn<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader) {
    {
        let mut control = gw.control.borrow_mut();
        control.store_contact = None;
        control.is_watching = false;
    }
    tracing::info!(target: "store", "other gateways watch the store");
    loop {
        tokio::time::sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS)).await;
        let now = gw.clock.now();
        if begin_watch_if_due(gw, reader, now) {
            return;
        }
        if store_fallback::read_if_due(gw).await == AfterRead::Lists {
            reader.is_synced = false;
            // Removals in the list are deferred if the store was away.
            reader.takeover = Takeover::Tried;
            return;
        }
    }
}

/// Begins to watch the store if this gateway should, and returns whether it has.
fn begin_watch_if_due<P: Platform>(gw: &Gateway<P>, reader: &mut Reader, now: MonoMs) -> bool {
    let mut control = gw.control.borrow_mut();
    if !control.should_watch(now) {
        return false;
    }
    control.is_watching = true;
    let is_store_lost = control.peers.is_store_lost(now);
    if is_store_lost {
        reader.takeover = Takeover::Due;
    }
    tracing::info!(target: "store", is_store_lost, "watching the store");
    // Peers have sent every change up to the view's revision.
    reader.is_synced = control.view.revision() > 0;
    true
}

async fn back_off<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader, err: &StoreError) {
    if reader.failing_since.is_none() {
        reader.retry_delay_ms = MIN_RETRY_DELAY_MS;
        reader.failing_since = Some(gw.clock.now());
        // A watcher that never got an answer also counts as unable to reach the store.
        let mut control = gw.control.borrow_mut();
        if control.store_contact.is_none() {
            control.store_contact = Some(MonoMs(0));
            gw.digest_due.notify_one();
        }
        drop(control);
        tracing::warn!(target: "store", %err, "a store call failed; retrying");
    }
    tokio::time::sleep(Duration::from_millis(reader.retry_delay_ms)).await;
    reader.retry_delay_ms = (reader.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
}

/// Lists and watches over one connection until it fails, or until this gateway should no longer
/// watch the store.
async fn session<P: Platform>(gw: &Rc<Gateway<P>>, reader: &mut Reader) -> Result<(), StoreError> {
    if reader.is_synced && !gw.control.borrow_mut().should_watch(gw.clock.now()) {
        return Ok(());
    }
    let mut connection = connect(gw).await?;
    if !reader.is_synced {
        let listed = list(gw, &mut connection, reader).await;
        record_call(gw, "list", &listed);
        reader.revision = listed?;
        reader.is_synced = true;
    }
    while gw.control.borrow_mut().should_watch(gw.clock.now()) {
        let known = reader.revision.max(gw.control.borrow().view.revision());
        let (wait_ms, limit_ms) = match reader.takeover {
            Takeover::Due => (SHORT_WATCH_WAIT_MS, SHORT_WATCH_TIMEOUT_MS),
            _ => (WATCH_WAIT_MS, WATCH_WAIT_MS + ANSWER_TIMEOUT_MS),
        };
        if reader.takeover == Takeover::Due {
            reader.takeover = Takeover::Tried;
        }
        let max_bytes = MAX_ANSWER_BYTES;
        let call = WatchCall { after: known, wait_ms, limit_ms, max_bytes };
        let watched = watch(gw, &mut connection, &call).await;
        record_call(gw, "watch", &watched);
        let page = watched?;
        // Whether removals are deferred depends on how long the store couldn't be reached.
        record_success(gw, reader);
        reader.revision = known.max(page.as_of);
        apply_page(gw, page);
    }
    Ok(())
}

/// Puts the changes of a watch in force.
pub(crate) fn apply_page<P: Platform>(gw: &Rc<Gateway<P>>, page: RecordPage) {
    let now = gw.clock.now();
    let changes = {
        let view = &mut gw.control.borrow_mut().view;
        page.records.into_iter().flat_map(|it| view.apply(it, now)).collect()
    };
    apply(gw, changes, true);
    record_confirmed(gw, now);
}

/// Opens a connection to the store.
pub(crate) async fn connect<P: Platform>(gw: &Gateway<P>) -> Result<StoreConnection, StoreError> {
    let own = gw.settings.peers.ip();
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = http::connect_from(own, gw.settings.store, limit).await;
    let stream = stream.map_err(GetError::Io)?;
    let (sender, driver) = http::client_handshake(stream).await.map_err(GetError::Io)?;
    Ok(StoreConnection { sender, _driver: AbortOnDrop(driver) })
}

pub(crate) fn record_call<P: Platform, T>(
    gw: &Gateway<P>,
    kind: &str,
    result: &Result<T, StoreError>,
) {
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gw.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
}

/// Records that the store answered. After an outage, the view defers removals, since endpoints need
/// time to register again.
fn record_success<P: Platform>(gw: &Gateway<P>, reader: &mut Reader) {
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    let last_contact = control.peers.store_lost_since(now);
    control.peers.record_store_contact(now);
    control.store_contact = Some(now);
    let failing_since = reader.failing_since.take();
    let takeover = std::mem::replace(&mut reader.takeover, Takeover::No);
    if failing_since.is_none() && takeover == Takeover::No {
        return;
    }
    // Another gateway may have reached the store meanwhile; a call may have waited before it failed.
    let lost_since = last_contact.or(failing_since).unwrap_or_default();
    let outage_ms = now.ms_since(lost_since);
    let failing_ms = failing_since.map(|at| now.ms_since(at));
    tracing::info!(target: "store", outage_ms, failing_ms, ?takeover, "store calls succeed again");
    defer_removals(&mut control, lost_since, now);
}

/// Defers removals if the store has answered no gateway of the fleet since `lost_since`.
pub(crate) fn defer_removals(control: &mut Control, lost_since: MonoMs, now: MonoMs) {
    if now.ms_since(lost_since) >= MIN_OUTAGE_MS {
        control.view.record_reconnect(lost_since, now);
    }
}

/// Records that the store had no later changes than this gateway at `at`.
fn record_confirmed<P: Platform>(gw: &Gateway<P>, at: MonoMs) {
    let mut control = gw.control.borrow_mut();
    let own = control.view.revision();
    control.records_age.record_watcher(at);
    control.records_age.record_confirmed(own, at, own);
}

/// Lists all records and applies them. Returns the revision from which to watch.
async fn list<P: Platform>(
    gw: &Rc<Gateway<P>>,
    connection: &mut StoreConnection,
    reader: &mut Reader,
) -> Result<u64, StoreError> {
    let mut records: Vec<StoreRecord> = Vec::new();
    let mut as_of = None;
    let known = gw.control.borrow().view.revision();
    // Few gateways list again: those that watch the store, and one whose VM was suspended.
    let is_fast = known > 0 || gw.control.borrow_mut().draw().is_multiple_of(FAST_LISTER_RATIO);
    for page_number in 0..MAX_PAGES {
        if page_number >= LARGE_LIST_PAGES {
            if !is_fast {
                tokio::time::sleep(Duration::from_millis(LIST_PAUSE_MS)).await;
            }
            let control = gw.control.borrow();
            if !reader.is_synced && has_list_of_peers(&control, known, as_of) {
                return Ok(control.view.revision());
            }
        }
        let after = records.last().map(|it| &*it.key);
        let path = gw.platform.list_path(after);
        let body =
            match call(gw, connection, &path, limits(ANSWER_TIMEOUT_MS, MAX_ANSWER_BYTES)).await {
                // The pages read so far stay valid: the watch returns changes made since.
                Err(StoreError::Get(GetError::Refused(StatusCode::TOO_MANY_REQUESTS)))
                    if !records.is_empty() =>
                {
                    tokio::time::sleep(Duration::from_millis(LIST_PAUSE_MS)).await;
                    continue;
                }
                body => body?,
            };
        let page = read_page(gw, &body, as_of.unwrap_or(known), P::read_page)?;
        let as_of_era = as_of.map(StoreEra::of);
        if as_of_era.is_some_and(|era| era < StoreEra::of(page.as_of)) {
            return Err(StoreError::Restored);
        }
        // The pages aren't one snapshot; the watch returns all changes after the first page.
        as_of.get_or_insert(page.as_of);
        let is_empty = page.records.is_empty();
        if is_empty
            && page.has_more
            && let Some(err) = page.unreadable.into_iter().next()
        {
            // Without a key, the next page can't be requested.
            return Err(err.into());
        }
        records.extend(page.records);
        if !page.has_more || is_empty {
            break;
        }
    }
    record_success(gw, reader);
    let as_of = as_of.unwrap_or(0);
    let now = gw.clock.now();
    let mut control = gw.control.borrow_mut();
    let changes = control.view.apply_list(records, as_of, now);
    control.startup.record_list(StoreEra::of(as_of) > StoreEra::default(), now);
    let own = control.view.revision();
    control.store_fallback.record_read(own);
    drop(control);
    // All gateways of a fleet that starts list the records at once.
    apply(gw, changes, known > 0);
    record_confirmed(gw, now);
    // Peers may have sent the same records before.
    gw.configured.notify_waiters();
    Ok(as_of)
}

/// Reports whether peers have sent all records since this gateway, then at position `known`, began a list whose
/// first page was read at `as_of`. One that lists again since the store has dropped the history could route all
/// the while, by records whose history the store doesn't have.
fn has_list_of_peers(control: &Control, known: u64, as_of: Option<u64>) -> bool {
    let is_recent = known == 0 || as_of.is_some_and(|it| control.view.revision() >= it);
    is_recent && control.can_route()
}

/// Returns the store's current position.
pub(crate) async fn read_position<P: Platform>(
    gw: &Gateway<P>,
    connection: &mut StoreConnection,
    known: u64,
) -> Result<u64, StoreError> {
    let path = gw.platform.list_path(Some(AFTER_ALL_KEYS));
    let body = call(gw, connection, &path, limits(ANSWER_TIMEOUT_MS, MAX_ANSWER_BYTES)).await?;
    Ok(read_page(gw, &body, known, P::read_page)?.as_of)
}

/// A call that waits for changes.
#[derive(Debug)]
pub(crate) struct WatchCall {
    /// Position after which to return changes.
    pub(crate) after: u64,
    /// Maximum time that the store waits for a change, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Timeout for the beginning of the answer, in milliseconds.
    pub(crate) limit_ms: u64,
    /// Maximum size of the answer, in bytes.
    pub(crate) max_bytes: usize,
}

/// Waits for changes.
pub(crate) async fn watch<P: Platform>(
    gw: &Gateway<P>,
    connection: &mut StoreConnection,
    watch: &WatchCall,
) -> Result<RecordPage, StoreError> {
    let path = gw.platform.watch_path(StoreEra::revision(watch.after), watch.wait_ms);
    let body = call(gw, connection, &path, limits(watch.limit_ms, watch.max_bytes)).await?;
    let page = read_page(gw, &body, watch.after, P::read_changes)?;
    if StoreEra::of(page.as_of) > StoreEra::of(watch.after) {
        return Err(StoreError::Restored);
    }
    Ok(page)
}

/// Decodes a page of the store, with positions for its revisions. `known` is a position that the gateway
/// has.
fn read_page<P: Platform>(
    gw: &Gateway<P>,
    page: &Page,
    known: u64,
    decode: fn(&P, &[u8]) -> Result<RecordPage, DecodeError>,
) -> Result<RecordPage, StoreError> {
    let era = StoreEra(gw.platform.store_era(&page.headers)?.unwrap_or(0));
    // A late answer, or one of a store that hasn't come back yet.
    if era < StoreEra::of(known) {
        return Err(StoreError::EarlierEra(era.0));
    }
    let mut page = decode(&gw.platform, &page.body)?;
    for err in &page.unreadable {
        if let Some(suppressed) = gw.log_limiter.admit("items", gw.clock.now()) {
            tracing::warn!(target: "store", %err, suppressed, "invalid item; the others are used");
        }
    }
    page.as_of = era.position(page.as_of);
    for record in &mut page.records {
        record.revision = era.position(record.revision);
    }
    page.created.iter_mut().for_each(|it| *it = era.position(*it));
    Ok(page)
}

/// Returns the limits of an answer of up to `bytes` that begins within `limit_ms`. However long it is, it may go on
/// as long as bytes come.
fn limits(limit_ms: u64, bytes: usize) -> Limits {
    let piece = Duration::from_millis(ANSWER_TIMEOUT_MS);
    Limits { bytes, head: Duration::from_millis(limit_ms), piece }
}

async fn call<P: Platform>(
    gw: &Gateway<P>,
    connection: &mut StoreConnection,
    path: &str,
    limits: Limits,
) -> Result<Page, StoreError> {
    let begun_at = Cell::new(None);
    let record_progress = |_| {
        // An answer that takes long on a narrow link is no loss of the store; one that trickles is.
        let now = gw.clock.now();
        let begun = begun_at.get().unwrap_or(now);
        begun_at.set(Some(begun));
        let is_moving = now.ms_since(begun) <= MAX_PROGRESS_MS;
        let mut control = gw.control.borrow_mut();
        // The first complete answer after an outage tells how long it was.
        let is_reached = |at: MonoMs| now.ms_since(at) <= PeerTable::STORE_LOST_MS;
        if is_moving && control.store_contact.is_some_and(is_reached) {
            control.store_contact = Some(now);
            control.peers.record_store_contact(now);
        }
    };
    Ok(transfer::get_over(&mut connection.sender, path, &limits, record_progress).await?)
}

/// Applies removals that were deferred after an outage and are now due.
pub(crate) fn apply_due<P: Platform>(gw: &Rc<Gateway<P>>) {
    let due = gw.control.borrow_mut().take_due_removals(&gw.platform, gw.clock.now());
    apply(gw, due, false);
}

/// Passes changes of the view on, puts them in force and logs their effects. `is_from_store` says whether the
/// store sent them to this gateway.
pub(crate) fn apply<P: Platform>(
    gw: &Rc<Gateway<P>>,
    changes: Vec<StoreChange>,
    is_from_store: bool,
) {
    // Others needn't wait until the change is in force here.
    notices::spread(gw, is_from_store);
    let mut control = gw.control.borrow_mut();
    let position = control.view.revision();
    control.records_age.record_position(position);
    if changes.is_empty() {
        return;
    }
    if control.peers.announces_changes(control.is_watching, gw.clock.now()) {
        gw.digest_due.notify_one();
    }
    let started = Instant::now();
    let applied = control.apply(&gw.platform, changes, gw.clock.now());
    let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let revision = StoreEra::revision(position);
    gw.metrics.store_era.set(i64::try_from(StoreEra::of(position).0).unwrap_or(i64::MAX));
    if control.can_route() {
        gw.configured.notify_waiters();
    }
    if let Some(routes) = &control.routes {
        gw.metrics.routes_version.set(i64::try_from(routes.version).unwrap_or(i64::MAX));
    }
    gw.metrics.endpoints.set(i64::try_from(control.directory.len()).unwrap_or(i64::MAX));
    drop(control);
    gw.log_newly_refused();
    for it in applied {
        log_applied(gw, &it, revision, took_us);
    }
}

fn log_applied<P: Platform>(gw: &Gateway<P>, applied: &Applied, revision: u64, took_us: u64) {
    let Some(suppressed) = gw.log_limiter.admit("records", gw.clock.now()) else { return };
    match applied {
        Applied::Routes(version) => {
            tracing::info!(target: "records", version, revision, took_us, suppressed,
                "routes in force");
        }
        Applied::StaleRoutes(version) => {
            tracing::warn!(target: "records", version, revision, suppressed,
                "routes ignored: their version is older than the one in force");
        }
        Applied::Endpoint(endpoint) => {
            let is_draining = endpoint.state == EndpointState::Draining;
            tracing::info!(target: "records", endpoint = &*endpoint.id, address = %endpoint.address,
                is_draining, revision, suppressed, "endpoint published");
        }
        Applied::OutdatedEndpoint(endpoint) => {
            let is_draining = endpoint.state == EndpointState::Draining;
            tracing::warn!(target: "records", endpoint = &*endpoint.id, is_draining, revision,
                suppressed, "endpoint's record ignored: it is older than the one in force");
        }
        Applied::EndpointRemoved(endpoint) => {
            tracing::info!(target: "records", endpoint = &*endpoint.id, revision, suppressed,
                "endpoint removed");
        }
        Applied::ZoneEvacuated(zone) => {
            tracing::info!(target: "records", zone = &**zone, revision, suppressed,
                "zone evacuated: its endpoints get no new requests");
        }
        Applied::ZoneTakenBack(zone) => {
            tracing::info!(target: "records", zone = &**zone, revision, suppressed,
                "zone taken back: its endpoints get requests again");
        }
        Applied::Unreadable(key, err) => {
            tracing::warn!(target: "records", key = &**key, %err, suppressed, "invalid record");
        }
    }
}
