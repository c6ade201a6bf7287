//! Splits event streams into complete events.

use bytes::{Buf, Bytes, BytesMut};
use persimmon_decide::forward::EventNumbers;

/// Splits a byte stream into complete events and tracks the number of the last one passed on.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    numbers: EventNumbers,
}

/// Complete events that may be passed on.
#[derive(Debug)]
pub(crate) struct SplitEvents {
    pub(crate) bytes: Bytes,
    /// The numbers to record once the events have been passed on.
    pub(crate) numbers: EventNumbers,
    /// Whether the number of the event after these doesn't follow.
    pub(crate) is_broken: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last`.
    pub(crate) fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), numbers: EventNumbers::new(last) }
    }

    /// Creates a splitter for a stream that can't be resumed.
    pub(crate) fn for_one_part() -> Self {
        Self { partial: BytesMut::new(), numbers: EventNumbers::increasing() }
    }

    /// Returns the memory of the buffered part of an event, in bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns the number of the last event that was passed on.
    pub(crate) fn last(&self) -> Option<u64> {
        self.numbers.last()
    }

    /// Records that events have been passed on.
    pub(crate) fn record_passed(&mut self, numbers: EventNumbers) {
        self.numbers = numbers;
    }

    /// Prepares for the part that another endpoint sends. Discards the buffered part of an event, which it
    /// will send again completely.
    pub(crate) fn begin_next_part(&mut self) {
        self.partial = BytesMut::new();
        self.numbers = self.numbers.at_next_part();
    }

    /// Appends bytes and returns the events that are now complete and follow. `end` is the length of
    /// the part of `bytes` that ends with the last complete event, if there is one. The caller limits
    /// the size of an event.
    pub(crate) fn push(&mut self, bytes: &Bytes, end: Option<usize>) -> SplitEvents {
        let mut complete = self.complete(bytes, end);
        let sound = self.numbers.check(&complete);
        complete.truncate(sound.length);
        SplitEvents { bytes: complete, numbers: sound.numbers, is_broken: sound.is_broken }
    }

    fn complete(&mut self, bytes: &Bytes, end: Option<usize>) -> Bytes {
        // Most pieces consist of complete events, which don't have to be copied.
        if self.partial.is_empty() && end == Some(bytes.len()) {
            return bytes.clone();
        }
        let end = end.map(|end| self.partial.len() + end);
        self.partial.extend_from_slice(bytes);
        let complete = end.map(|end| self.partial.copy_to_bytes(end)).unwrap_or_default();
        if self.partial.is_empty() {
            // The memory belongs to the complete events.
            self.partial = BytesMut::new();
        }
        complete
    }
}
