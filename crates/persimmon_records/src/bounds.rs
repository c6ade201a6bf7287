//! Bounds on what operators publish, so that a process knows beforehand how much it may hold.

/// Bytes that one value of the platform's configuration service holds.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Bytes of a whole record set as text, inline or joined from its parts.
pub const MAX_SET_BYTES: usize = 8_000_000;

/// Workspaces in one set: twice the 4,400 that the fleet is designed for.
pub const MAX_WORKSPACES: usize = 8_800;

/// Endpoints in one set: twice the 3,700 that the fleet is designed for.
pub const MAX_ENDPOINTS: usize = 7_400;

/// Key digests of one workspace.
pub const MAX_WORKSPACE_KEYS: usize = 16;

/// Models, services or endpoints that one workspace names.
pub const MAX_WORKSPACE_NAMES: usize = 1_024;

/// Characters of a name.
pub const MAX_NAME_CHARS: usize = 64;

/// Bytes of the records in a part as published.
pub const PART_BYTES: usize = 900_000;

/// Parts of one set.
pub const MAX_PARTS: usize = MAX_SET_BYTES.div_ceil(PART_BYTES);

/// Changes in one head or change set.
pub const MAX_CHANGES: usize = 1_024;

/// Bytes of a head as published, so that a process that watches it can read it at every change
/// within its budget for control.
pub const HEAD_BYTES: usize = 8_000;

/// Bytes of a head whose newest generation alone changes many records. Reading it once costs less
/// than reading the parts.
pub const BULK_BYTES: usize = 200_000;

/// Faults that one reading keeps; the others are counted.
pub const MAX_FAULTS: usize = 1_000;

/// Fields of one object that are read.
pub(crate) const MAX_FIELDS: usize = 64;

/// Entries of one list that are read; no list may have more.
pub(crate) const MAX_LIST_ENTRIES: usize = MAX_WORKSPACES;
