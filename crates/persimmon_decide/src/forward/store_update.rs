//! An update of the records from one gateway to another, of the size of what has changed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{PatchError, ValuePatch};

/// A change of a record's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPatch {
    /// Position of the earlier value.
    pub from: u64,
    /// Position of the later value.
    pub to: u64,
    /// The difference.
    pub patch: ValuePatch,
}

impl RecordPatch {
    /// Returns the approximate size of the encoded patch, in bytes.
    pub fn size(&self) -> usize {
        const POSITION_BYTES: usize = 10;
        self.patch.size() + 2 * POSITION_BYTES
    }
}

/// What has become of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordContent {
    /// It has this value.
    Written(Vec<u8>),
    /// Its value follows from the receiver's by these patches, in order.
    Patched(Vec<RecordPatch>),
    /// It was deleted.
    Deleted,
}

/// A record that has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// Key of the record.
    pub key: Arc<str>,
    /// Position of the record's last change.
    pub revision: u64,
    /// What has become of it.
    pub content: RecordContent,
}

/// An update from one gateway to another that has every change up to `since`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Position up to which the receiver must have every change; zero for any receiver.
    pub since: u64,
    /// Position up to which the sender has every change.
    pub revision: u64,
    /// Whether `records` contains all existing records rather than only the changes.
    pub is_whole: bool,
    /// How long the sender continues to defer removals after an outage, in milliseconds.
    pub grace_ms: u64,
    /// Keys of the removals that the sender defers.
    pub deferred: Vec<Arc<str>>,
    /// The records that have changed.
    pub records: Vec<RecordUpdate>,
    /// Positions between which the sender, or one before it, doesn't know every removal.
    pub gaps: Vec<(u64, u64)>,
}

impl StoreUpdate {
    /// Size of a record in an update beside its content and key, in bytes; an upper bound.
    pub(super) const RECORD_BYTES: usize = 16;
    /// Size of an update beside its records and the keys of removals, in bytes; an upper bound.
    pub(super) const BASE_BYTES: usize = 32;
}

/// Error for an update that a gateway can't apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UpdateError {
    /// The update follows changes that this gateway doesn't have.
    #[error("the update follows changes that this gateway doesn't have")]
    Gap,
    /// A patch doesn't fit this gateway's value.
    #[error("a record can't be patched: {0}")]
    Patch(#[from] PatchError),
    /// A patch is for a record that this gateway doesn't have.
    #[error("a patch is for a record that this gateway doesn't have")]
    NoRecord,
    /// A record's patches don't lead to the position that the update names, or it is patched twice.
    #[error("a record's patches don't lead to its position")]
    WrongPatches,
}
