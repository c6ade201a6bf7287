//! Updates of the records for other gateways, and from them.

use std::sync::Arc;

use super::{StoreChange, StoreDelta, StoreRecord, StoreView};
use crate::MonoMs;
use crate::forward::patch_log::PatchLog;
use crate::forward::{
    PatchError, RecordContent, RecordPatch, RecordUpdate, StoreEra, StoreUpdate, UpdateError,
    ValuePatch,
};

/// Key, position and value of a record that has changed; no value if it was deleted.
type ChangedRecord<'a> = (&'a Arc<str>, u64, Option<&'a Vec<u8>>);

impl StoreView {
    /// Returns whether a gateway that has all changes up to `revision` needs all records, and the records
    /// that it needs.
    fn changed_since(&self, revision: u64) -> (bool, impl Iterator<Item = ChangedRecord<'_>>) {
        let is_whole = self.needs_all(revision);
        let is_live = |it: &&StoreRecord| !self.deferred_removals.contains_key(&it.key);
        let written = self
            .records
            .values()
            .filter(is_live)
            .filter(move |it| is_whole || it.revision > revision)
            .map(|it| (&it.key, it.revision, it.value.as_ref()));
        let is_gone =
            |key| !self.records.contains_key(key) || self.deferred_removals.contains_key(key);
        let deleted = self
            .removals
            .iter()
            .filter(move |(at, key)| !is_whole && *at > revision && is_gone(key))
            .map(|(at, key)| (key, *at, None));
        (is_whole, written.chain(deleted))
    }

    fn grace_ms(&self, now: MonoMs) -> u64 {
        self.grace_until.map_or(0, |until| until.ms_since(now))
    }

    /// Reports whether a gateway that has all changes up to `revision` needs all records.
    pub(super) fn needs_all(&self, revision: u64) -> bool {
        revision == 0
            || revision < self.removals_complete_after
            || StoreEra::of(revision) < StoreEra::of(self.revision)
            || is_in_gap(&self.gaps, revision)
    }

    /// Records that this view got to position `to` from `from` without every change between them.
    pub(super) fn record_gap(&mut self, from: u64, to: u64) {
        if to.saturating_sub(from) > 1 && !self.gaps.contains(&(from, to)) {
            self.gaps.push((from, to));
        }
        if self.gaps.len() > Self::MAX_GAPS {
            let (_, to) = self.gaps.remove(0);
            self.removals_complete_after = self.removals_complete_after.max(to);
        }
        let complete_after = self.removals_complete_after;
        self.gaps.retain(|(_, to)| *to > complete_after);
    }

