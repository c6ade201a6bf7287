//! The latest changes of large records, for gateways that have an earlier value.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::RecordPatch;

/// Stores how the values of large records have changed, each patch following the one before.
///
/// Handles the configuration of the whole fleet in one record: what changes in it is a small part, and
/// every gateway but the ones that read the store has the rest already.
#[derive(Debug, Default)]
pub(super) struct PatchLog {
    records: BTreeMap<Arc<str>, VecDeque<RecordPatch>>,
}

impl PatchLog {
    /// Minimum size of a value whose changes are worth a patch, in bytes.
    pub(super) const MIN_VALUE_BYTES: usize = 2 * 1024;
    /// Maximum factor between the sizes of two values of which a patch is made.
    const MAX_GROWTH: usize = 2;
    /// Maximum number of patches stored for a record.
    const MAX_PATCHES: usize = 64;

    /// Reports whether a patch from one value to another is worth finding: most of the longer one must be in the
    /// other. Every gateway that gets a value in place of patches looks for one.
    pub(super) fn is_worth(earlier: &[u8], later: &[u8]) -> bool {
        let (a, b) = (earlier.len(), later.len());
        a <= Self::MAX_GROWTH * b && b <= Self::MAX_GROWTH * a
    }

    /// Records a change to a value of `value_bytes`.
    pub(super) fn record(&mut self, key: &Arc<str>, patch: RecordPatch, value_bytes: usize) {
        let patches = self.records.entry(key.clone()).or_default();
        if patches.back().is_some_and(|it| it.to != patch.from) {
            patches.clear();
        }
        patches.push_back(patch);
        // Patches that together cost as much as the value are of no use.
        let mut bytes: usize = patches.iter().map(RecordPatch::size).sum();
        while bytes >= value_bytes || patches.len() > Self::MAX_PATCHES {
            let Some(oldest) = patches.pop_front() else { break };
            bytes -= oldest.size();
        }
    }

    /// Returns the patches from the value of a gateway that has all changes up to `position`; none if they
    /// aren't stored.
    pub(super) fn since(
        &self,
        key: &str,
        position: u64,
    ) -> Option<impl Iterator<Item = &RecordPatch>> {
        let patches = self.records.get(key)?;
        let first = patches.iter().position(|it| it.to > position)?;
        let is_known = patches[first].from <= position;
        is_known.then(|| patches.iter().skip(first))
    }

    /// Returns the stored patch that leads to the value at position `to`, if it is the latest one.
    pub(super) fn latest_to(&self, key: &str, to: u64) -> Option<&RecordPatch> {
        self.records.get(key)?.back().filter(|it| it.to == to)
    }

    /// Removes the patches of a record whose value was replaced by one that follows from none of them.
    pub(super) fn remove(&mut self, key: &str) {
        self.records.remove(key);
    }
}
