//! One gateway's copy of the platform's records, built from lists, watches and peers.

mod updates;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::StoreEra;
use super::digest::take_section;
use super::patch_log::PatchLog;
use crate::MonoMs;

/// A record of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Position of the record's last change: the store's revision, with its era.
    pub revision: u64,
    /// Value of the record; none if it has been deleted.
    pub value: Option<Vec<u8>>,
}

/// A change for the gateway to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A written record.
    Written(StoreRecord),
    /// A record of a later era of the store that differs from the one that was known. The store may have
    /// come back from a copy that is older than what was known.
    Restored {
        /// The record as the store has it.
        record: StoreRecord,
        /// The record that was known.
        known: StoreRecord,
    },
    /// The key of a removed record.
    Removed(Arc<str>),
}

/// An update from one gateway to another that lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreDelta {
    /// Revision up to which the sender has every change.
    pub revision: u64,
    /// Whether `records` contains all existing records rather than only the changes.
    pub is_whole: bool,
    /// How long the sender continues to defer removals after an outage, in milliseconds.
    pub grace_ms: u64,
    /// Written records, and deleted records without a value.
    pub records: Vec<StoreRecord>,
    /// Keys of the removals that the sender defers; none from builds that don't name them. Encoded after
    /// the other fields, where builds that don't know it ignore it.
    #[serde(skip)]
    pub deferred: Option<Vec<Arc<str>>>,
}

impl StoreDelta {
    /// Encodes the update for a peer.
    ///
    /// # Errors
    ///
    /// The update can't be encoded.
    pub fn to_bytes(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self)?;
        bytes.extend(postcard::to_allocvec(&self.deferred)?);
        Ok(bytes)
    }

    /// Decodes an update, also one of a build that doesn't name the deferred removals.
    ///
    /// # Errors
    ///
    /// The bytes aren't an update.
    pub fn from_bytes(bytes: &[u8]) -> postcard::Result<Self> {
        let (delta, mut rest) = postcard::take_from_bytes::<Self>(bytes)?;
        Ok(Self { deferred: take_section(&mut rest)?, ..delta })
    }

    /// Reports whether the sender may defer the removal of this record.
    fn may_defer(&self, key: &Arc<str>) -> bool {
        self.deferred.as_ref().is_none_or(|it| it.contains(key))
    }
}

/// A removal that is held back after an outage.
#[derive(Debug, Clone, Copy)]
struct DeferredRemoval {
    /// Position of the deletion.
    revision: u64,
    since: MonoMs,
    due: MonoMs,
}

/// Merges records from the store and from peers; an older revision never replaces a newer one.
///
/// The records of endpoints expire while the store is unavailable, and are written again shortly
/// after it recovers. Removals are therefore deferred until [`Self::RECONNECT_GRACE_MS`] after an
/// outage, unless they come before a record can have expired in it: then the endpoint has left. Revisions are positions that include the store's era ([`StoreEra`]), so that a store that comes
/// back from an older copy is newer than what was known before.
#[derive(Debug)]
pub struct StoreView {
    records: BTreeMap<Arc<str>, StoreRecord>,
    deferred_removals: BTreeMap<Arc<str>, DeferredRemoval>,
    /// How the values of large records have changed.
    patches: PatchLog,
    /// The latest removals, oldest first, including those of records that this view never
    /// contained.
    removals: VecDeque<(u64, Arc<str>)>,
    /// Revision after which `removals` contains every removal, except in `gaps`.
    removals_complete_after: u64,
    /// Positions between which a list, which doesn't show what was written and removed before it, took the place
    /// of changes: an update for a gateway strictly between them can't name every removal.
    gaps: Vec<(u64, u64)>,
    /// Revision up to which the view contains every change.
    revision: u64,
    /// Number of values that were kept though the store has lost them.
    kept_values: u64,
    grace_until: Option<MonoMs>,
    /// Time before which no record can have expired in the last outage.
    expiry_from: MonoMs,
    /// Interval at which endpoints write their records again, in milliseconds.
    heartbeat_ms: u64,
}

