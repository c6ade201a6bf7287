//! The platform's records as one gateway knows them, from lists, watches and peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::MonoMs;

/// A record as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Its key.
    pub key: Arc<str>,
    /// The store's revision at its last change.
    pub revision: u64,
    /// Its value; none once it has been deleted.
    pub value: Option<Vec<u8>>,
}

/// What a gateway has to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A record was written.
    Written(StoreRecord),
    /// A record is gone.
    Removed(Arc<str>),
}

/// What a gateway that lags behind needs from another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreDelta {
    /// The revision up to which the sender knows every change.
    pub revision: u64,
    /// Whether `records` are all that exist, rather than the changes.
    pub is_whole: bool,
    /// How long the sender still holds removals back after an outage, in milliseconds.
    pub grace_ms: u64,
    /// Records as they were written, or without a value where they were deleted.
    pub records: Vec<StoreRecord>,
}

/// Merges what the store and peers say of its records. Nothing older replaces anything newer.
///
/// Records of endpoints lapse while the store is away, and return shortly after it does. So what
/// goes missing over an outage is held back for [`Self::RECONNECT_GRACE_MS`].
#[derive(Debug)]
pub struct StoreView {
    records: BTreeMap<Arc<str>, StoreRecord>,
    /// Deletions that wait for the end of the grace, with the revision of the deletion.
    deferred_removals: BTreeMap<Arc<str>, (u64, MonoMs)>,
    /// The latest removals, oldest first, also of records that this view never had.
    removals: VecDeque<(u64, Arc<str>)>,
    /// Removals after this revision are all in `removed`.
    removals_complete_after: u64,
    /// Every change up to this revision is in the view.
    revision: u64,
    grace_until: Option<MonoMs>,
}

impl Default for StoreView {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreView {
    /// How long after a gateway has noticed the end of an outage a missing record is kept, in
    /// milliseconds. Endpoints need about two seconds to register again; less by the time in which
    /// the end is noticed, since an endpoint that leaves at the same moment is bound to be out of use
    /// two seconds later.
    pub const RECONNECT_GRACE_MS: u64 = 1_700;
    /// Removals remembered for gateways that lag behind; one that lags further gets everything.
    const MAX_REMOVALS: usize = 256;

