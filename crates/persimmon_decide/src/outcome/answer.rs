//! Recorded answers of plain services.

use std::sync::Arc;

/// A recorded answer, which the sidecar returns again to duplicates of the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status of the service's reply.
    pub status: u16,
    /// The body of the service's reply.
    pub body: Arc<[u8]>,
}
