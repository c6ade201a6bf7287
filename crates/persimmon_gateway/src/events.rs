//! Splits event streams into whole events.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// A stream that can't be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum EventError {
    /// An event is longer than any event of such a stream.
    #[error("an event is too long")]
    TooLong,
    /// An event's number doesn't follow the last one.
    #[error("an event is out of order")]
    OutOfOrder,
}

/// Cuts a byte stream into whole events, and remembers the number of the last one.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
    /// Difference between the numbers of two events, once known.
    step: Option<u64>,
}

impl EventSplitter {
    /// Longest event, in bytes; bounds what is held back for one stream.
    const MAX_EVENT_BYTES: usize = 256 * 1024;

    /// A splitter for a stream that continues after event `last`.
    pub(crate) fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last, step: None }
    }

    /// The last whole event's number.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether part of an event is held back.
    pub(crate) fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the part of an event that was held back, before another endpoint sends it whole.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes in bytes and returns all whole events.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Result<Bytes, EventError> {
        // Most pieces hold whole events, which then needn't be copied.
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_events(bytes)?;
            return Ok(bytes.clone());
        }
        self.partial.extend_from_slice(bytes);
        let end = self.partial.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
        let Some(end) = end else {
            if self.partial.len() > Self::MAX_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(Bytes::new());
        };
        let whole = self.partial.copy_to_bytes(end);
        self.record_events(&whole)?;
        Ok(whole)
    }

    fn record_events(&mut self, events: &[u8]) -> Result<(), EventError> {
        for line in events.split(|byte| *byte == b'\n') {
            let Some(rest) = line.strip_prefix(b"id:") else { continue };
            let text = std::str::from_utf8(rest).unwrap_or_default().trim();
            // Numbers are needed only to continue a stream; other identities can't be continued.
            let Ok(number) = text.parse::<u64>() else { continue };
            if self.last.is_some_and(|last| number <= last) {
                return Err(EventError::OutOfOrder);
            }
            if let Some(last) = self.last {
                let step = *self.step.get_or_insert(number - last);
                if number - last != step {
                    return Err(EventError::OutOfOrder);
                }
            }
            self.last = Some(number);
        }
        Ok(())
    }
}
