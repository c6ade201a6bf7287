//! Reads the store's history to find out what began a stream that neither gateways nor holders remember.

use std::sync::Arc;
use std::time::Duration;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, HistoryChange, HistoryPart, HistorySearch, HistoryValue, StoreEra, StoreRecord,
    StreamOrigin, Undetermined, VersionHistory,
};
use tokio::sync::Mutex;

use crate::gateway::Gateway;
use crate::plan::Plan;
use crate::platform::{DecodedRecord, Platform, RecordPage, RecordSubject};
use crate::store_reader::{self, StoreConnection, StoreError, WatchCall};

/// Minimum interval between two reads, in milliseconds. Streams that are taken up meanwhile share one.
const READ_INTERVAL_MS: u64 = 200;
/// Timeout for a read. A caller gives up a stream without events after about 2 s.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that the store may wait for a change, in milliseconds.
const WAIT_MS: u64 = 1;
/// Timeout for the beginning of an answer of the store, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// Maximum size of an answer of the store, in bytes. The smallest VM has 160 MB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The store's history as far as it was read, for all streams of unknown origin.
#[derive(Debug, Default)]
pub(crate) struct HistoryReader {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    history: VersionHistory,
    /// Start of the last read.
    started_at: Option<MonoMs>,
    /// Start of the last read that succeeded.
    read_at: Option<MonoMs>,
    /// End of the last read, if it failed.
    failed_at: Option<MonoMs>,
}

impl HistoryReader {
    /// Returns what began a stream of unknown origin that a request takes up, by the records that the store held
    /// from before the stream until after the request's arrival. A gateway that is cut off from the store thus
    /// concludes nothing.
    pub(crate) async fn find_origin<P: Platform>(
        &self,
        gw: &Gateway<P>,
        plan: &Plan,
    ) -> Result<Arc<StreamOrigin>, Undetermined> {
        if plan.route.services.len() != 1 {
            return Err(Undetermined::Origins(plan.route.services.len()));
        }
        let timeout_ms = plan.route.timeout_ms.max(plan.head.deadline_ms.unwrap_or(0));
        let needed_ms = VersionHistory::needed_ms(timeout_ms);
        let asked_at = gw.clock.now();
        let mut state = self.state.lock().await;
        if state.failed_at.is_some_and(|it| it >= asked_at) {
            return Err(Undetermined::Unread);
        }
        if state.read_at.is_none_or(|it| it <= asked_at) {
            if let Some(last) = state.started_at {
                let next = gw.clock.instant(last.plus_ms(READ_INTERVAL_MS));
                tokio::time::sleep_until(next.into()).await;
            }
            let started_at = gw.clock.now();
            state.started_at = Some(started_at);
            let read = tokio::time::timeout(READ_TIMEOUT, read(gw, &mut state.history, needed_ms));
            let result = match read.await {
                Ok(result) => result.map_err(|err| err.to_string()),
                Err(_) => Err("timed out".to_owned()),
            };
            if let Err(err) = result {
                state.failed_at = Some(gw.clock.now());
                log_failure(gw, &err);
                return Err(Undetermined::Unread);
            }
            state.read_at = Some(started_at);
        }
        state.history.only_origin(&plan.service, needed_ms, gw.clock.now())
    }
}

fn log_failure<P: Platform>(gw: &Gateway<P>, err: &str) {
    if let Some(suppressed) = gw.log_limiter.admit("history", gw.clock.now()) {
        tracing::warn!(target: "store", err, suppressed, "reading the store's history failed");
    }
}

