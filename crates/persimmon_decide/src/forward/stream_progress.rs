//! Decides whether a stream whose endpoint's part has ended is complete.

use thiserror::Error;

use super::EventPosition;

/// The reason why a stream that ended without a failed read was broken off all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BrokenOff {
    /// The last event isn't complete.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// The answer ended before the first event, and nothing says that there is none.
    #[error("the answer ended before the first event")]
    NoEvent,
}

/// Progress of one endpoint's part of a stream.
///
/// An endpoint that crashes closes its connections in order, which looks like the proper end of an
/// answer without a length or chunks, and it may frame what it has as complete. So the end of a
/// stream counts as proper only where its events end, whether or not the stream can be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamProgress {
    /// Position relative to events; none if the answer has none, so that only its framing counts.
    position: Option<EventPosition>,
    /// Whether a part without any byte may be complete.
    may_be_empty: bool,
    bytes: u64,
    /// Number of bytes after the last complete event.
    partial_bytes: usize,
}

impl StreamProgress {
    /// Maximum size of an event, in bytes. Bytes that reach no end of an event within it are no events.
    pub const MAX_EVENT_BYTES: usize = 256 * 1024;

    /// Creates the progress of a part of which nothing has arrived. `has_events` says whether the
    /// answer consists of events, and `may_be_empty` whether it may be complete without any, as
    /// [`AnswerType::may_be_empty`] does.
    ///
    /// [`AnswerType::may_be_empty`]: super::AnswerType::may_be_empty
    pub fn new(has_events: bool, may_be_empty: bool) -> Self {
        let position = has_events.then(EventPosition::default);
        Self { position, may_be_empty, bytes: 0, partial_bytes: 0 }
    }

    /// Records bytes from the endpoint. Returns the length of the part of `bytes` that ends with the
    /// last complete event, as [`EventPosition::advance`] does; none if the answer has no events.
    pub fn record(&mut self, bytes: &[u8]) -> Option<usize> {
        self.bytes += bytes.len() as u64;
        let end = self.position.as_mut()?.advance(bytes);
        self.partial_bytes = match end {
            Some(end) => bytes.len() - end,
            None => self.partial_bytes.saturating_add(bytes.len()),
        };
        end
    }

    /// Reports whether the last, incomplete event exceeds [`Self::MAX_EVENT_BYTES`].
    pub fn is_event_too_long(&self) -> bool {
        self.partial_bytes > Self::MAX_EVENT_BYTES
    }

    /// Returns the number of bytes from the endpoint.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reports whether the last byte lies inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_some_and(|it| !it.is_between_events())
    }

    /// Checks whether the stream is complete if the part ends here.
    ///
    /// # Errors
    ///
    /// The endpoint broke the stream off.
    pub fn check_end(&self) -> Result<(), BrokenOff> {
        if self.is_inside_event() {
            return Err(BrokenOff::InsideEvent);
        }
        if self.bytes == 0 && !self.may_be_empty {
            return Err(BrokenOff::NoEvent);
        }
        Ok(())
    }
}
