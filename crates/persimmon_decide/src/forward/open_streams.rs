//! Streams in progress at one gateway, of which others are told again and again.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::{StreamKey, StreamOrigin};
use crate::MonoMs;

#[derive(Debug)]
struct OpenStream {
    origin: Arc<StreamOrigin>,
    /// Number of requests in progress that bring the stream's events.
    requests: u32,
    /// Time at which others were last told.
    told_at: MonoMs,
}

/// Decides when the other gateways and the holders are told again what began a stream that is still in progress.
///
/// Handles streams that outlast the memory of those that were told when they began, or their processes. All streams
/// that are due soon are told together, so that one message to each of the others covers several.
#[derive(Debug, Default)]
pub struct OpenStreams {
    streams: HashMap<StreamKey, OpenStream>,
    /// Streams by the time at which others were last told.
    order: BTreeSet<(MonoMs, StreamKey)>,
}

impl OpenStreams {
    /// Interval at which others are told of a stream in progress, in milliseconds.
    pub const RENEWAL_MS: u64 = 4_000;
    /// Time since the last message from which a stream may be told together with others, in milliseconds.
    const TOGETHER_MS: u64 = Self::RENEWAL_MS / 2;
    /// Interval at which to look for streams that are due, in milliseconds.
    pub const CHECK_INTERVAL_MS: u64 = 500;
    /// Maximum number of streams that are told at one time. With more than eight times as many in progress, the
    /// interval grows.
    pub const MAX_TOGETHER: usize = 2_000;

    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request brings events of a stream, and that others are told now.
    pub fn begin(&mut self, stream: StreamKey, origin: &Arc<StreamOrigin>, now: MonoMs) {
        let new = || OpenStream { origin: origin.clone(), requests: 0, told_at: now };
        self.streams.entry(stream).or_insert_with(new).requests += 1;
        self.record_told(stream, now);
    }

    /// Records that a request that brought events of a stream has ended. Returns what began the stream.
    pub fn end(&mut self, stream: StreamKey) -> Option<Arc<StreamOrigin>> {
        let open = self.streams.get_mut(&stream)?;
        open.requests -= 1;
        let origin = open.origin.clone();
        if open.requests == 0 {
            self.order.remove(&(open.told_at, stream));
            self.streams.remove(&stream);
        }
        Some(origin)
    }

    /// Returns the streams of which others are to be told now.
    pub fn take_due(&mut self, now: MonoMs) -> Vec<(StreamKey, Arc<StreamOrigin>)> {
        let is_due = |at: MonoMs, ms| now.ms_since(at) >= ms;
        let first = self.order.first().map(|(at, _)| *at);
        if !first.is_some_and(|at| is_due(at, Self::RENEWAL_MS)) {
            return Vec::new();
        }
        let due = self.order.iter().take_while(|(at, _)| is_due(*at, Self::TOGETHER_MS));
        let due: Vec<_> = due.take(Self::MAX_TOGETHER).map(|(_, stream)| *stream).collect();
        due.iter().for_each(|it| self.record_told(*it, now));
        due.into_iter().filter_map(|it| Some((it, self.streams.get(&it)?.origin.clone()))).collect()
    }

    /// Returns all streams, with their origins.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &Arc<StreamOrigin>)> {
        self.streams.iter().map(|(stream, open)| (*stream, &open.origin))
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Reports whether no stream is in progress.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn record_told(&mut self, stream: StreamKey, now: MonoMs) {
        let Some(open) = self.streams.get_mut(&stream) else { return };
        self.order.remove(&(open.told_at, stream));
        open.told_at = now;
        self.order.insert((now, stream));
    }
}
