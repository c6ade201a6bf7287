//! A router that receives an answer's frames.

use flume::TrySendError;
use persimmon_decide::Offset;
use persimmon_decide::outcome::{Body, FrameId, RetainedOutput};
use persimmon_wire::{Frame, FrameBody};

use super::command::FrameTx;

/// State of a subscriber after [`Subscriber::feed`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedResult {
    /// Every retained frame was sent, or the channel is full.
    Waiting,
    /// The end of the answer was sent.
    Finished,
    /// The router disconnected, or the next frame is no longer retained.
    Gone,
}

/// A router that receives an answer's frames, starting at an offset.
#[derive(Debug)]
pub(crate) struct Subscriber {
    id: FrameId,
    frames: FrameTx,
    next: Offset,
}

impl Subscriber {
    /// Creates a subscriber that already has every frame before `next`.
    pub(crate) fn new(id: FrameId, frames: FrameTx, next: Offset) -> Self {
        Self { id, frames, next }
    }

    /// Sends retained frames until the channel is full.
    pub(crate) fn feed(&mut self, output: &RetainedOutput) -> FeedResult {
        let Ok(retained) = output.read_from(self.next) else {
            return FeedResult::Gone;
        };
        for (offset, body) in retained {
            let is_end = matches!(body, Body::End(_));
            match self.frames.try_send(self.frame(offset, body)) {
                Ok(()) if is_end => return FeedResult::Finished,
                Ok(()) => self.next = Offset(offset.0 + 1),
                Err(TrySendError::Full(_)) => return FeedResult::Waiting,
                Err(TrySendError::Disconnected(_)) => return FeedResult::Gone,
            }
        }
        FeedResult::Waiting
    }

    fn frame(&self, offset: Offset, body: Body) -> Frame {
        let body = match body {
            Body::Data(data) => FrameBody::Data(data),
            Body::End(end) => FrameBody::End(end),
        };
        Frame { id: self.id, offset, body }
    }
}
