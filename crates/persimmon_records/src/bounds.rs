//! Bounds on published records, which also bound the memory that a process needs for them.

/// Maximum number of bytes of one value in the platform's configuration service.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Maximum number of bytes of a whole record set as text, published inline or in parts.
pub const MAX_SET_BYTES: usize = 8_000_000;

/// Maximum number of workspaces in one set: twice the 4,400 that the fleet is designed for.
pub const MAX_WORKSPACES: usize = 8_800;

/// Maximum number of endpoints in one set: twice the 3,700 that the fleet is designed for.
pub const MAX_ENDPOINTS: usize = 7_400;

/// Maximum number of key digests of one workspace.
pub const MAX_WORKSPACE_KEYS: usize = 16;

/// Maximum number of entries in each of a workspace's lists of models, services and endpoints.
pub const MAX_WORKSPACE_NAMES: usize = 1_024;

/// Maximum number of characters of a name.
pub const MAX_NAME_CHARS: usize = 64;

/// Maximum number of bytes of the records in one published part, below [`MAX_VALUE_BYTES`] to leave
/// room for the fields around them.
pub const MAX_PART_BYTES: usize = 900_000;

/// Maximum number of parts of one set.
pub const MAX_PARTS: usize = MAX_SET_BYTES.div_ceil(MAX_PART_BYTES);

/// Maximum number of changes in one head or change set.
pub const MAX_CHANGES: usize = 1_024;

/// Maximum number of bytes of a published head, except for bulk changes. A process that watches the
/// head reads it at every change, and this bound keeps the reads within its budget for control
/// traffic.
pub const MAX_HEAD_BYTES: usize = 8_000;

/// Number of bytes below which a head keeps all changes of its newest generation, even above
/// [`MAX_HEAD_BYTES`], since reading such a head once costs less than reading the parts.
pub const MAX_BULK_HEAD_BYTES: usize = 200_000;

/// Maximum number of faults reported for one text; further faults are only counted.
pub const MAX_FAULTS: usize = 1_000;

/// Maximum number of fields read from one object.
pub(crate) const MAX_FIELDS: usize = 64;

/// Maximum number of entries read from one list, equal to the largest limit of any list.
pub(crate) const MAX_LIST_ENTRIES: usize = MAX_WORKSPACES;