    /// A view that holds nothing.
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            deferred_removals: BTreeMap::new(),
            removals: VecDeque::new(),
            removals_complete_after: 0,
            revision: 0,
            grace_until: None,
        }
    }

    /// The revision up to which every change is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What a gateway that knows all changes up to `revision` lacks. It holds removals back as long
    /// as this one does.
    pub fn since(&self, revision: u64, now: MonoMs) -> StoreDelta {
        let is_whole = revision < self.removals_complete_after;
        let live = self.records.values().filter(|it| !self.deferred_removals.contains_key(&it.key));
        let written = live.filter(|it| is_whole || it.revision > revision).cloned();
        let is_gone =
            |key| !self.records.contains_key(key) || self.deferred_removals.contains_key(key);
        let deleted = self
            .removals
            .iter()
            .filter(|(at, key)| !is_whole && *at > revision && is_gone(key))
            .map(|(at, key)| StoreRecord { key: key.clone(), revision: *at, value: None });
        StoreDelta {
            revision: self.revision,
            is_whole,
            grace_ms: self.grace_until.map_or(0, |until| until.ms_since(now)),
            records: written.chain(deleted).collect(),
        }
    }

    /// The store answers again after an outage.
    pub fn record_reconnect(&mut self, now: MonoMs) {
        self.grace_until = Some(now.plus_ms(Self::RECONNECT_GRACE_MS));
    }

    /// Whether records that lapsed in an outage may still return.
    pub fn is_settling(&self, now: MonoMs) -> bool {
        self.grace_until.is_some_and(|until| until > now)
    }

    /// Takes in one change from a watch, which brings them in order.
    pub fn apply(&mut self, record: StoreRecord, now: MonoMs) -> Vec<StoreChange> {
        self.revision = self.revision.max(record.revision);
        self.put(record, now)
    }

    fn put(&mut self, record: StoreRecord, now: MonoMs) -> Vec<StoreChange> {
        if self.known_revision(&record.key) >= record.revision {
            return Vec::new();
        }
        if record.value.is_none() {
            return self.remove(record.key, record.revision, now).into_iter().collect();
        }
        self.deferred_removals.remove(&record.key);
        self.records.insert(record.key.clone(), record.clone());
        vec![StoreChange::Written(record)]
    }

    /// Takes in a whole list under `prefix`, whose first page was made at revision `as_of`. Later
    /// pages may hold newer records, but not every change since, so that the watch goes on from
    /// `as_of`.
    pub fn apply_list(
        &mut self,
        prefix: &str,
        records: Vec<StoreRecord>,
        as_of: u64,
        now: MonoMs,
    ) -> Vec<StoreChange> {
        let known = self.revision;
        let is_newer = as_of > known;
        let listed: BTreeSet<Arc<str>> = records.iter().map(|record| record.key.clone()).collect();
        // What an older list holds and this view lacks has been removed since.
        let newer = records.into_iter().filter(|it| is_newer || it.revision > known);
        let mut changes: Vec<_> = newer.flat_map(|record| self.put(record, now)).collect();
        let missing: Vec<_> = self
            .records
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, record)| record.revision <= as_of && !listed.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        changes.extend(missing.into_iter().filter_map(|key| self.remove(key, as_of, now)));
        if is_newer {
            self.revision = as_of;
            // A list doesn't tell what came and went before it.
            self.removals_complete_after = self.removals_complete_after.max(as_of);
        }
        changes
    }

    /// Takes in what a peer sent, if the peer has seen a later change.
    pub fn apply_peer(&mut self, delta: StoreDelta, now: MonoMs) -> Vec<StoreChange> {
        if delta.revision <= self.revision {
            return Vec::new();
        }
        if delta.grace_ms > 0 {
            let until = now.plus_ms(delta.grace_ms.min(Self::RECONNECT_GRACE_MS));
            self.grace_until = self.grace_until.max(Some(until));
        }
        match delta.is_whole {
            true => self.apply_list("", delta.records, delta.revision, now),
            false => {
                let changes = delta.records.into_iter().flat_map(|it| self.put(it, now)).collect();
                self.revision = delta.revision;
                changes
            }
        }
    }

    /// Removals whose grace has ended.
    pub fn expire(&mut self, now: MonoMs) -> Vec<StoreChange> {
        let due: Vec<_> = self
            .deferred_removals
            .iter()
            .filter(|(_, (_, due))| *due <= now)
            .map(|(key, _)| key.clone())
            .collect();
        due.into_iter()
            .map(|key| {
                self.deferred_removals.remove(&key);
                self.records.remove(&key);
                StoreChange::Removed(key)
            })
            .collect()
    }

    fn known_revision(&self, key: &str) -> u64 {
        let written = self.records.get(key).map_or(0, |record| record.revision);
        let removed = self.deferred_removals.get(key).map_or(0, |(revision, _)| *revision);
        written.max(removed)
    }

    fn remove(&mut self, key: Arc<str>, revision: u64, now: MonoMs) -> Option<StoreChange> {
        if !self.deferred_removals.contains_key(&key) {
            self.record_removal(revision, &key);
        }
        if !self.records.contains_key(&key) {
            return None;
        }
        match self.grace_until.filter(|until| *until > now) {
            Some(until) => {
                self.deferred_removals.entry(key).or_insert((revision, until));
                None
            }
            None => {
                self.records.remove(&key);
                self.deferred_removals.remove(&key);
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
            self.removals_complete_after = oldest;
        }
        self.removals.push_back((revision, key.clone()));
    }
}