/// Brings a history up to the store's present state. If nothing is known, reads back until it covers `needed_ms` and
/// what the other routes need, or as far as the store has it.
async fn read<P: Platform>(
    gw: &Gateway<P>,
    history: &mut VersionHistory,
    needed_ms: u64,
) -> Result<(), StoreError> {
    let mut connection = store_reader::connect(gw).await?;
    let view = View::of(gw);
    let latest = store_reader::read_position(gw, &mut connection, view.position).await?;
    if let Some(position) = history.position() {
        match read_part(gw, &mut connection, position, latest).await {
            Ok(part) => {
                history.record_changes(&part, gw.clock.now());
                return Ok(());
            }
            Err(StoreError::HistoryGone | StoreError::Restored) => history.clear(),
            Err(err) => return Err(err),
        }
    }
    let longest_ms = gw.control.borrow().routes.as_ref().map_or(0, |it| it.max_timeout_ms());
    let needed_ms = VersionHistory::needed_ms(longest_ms).max(needed_ms);
    let (era, revision) = (StoreEra::of(view.position), StoreEra::revision(view.position));
    let (endpoints, heartbeat_ms) = (view.endpoints.len(), gw.settings.heartbeat_ms);
    let mut search = HistorySearch::new(revision, endpoints, needed_ms, heartbeat_ms);
    while let Some(after) = search.next_revision() {
        match read_part(gw, &mut connection, era.position(after), latest).await {
            Ok(part) => {
                view.record_part(gw, history, &part);
                if history.covered_ms(gw.clock.now()) >= needed_ms {
                    return Ok(());
                }
                search.record_short();
            }
            Err(StoreError::HistoryGone) => search.record_gone(),
            // The store's first revisions may have no changes.
            Err(StoreError::Incomplete(_)) if after > 0 => search.record_short(),
            Err(err) => return Err(err),
        }
    }
    if history.position().is_none() {
        // Streams that begin from now on can be determined later.
        let part = read_part(gw, &mut connection, view.position, latest).await?;
        view.record_part(gw, history, &part);
    }
    Ok(())
}

/// The endpoints that this gateway knows, and the position of the store up to which it has every change.
#[derive(Debug)]
struct View {
    position: u64,
    endpoints: Vec<Arc<Endpoint>>,
}

impl View {
    fn of<P: Platform>(gw: &Gateway<P>) -> Self {
        let control = gw.control.borrow();
        let endpoints = control.directory.iter().cloned().collect();
        Self { position: control.view.revision(), endpoints }
    }

    /// Records a part of the history that begins before this view.
    fn record_part<P: Platform>(
        &self,
        gw: &Gateway<P>,
        history: &mut VersionHistory,
        part: &HistoryPart,
    ) {
        let now = gw.clock.now();
        let endpoints = self.endpoints.iter().map(|it| &**it);
        history.record_part(part, endpoints, gw.settings.heartbeat_ms, now);
        tracing::info!(target: "store", changes = part.changes.len(), is_whole = part.is_whole,
            covered_ms = history.covered_ms(now), "read the store's history");
    }
}

/// Reads the changes after a position, up to `latest` at least.
async fn read_part<P: Platform>(
    gw: &Gateway<P>,
    connection: &mut StoreConnection,
    after: u64,
    latest: u64,
) -> Result<HistoryPart, StoreError> {
    let (wait_ms, limit_ms, max_bytes) = (WAIT_MS, ANSWER_TIMEOUT_MS, MAX_ANSWER_BYTES);
    let call = WatchCall { after, wait_ms, limit_ms, max_bytes };
    let page = store_reader::watch(gw, connection, &call).await;
    store_reader::record_call(gw, "history", &page);
    let page = page?;
    let is_whole = StoreEra::revision(after) == 0;
    let before = match page.records.first() {
        Some(first) if is_whole => first.revision.saturating_sub(1),
        _ => after,
    };
    // Each revision is one change. While the store drops its history, watches may leave changes out.
    let changes = StoreEra::revision(page.as_of).saturating_sub(StoreEra::revision(before));
    if page.as_of < latest || (page.items as u64) < changes {
        return Err(StoreError::Incomplete(page.as_of.max(latest)));
    }
    Ok(HistoryPart { position: page.as_of, is_whole, changes: changes_of(gw, page) })
}

/// Returns the changes that concern endpoints and routes.
fn changes_of<P: Platform>(gw: &Gateway<P>, page: RecordPage) -> Vec<HistoryChange> {
    let change = |record: StoreRecord| {
        let is_creation = page.created.binary_search(&record.revision).is_ok();
        let key = match gw.platform.subject(&record.key) {
            RecordSubject::Endpoint(id) => id,
            RecordSubject::Routes => {
                let (key, value) = (record.key, HistoryValue::Routes);
                return Some(HistoryChange { key, value, is_creation });
            }
            RecordSubject::EvacuatedZone(_) | RecordSubject::Other => return None,
        };
        let decoded = record.value.map(|it| gw.platform.decode(&record.key, &it));
        let value = match decoded {
            Some(Ok(DecodedRecord::Endpoint(it))) => HistoryValue::Endpoint(it),
            _ => HistoryValue::Nothing,
        };
        Some(HistoryChange { key, value, is_creation })
    };
    page.records.into_iter().filter_map(change).collect()
}