impl Default for StoreView {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreView {
    /// Time, in milliseconds, for which records missing from the store are retained once a gateway
    /// has noticed the end of an outage. Endpoints need about two seconds to register again. The
    /// time is shorter by the delay until the gateway notices the end, since an endpoint that
    /// leaves when the store recovers must be out of use two seconds later.
    pub const RECONNECT_GRACE_MS: u64 = 1_700;
    /// Time after the last removal of a service's endpoint in which further ones may follow, in
    /// milliseconds: those of one outage come together.
    const RELEASE_MS: u64 = 300;
    /// Minimum number of a service's endpoints for each one whose record may be missing without an
    /// outage.
    const MIN_PUBLISHED_PER_MISSING: usize = 4;
    /// Maximum number of removals stored for gateways that lag behind; one that lags further gets
    /// all records.
    const MAX_REMOVALS: usize = 256;

    /// Maximum number of gaps stored; for older ones, a gateway that lags gets all records.
    const MAX_GAPS: usize = 8;

    /// Number of an endpoint's heartbeats, as a multiple of their interval, that an outage certainly
    /// covers if a record expires in it. Records expire after three intervals without a heartbeat, of which
    /// one may have passed before the outage, and intervals vary a little.
    const MIN_EXPIRY_HEARTBEATS: f64 = 1.75;

