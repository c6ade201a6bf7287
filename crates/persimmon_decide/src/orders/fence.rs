//! The fencing number of orders.

use persimmon_records::Generation;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Orders with a lower fence are old: first the records' generation counts, then the life of the
/// sidecar that gives them. Lives of a sidecar are ordered; see
/// [`crate::membership::incarnation_at`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// The generation of the records that ask for the order.
    pub generation: Generation,
    /// The life of the sidecar.
    pub incarnation: Incarnation,
}
