//! The service and software version that began each resumable stream.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::gateway_rank::{GatewayKey, gateway_score};
use crate::{Fingerprint, MonoMs};

/// Identifies a stream by its workspace and the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream. Request ids are chosen by callers, so that only those of one
    /// workspace are distinct.
    pub fn of(workspace: &str, first_id: &str) -> Self {
        Self(Fingerprint::of(format!("{workspace}\0{first_id}").as_bytes()).0)
    }

    /// Returns the `count` gateways of `fleet` other than `own` that remember the stream.
    pub fn holders(self, own: IpAddr, fleet: &[IpAddr], count: usize) -> Vec<IpAddr> {
        self.rank(fleet.iter().copied().filter(|it| *it != own), count)
    }

    /// Returns the `count` addresses with the lowest rendezvous score for the stream, the lowest first.
    pub(super) fn rank(self, addresses: impl Iterator<Item = IpAddr>, count: usize) -> Vec<IpAddr> {
        let score = |ip| gateway_score(self.0, GatewayKey::of(ip));
        let mut scored: Vec<_> = addresses.map(|it| (score(it), it)).collect();
        scored.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        scored.dedup_by_key(|(_, ip)| *ip);
        scored.into_iter().take(count).map(|(_, ip)| ip).collect()
    }
}

/// What began a stream. What two services, or two software versions of one, write doesn't fit
/// together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Software version of the endpoint.
    pub version: Arc<str>,
}

/// Remembers what began each stream, for this gateway and some of its peers.
///
/// Handles callers that take broken streams up again at any gateway while endpoints of several
/// versions serve. A few gateways, chosen by hash, remember each stream, so that the cost of a stream
/// doesn't grow with the fleet, and a stream survives the gateway that began it.
#[derive(Debug, Default)]
pub struct StreamVersions {
    origins: HashMap<StreamKey, (Arc<StreamOrigin>, MonoMs)>,
    /// Streams by the time at which they were last recorded.
    order: BTreeSet<(MonoMs, StreamKey)>,
    /// Streams of this gateway that peers haven't been told of.
    untold: Vec<StreamKey>,
}

impl StreamVersions {
    /// Number of other gateways that remember a stream.
    pub const HOLDERS: usize = 4;
    /// Time for which a stream is remembered after it was last recorded, in milliseconds: longer than callers wait
    /// before they go on with a stream. One in progress is recorded again and again.
    pub const KEPT_MS: u64 = 60_000;
    /// Maximum number of remembered streams; those that were recorded longest ago, and thus have probably ended, are
    /// forgotten.
    pub const MAX_STREAMS: usize = 32_768;

    /// Creates a record without streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint of this origin sends a stream's events through this gateway. Peers
    /// have to be told.
    pub fn record_own(&mut self, stream: StreamKey, origin: &Arc<StreamOrigin>, now: MonoMs) {
        self.record(stream, origin, now);
        self.untold.push(stream);
    }

    /// Records what a peer told of a stream.
    pub fn record(&mut self, stream: StreamKey, origin: &Arc<StreamOrigin>, now: MonoMs) {
        if let Some((_, before)) = self.origins.insert(stream, (origin.clone(), now)) {
            self.order.remove(&(before, stream));
        }
        self.order.insert((now, stream));
        if self.order.len() > Self::MAX_STREAMS {
            self.forget_first();
        }
    }

    /// Returns what began a stream that a caller takes up, if known, and remembers it for as long as one that has
    /// just been recorded.
    pub fn look_up(&mut self, stream: StreamKey, now: MonoMs) -> Option<Arc<StreamOrigin>> {
        let origin = self.origin(stream)?.clone();
        self.record(stream, &origin, now);
        Some(origin)
    }

    /// Returns what began a stream, if known.
    pub fn origin(&self, stream: StreamKey) -> Option<&Arc<StreamOrigin>> {
        self.origins.get(&stream).map(|(origin, _)| origin)
    }

    /// Takes the streams that peers haven't been told of, with their origins.
    pub fn take_untold(&mut self) -> Vec<(StreamKey, Arc<StreamOrigin>)> {
        let untold = std::mem::take(&mut self.untold).into_iter();
        untold.filter_map(|it| Some((it, self.origin(it)?.clone()))).collect()
    }

    /// Forgets streams that ended long ago.
    pub fn expire(&mut self, now: MonoMs) {
        while self.order.first().is_some_and(|(at, _)| now.ms_since(*at) >= Self::KEPT_MS) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, stream)) = self.order.pop_first() {
            self.origins.remove(&stream);
        }
    }

    /// Returns the number of remembered streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Reports whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}