    /// Returns the update for a gateway of a build that knows neither patches nor gaps, and that has all
    /// changes up to `revision`. The receiver defers removals for as long as this gateway does.
    pub fn since(&self, revision: u64, now: MonoMs) -> StoreDelta {
        // Without the gaps, the receiver would send too little to others.
        let has_gap = self.gaps.iter().any(|(_, to)| *to > revision);
        let (is_whole, changed) = match has_gap {
            true => (true, self.changed_since(0).1),
            false => self.changed_since(revision),
        };
        let record = |(key, revision, value): ChangedRecord<'_>| StoreRecord {
            key: key.clone(),
            revision,
            value: value.cloned(),
        };
        StoreDelta {
            revision: self.revision,
            is_whole,
            grace_ms: self.grace_ms(now),
            records: changed.map(record).collect(),
            deferred: Some(self.deferred_removals.keys().cloned().collect()),
        }
    }

    /// Returns the update for a gateway that has all changes up to `revision`, with patches of large records
    /// where they are stored. The receiver defers removals for as long as this gateway does.
    pub fn update_since(&self, revision: u64, now: MonoMs) -> StoreUpdate {
        let (is_whole, changed) = self.changed_since(revision);
        let update = |(key, position, value): ChangedRecord<'_>| {
            let patches = self.patches_since(key, revision).filter(|_| !is_whole);
            let content = match (value, patches) {
                (None, _) => RecordContent::Deleted,
                (_, Some(patches)) => RecordContent::Patched(patches.cloned().collect()),
                (Some(value), None) => RecordContent::Written(value.clone()),
            };
            RecordUpdate { key: key.clone(), revision: position, content }
        };
        StoreUpdate {
            since: if is_whole { 0 } else { revision },
            revision: self.revision,
            is_whole,
            grace_ms: self.grace_ms(now),
            deferred: self.deferred_removals.keys().cloned().collect(),
            records: changed.map(update).collect(),
            gaps: self.gaps_after(revision),
        }
    }

    /// Returns the gaps that a gateway which gets an update from `revision` has to know.
    fn gaps_after(&self, revision: u64) -> Vec<(u64, u64)> {
        self.gaps.iter().filter(|(_, to)| *to > revision).copied().collect()
    }

    /// Returns the same update with values in place of patches, for a gateway whose values the patches don't
    /// fit.
    pub fn values_since(&self, revision: u64, now: MonoMs) -> StoreUpdate {
        let delta = self.since(revision, now);
        let update = |it: StoreRecord| RecordUpdate {
            key: it.key,
            revision: it.revision,
            content: it.value.map_or(RecordContent::Deleted, RecordContent::Written),
        };
        StoreUpdate {
            since: if delta.is_whole { 0 } else { revision },
            revision: delta.revision,
            is_whole: delta.is_whole,
            grace_ms: delta.grace_ms,
            deferred: delta.deferred.unwrap_or_default(),
            records: delta.records.into_iter().map(update).collect(),
            gaps: self.gaps_after(revision),
        }
    }

    /// Returns the approximate size of the update for a gateway that has all changes up to `revision`, in
    /// bytes.
    pub fn update_size(&self, revision: u64) -> usize {
        let (is_whole, changed) = self.changed_since(revision);
        let size = |(key, _, value): ChangedRecord<'_>| {
            let patches = self.patches_since(key, revision).filter(|_| !is_whole);
            let content = match (value, patches) {
                (None, _) => 0,
                (_, Some(patches)) => patches.map(RecordPatch::size).sum(),
                (Some(value), None) => value.len(),
            };
            key.len() + content + StoreUpdate::RECORD_BYTES
        };
        let deferred: usize = self.deferred_removals.keys().map(|it| it.len() + 2).sum();
        StoreUpdate::BASE_BYTES + deferred + changed.map(size).sum::<usize>()
    }

    /// Returns the patches that lead to a record's value; none if they aren't stored.
    fn patches_since(
        &self,
        key: &Arc<str>,
        revision: u64,
    ) -> Option<impl Iterator<Item = &RecordPatch>> {
        let known = self.records.get(key)?.revision;
        self.patches.since(key, revision).filter(|_| self.patches.latest_to(key, known).is_some())
    }

    /// Applies an update from a peer if its revision is later than the view's.
    ///
    /// # Errors
    ///
    /// The update follows changes that the view doesn't have, or a patch doesn't fit. The view is as it was.
    pub fn apply_update(
        &mut self,
        update: StoreUpdate,
        now: MonoMs,
    ) -> Result<Vec<StoreChange>, UpdateError> {
        if update.revision <= self.revision {
            return Ok(Vec::new());
        }
        // Inside a gap, the sender can't name every removal of what this view has.
        let has_gap = update.since > self.revision || is_in_gap(&update.gaps, self.revision);
        if !update.is_whole && has_gap {
            return Err(UpdateError::Gap);
        }
        let mut records = Vec::new();
        let mut logged: Vec<(Arc<str>, usize, Vec<RecordPatch>)> = Vec::new();
        for RecordUpdate { key, revision, content } in update.records {
            let value = match content {
                RecordContent::Deleted => None,
                RecordContent::Written(value) => Some(value),
                RecordContent::Patched(_) if self.known_revision(&key) >= revision => continue,
                RecordContent::Patched(patches) => {
                    let is_patched = logged.iter().any(|(it, ..)| *it == key);
                    if is_patched || patches.last().is_none_or(|it| it.to != revision) {
                        return Err(UpdateError::WrongPatches);
                    }
                    let (value, patches) = self.patch(&key, patches)?;
                    logged.push((key.clone(), value.len(), patches));
                    Some(value)
                }
            };
            records.push(StoreRecord { key, revision, value });
        }
        for (key, value_bytes, patches) in logged {
            for patch in patches {
                self.patches.record(&key, patch, value_bytes);
            }
        }
        let delta = StoreDelta {
            revision: update.revision,
            is_whole: update.is_whole,
            grace_ms: update.grace_ms,
            records,
            deferred: Some(update.deferred),
        };
        let gaps = if update.is_whole { Vec::new() } else { update.gaps };
        let changes = self.apply_peer(delta, now);
        let revision = self.revision;
        let gaps = gaps.into_iter().filter(|(_, to)| *to <= revision);
        gaps.for_each(|(from, to)| self.record_gap(from, to));
        Ok(changes)
    }

    /// Applies those of the patches that follow from the view's value of a record. Returns the new value and
    /// these patches.
    fn patch(
        &self,
        key: &Arc<str>,
        mut patches: Vec<RecordPatch>,
    ) -> Result<(Vec<u8>, Vec<RecordPatch>), UpdateError> {
        let record = self.records.get(key).ok_or(UpdateError::NoRecord)?;
        let mut value = record.value.clone().ok_or(UpdateError::NoRecord)?;
        patches.retain(|it| it.to > record.revision);
        let max_bytes =
            ValuePatch::max_result_bytes(value.len(), patches.iter().map(|it| &it.patch));
        let mut previous = self.patches.latest_to(key, record.revision);
        for it in &patches {
            value = match previous {
                Some(previous) => it.patch.apply_after(&previous.patch, &value)?,
                None => it.patch.apply(&value)?,
            };
            if value.len() > max_bytes {
                return Err(PatchError::TooLong.into());
            }
            previous = Some(it);
        }
        Ok((value, patches))
    }

    /// Stores how the value of a large record changes.
    pub(super) fn log_patch(&mut self, record: &StoreRecord) {
        let key = &record.key;
        if self.patches.latest_to(key, record.revision).is_some() {
            return;
        }
        let is_large = |it: &&Vec<u8>| it.len() >= PatchLog::MIN_VALUE_BYTES;
        let known = self.records.get(key);
        let known = known.filter(|it| StoreEra::of(it.revision) == StoreEra::of(record.revision));
        let earlier = known.and_then(|it| it.value.as_ref()).filter(is_large);
        let later = record.value.as_ref().filter(is_large);
        match (known, earlier, later) {
            (Some(known), Some(earlier), Some(later)) if PatchLog::is_worth(earlier, later) => {
                let patch = ValuePatch::between(earlier, later);
                let patch = RecordPatch { from: known.revision, to: record.revision, patch };
                self.patches.record(key, patch, later.len());
            }
            _ => self.patches.remove(key),
        }
    }
}

/// Reports whether a position lies strictly between the ends of a gap.
fn is_in_gap(gaps: &[(u64, u64)], position: u64) -> bool {
    gaps.iter().any(|(from, to)| *from < position && position < *to)
}