    /// Creates an empty view.
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            deferred_removals: BTreeMap::new(),
            patches: PatchLog::default(),
            removals: VecDeque::new(),
            removals_complete_after: 0,
            gaps: Vec::new(),
            revision: 0,
            kept_values: 0,
            grace_until: None,
            expiry_from: MonoMs(0),
            heartbeat_ms: 0,
        }
    }

    /// Sets the interval at which endpoints write their records again, in milliseconds.
    #[must_use]
    pub fn with_heartbeat_ms(mut self, ms: u64) -> Self {
        self.heartbeat_ms = ms;
        self
    }

    /// Returns the revision up to which the view contains every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of values that were kept though the store has lost them: each makes the view differ
    /// from what it was at the same position.
    pub fn kept_values(&self) -> u64 {
        self.kept_values
    }

    /// Records that the store answers again, and that it last answered a gateway of the fleet at
    /// `lost_since`.
    ///
    /// Handles gateways that take over the watch of a store which was well all the while, since only the
    /// gateways before them were cut off from it. They do so before a record can have expired, so that a
    /// removal in between is that of an endpoint which has left.
    pub fn record_reconnect(&mut self, lost_since: MonoMs, now: MonoMs) {
        let min_outage_ms = (self.heartbeat_ms as f64 * Self::MIN_EXPIRY_HEARTBEATS) as u64;
        self.grace_until = Some(now.plus_ms(Self::RECONNECT_GRACE_MS));
        self.expiry_from = lost_since.plus_ms(min_outage_ms);
    }

    /// Starts a grace period if a list read at `as_of` shows that the store has come back from an older
    /// copy: endpoints that the copy lacks register again. Returns whether it has.
    fn record_if_restored(&mut self, as_of: u64, now: MonoMs) -> bool {
        let is_restored = self.revision > 0 && StoreEra::of(as_of) > StoreEra::of(self.revision);
        if is_restored {
            self.grace_until = Some(now.plus_ms(Self::RECONNECT_GRACE_MS));
            self.expiry_from = now;
        }
        is_restored
    }

    /// Reports whether records that expired during an outage may still be written again.
    pub fn is_settling(&self, now: MonoMs) -> bool {
        self.grace_until.is_some_and(|until| until > now)
    }

    /// Applies one change from a watch, which delivers changes in order. Ignores one that came so late that
    /// peers have sent it and later ones before: the record may have been removed since.
    pub fn apply(&mut self, record: StoreRecord, now: MonoMs) -> Vec<StoreChange> {
        if record.value.is_some() && self.may_be_removed_since(&record) {
            return Vec::new();
        }
        self.revision = self.revision.max(record.revision);
        self.put(record, now >= self.expiry_from, now)
    }

    /// Reports whether a written record may have been removed after its change, at a position that the view
    /// has reached.
    fn may_be_removed_since(&self, record: &StoreRecord) -> bool {
        let is_removed = |(at, key): &(u64, Arc<str>)| *at > record.revision && *key == record.key;
        record.revision < self.revision
            && (self.needs_all(record.revision) || self.removals.iter().any(is_removed))
    }

    /// Applies a record that is newer than the known one. `may_defer` says whether a removal is deferred
    /// during a grace period.
    fn put(&mut self, record: StoreRecord, may_defer: bool, now: MonoMs) -> Vec<StoreChange> {
        if self.known_revision(&record.key) >= record.revision {
            return Vec::new();
        }
        if record.value.is_none() {
            return self.remove(record.key, record.revision, may_defer, now).into_iter().collect();
        }
        self.deferred_removals.remove(&record.key);
        self.log_patch(&record);
        let known = self.records.insert(record.key.clone(), record.clone());
        let is_restored =
            |it: &StoreRecord| StoreEra::of(it.revision) < StoreEra::of(record.revision);
        match known.filter(is_restored) {
            Some(known) if known.value == record.value => Vec::new(),
            Some(known) => vec![StoreChange::Restored { record, known }],
            None => vec![StoreChange::Written(record)],
        }
    }

    /// Keeps a value that the store has lost, until it is written again: replaces the value of the
    /// record with this key, if there is one, or adds one.
    pub fn keep(&mut self, key: &Arc<str>, value: Option<Vec<u8>>) {
        let revision = self.records.get(key).map_or(self.revision, |it| it.revision);
        self.deferred_removals.remove(key);
        // Peers may have another value at this position.
        self.patches.remove(key);
        self.kept_values += 1;
        self.records.insert(key.clone(), StoreRecord { key: key.clone(), revision, value });
    }

    /// Applies a complete list of the records, whose first page was read at revision `as_of`. Later pages
    /// may contain newer records, but not every change since, so the watch continues from `as_of`.
    pub fn apply_list(
        &mut self,
        records: Vec<StoreRecord>,
        as_of: u64,
        now: MonoMs,
    ) -> Vec<StoreChange> {
        self.record_if_restored(as_of, now);
        let may_defer = now >= self.expiry_from;
        self.put_list(records, as_of, |_| may_defer, now)
    }

    /// Applies a complete list. `may_defer` says which removals are deferred during a grace period.
    fn put_list(
        &mut self,
        records: Vec<StoreRecord>,
        as_of: u64,
        may_defer: impl Fn(&Arc<str>) -> bool,
        now: MonoMs,
    ) -> Vec<StoreChange> {
        let known = self.revision;
        let is_newer = as_of > known;
        let listed: BTreeSet<Arc<str>> = records.iter().map(|record| record.key.clone()).collect();
        // If the list is older than the view, ignore its records up to the view's revision: any
        // that the view lacks were removed after the list was read.
        let newer = records.into_iter().filter(|it| is_newer || it.revision > known);
        let mut changes = Vec::new();
        for record in newer {
            let may_defer = may_defer(&record.key);
            changes.extend(self.put(record, may_defer, now));
        }
        let missing: Vec<_> = self
            .records
            .iter()
            .filter(|(key, record)| record.revision <= as_of && !listed.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        changes.extend(missing.into_iter().filter_map(|key| {
            let may_defer = may_defer(&key);
            self.remove(key, as_of, may_defer, now)
        }));
        if is_newer {
            self.revision = as_of;
            self.record_gap(known, as_of);
        }
        changes
    }

    /// Applies an update from a peer if its revision is later than the view's. Removals that the peer
    /// doesn't defer aren't deferred here either.
    pub fn apply_peer(&mut self, mut delta: StoreDelta, now: MonoMs) -> Vec<StoreChange> {
        if delta.revision <= self.revision {
            return Vec::new();
        }
        if delta.grace_ms > 0 {
            let until = now.plus_ms(delta.grace_ms.min(Self::RECONNECT_GRACE_MS));
            self.grace_until = self.grace_until.max(Some(until));
        }
        let records = std::mem::take(&mut delta.records);
        if delta.is_whole {
            let is_restored = self.record_if_restored(delta.revision, now);
            let may_defer = |key: &Arc<str>| is_restored || delta.may_defer(key);
            return self.put_list(records, delta.revision, may_defer, now);
        }
        let mut changes = Vec::new();
        for record in records {
            let may_defer = delta.may_defer(&record.key);
            changes.extend(self.put(record, may_defer, now));
        }
        self.revision = delta.revision;
        changes
    }

    /// Returns the keys of removals that are deferred, each with the time since which it is.
    pub fn deferred(&self) -> impl Iterator<Item = (&Arc<str>, MonoMs)> {
        self.deferred_removals.iter().map(|(key, it)| (key, it.since))
    }

    /// Reports whether deferred removals needn't be held back any longer: `missing` of the `published`
    /// endpoints of a service lack their records, the last one since `since`.
    ///
    /// Handles gateways that take over the watch of a store which was well all the while: only the
    /// gateways before them were cut off from it, and an endpoint that has left in between looks like one
    /// whose record has lapsed. An outage makes most records lapse; where few are missing, they have left,
    /// or can be spared until they are written again.
    pub fn may_release(missing: usize, published: usize, since: MonoMs, now: MonoMs) -> bool {
        missing * Self::MIN_PUBLISHED_PER_MISSING <= published
            && now.ms_since(since) >= Self::RELEASE_MS
    }

    /// Ends the deferral of a removal; [`Self::expire`] then returns it.
    pub fn release(&mut self, key: &str, now: MonoMs) {
        if let Some(deferred) = self.deferred_removals.get_mut(key) {
            deferred.due = now;
        }
    }

    /// Applies the removals whose grace period has ended, and returns them.
    pub fn expire(&mut self, now: MonoMs) -> Vec<StoreChange> {
        let due: Vec<_> = self
            .deferred_removals
            .iter()
            .filter(|(_, it)| it.due <= now)
            .map(|(key, _)| key.clone())
            .collect();
        due.into_iter()
            .map(|key| {
                self.deferred_removals.remove(&key);
                self.records.remove(&key);
                self.patches.remove(&key);
                StoreChange::Removed(key)
            })
            .collect()
    }

    fn known_revision(&self, key: &str) -> u64 {
        let written = self.records.get(key).map_or(0, |record| record.revision);
        let removed = self.deferred_removals.get(key).map_or(0, |it| it.revision);
        written.max(removed)
    }

    fn remove(
        &mut self,
        key: Arc<str>,
        revision: u64,
        may_defer: bool,
        now: MonoMs,
    ) -> Option<StoreChange> {
        if !self.deferred_removals.contains_key(&key) {
            self.record_removal(revision, &key);
        }
        if !self.records.contains_key(&key) {
            return None;
        }
        match self.grace_until.filter(|until| may_defer && *until > now) {
            Some(until) => {
                let deferred = DeferredRemoval { revision, since: now, due: until };
                self.deferred_removals.entry(key).or_insert(deferred);
                None
            }
            None => {
                self.records.remove(&key);
                self.deferred_removals.remove(&key);
                self.patches.remove(&key);
                Some(StoreChange::Removed(key))
            }
        }
    }

    fn record_removal(&mut self, revision: u64, key: &Arc<str>) {
        if self.removals.iter().any(|(at, removed)| *at == revision && removed == key) {
            return;
        }
        if self.removals.len() == Self::MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.removals_complete_after = self.removals_complete_after.max(oldest);
        }
        self.removals.push_back((revision, key.clone()));
    }
}
