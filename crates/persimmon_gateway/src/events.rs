//! Splits event streams into complete events.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The reason why a stream can't be forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum EventError {
    /// The number of an event doesn't follow that of the previous one.
    #[error("an event's number doesn't follow that of the previous event")]
    OutOfOrder,
}

/// Splits a byte stream into complete events and tracks the number of the last one.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
    /// Difference between the numbers of consecutive events, once known.
    step: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last`.
    pub(crate) fn new(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last, step: None }
    }

    /// Returns the number of the last complete event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Discards the buffered part of an event, which another endpoint will send again completely.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends bytes and returns all events that are now complete. `end` is the length of the part
    /// of `bytes` that ends with the last complete event, if there is one. The caller limits the size
    /// of an event.
    pub(crate) fn push(&mut self, bytes: &Bytes, end: Option<usize>) -> Result<Bytes, EventError> {
        // Most pieces consist of complete events, which don't have to be copied.
        if self.partial.is_empty() && end == Some(bytes.len()) {
            self.record_events(bytes)?;
            return Ok(bytes.clone());
        }
        let end = end.map(|end| self.partial.len() + end);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end else { return Ok(Bytes::new()) };
        let complete = self.partial.copy_to_bytes(end);
        self.record_events(&complete)?;
        Ok(complete)
    }

    fn record_events(&mut self, events: &[u8]) -> Result<(), EventError> {
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let Some(rest) = line.strip_prefix(b"id:") else { continue };
            let text = std::str::from_utf8(rest).unwrap_or_default().trim();
            // Only streams with numbered events can be resumed; other ids are ignored.
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
