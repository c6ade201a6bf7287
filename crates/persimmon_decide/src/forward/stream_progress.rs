//! Decides whether a stream whose endpoint's part has ended is complete.

use thiserror::Error;

use super::EventPosition;

/// The reason why a stream that ended without a failed read was broken off all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BrokenOff {
    /// The last event isn't complete.
    #[error("the stream ended inside an event")]
    InsideEvent,
}

/// Progress of one endpoint's part of a stream.
///
/// An endpoint that crashes closes its connections in order, which looks like the proper end of an
/// answer without a length or chunks, and it may frame what it has as complete. So the end of a
/// stream counts as proper only where its events end, whether or not the stream can be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StreamProgress {
    position: EventPosition,
    bytes: u64,
}

impl StreamProgress {
    /// Creates the progress of a part of which nothing has arrived.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records bytes from the endpoint.
    pub fn record(&mut self, bytes: &[u8]) {
        self.position.advance(bytes);
        self.bytes += bytes.len() as u64;
    }

    /// Returns the number of bytes from the endpoint.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reports whether the last byte lies inside an event.
    pub fn is_inside_event(&self) -> bool {
        !self.position.is_between_events()
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
        Ok(())
    }
}
