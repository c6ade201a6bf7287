//! Software versions that have recently served.

use std::collections::HashMap;
use std::sync::Arc;

use crate::MonoMs;

/// Tracks the software versions of each service's endpoints for as long as a stream may last.
///
/// Handles streams of unknown origin: if a service has had one version only, that version began them.
#[derive(Debug, Default)]
pub struct ServedVersions {
    /// Last time at which an endpoint with this service and version was published.
    seen: HashMap<(Arc<str>, Arc<str>), MonoMs>,
}

impl ServedVersions {
    /// Time for which a version counts after its last endpoint is gone, in milliseconds.
    pub const KEPT_MS: u64 = 60_000;

    /// Creates a record without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint of a service is published with this version.
    pub fn record(&mut self, service: &Arc<str>, version: &Arc<str>, now: MonoMs) {
        self.seen.insert((service.clone(), version.clone()), now);
    }

    /// Returns the only version that has recently served; none if there were several, or none.
    pub fn only(&self, service: &str) -> Option<&Arc<str>> {
        let mut versions = self.seen.keys().filter(|(it, _)| **it == *service);
        let (_, version) = versions.next()?;
        versions.next().is_none().then_some(version)
    }

    /// Removes versions that haven't served for long.
    pub fn expire(&mut self, now: MonoMs) {
        self.seen.retain(|_, at| now.ms_since(*at) < Self::KEPT_MS);
    }
}
