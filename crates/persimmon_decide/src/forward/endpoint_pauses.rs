//! Pauses that endpoints ask for.

use std::collections::HashMap;

use crate::MonoMs;
use crate::load::EndpointHash;

/// Endpoints that turned a request away and named the time for which they want no further one.
///
/// Handles engines that shed load: until a pause ends, the other endpoints carry the service. If none
/// is left, callers are refused at once and told when the first endpoint is back.
#[derive(Debug, Default)]
pub struct EndpointPauses {
    ends: HashMap<EndpointHash, MonoMs>,
}

impl EndpointPauses {
    /// Maximum length of a pause in milliseconds, so that an absurd value doesn't lose the endpoint
    /// for good.
    pub const MAX_PAUSE_MS: u64 = 600_000;
    /// Time over which callers return after the first endpoint of a service is back, in
    /// milliseconds.
    pub const RETURN_SPREAD_MS: u64 = 500;

    /// Creates a record without pauses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint wants no request for `ms` milliseconds. A pause is never shortened.
    pub fn record(&mut self, endpoint: EndpointHash, ms: u64, now: MonoMs) {
        let end = now.plus_ms(ms.min(Self::MAX_PAUSE_MS));
        let known = self.ends.entry(endpoint).or_insert(end);
        *known = end.max(*known);
    }

    /// Returns the remaining time of an endpoint's pause in milliseconds; none if it has no pause.
    pub fn left_ms(&self, endpoint: EndpointHash, now: MonoMs) -> Option<u64> {
        let end = self.ends.get(&endpoint)?;
        (*end > now).then(|| end.ms_since(now))
    }

    /// Returns the delay after which a caller should return, if the first endpoint is back in
    /// `left_ms`. `draw` is a random number that spreads callers.
    pub fn retry_after_ms(left_ms: u64, draw: u64) -> u64 {
        left_ms + draw % Self::RETURN_SPREAD_MS
    }

    /// Removes pauses that have ended, and those of endpoints for which `is_published` is false.
    pub fn retain(&mut self, is_published: impl Fn(EndpointHash) -> bool, now: MonoMs) {
        self.ends.retain(|endpoint, end| *end > now && is_published(*endpoint));
    }

    /// Returns the number of recorded pauses.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Reports whether no pause is recorded.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}
