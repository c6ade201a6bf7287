//! Reassembly of an answer from its frames, at the router.

use std::collections::BTreeMap;
use std::ops::Range;

use thiserror::Error;

use super::{Body, Frame, FrameId, StreamEnd};
use crate::Offset;

/// The maximum number of frames that are buffered while an earlier one is missing.
const MAX_BUFFERED_FRAMES: usize = 256;

/// The reason why a frame is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The frame belongs to another request.
    OtherRequest,
    /// The frame belongs to another attempt.
    OtherAttempt,
    /// The frame comes from another incarnation of the sidecar.
    OtherIncarnation,
    /// A frame with the same offset was received before.
    Duplicate,
    /// The frame is too far beyond the next expected offset to be buffered.
    TooFarAhead,
    /// The frame contradicts the end of the answer.
    BeyondEnd,
}

/// The numbers of dropped frames, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AssemblyCounts {
    /// Frames of other requests, attempts or incarnations.
    pub misrouted: u64,
    /// Frames that were received before.
    pub duplicate: u64,
    /// Frames that are too far ahead or contradict the end.
    pub out_of_range: u64,
}

/// Whether the answer can proceed after a frame was inserted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inserted {
    /// The next frame in order is available from [`Assembly::pop`].
    Ready,
    /// An earlier frame is missing; see [`Assembly::missing`].
    Buffered,
}

/// The error for a restart after part of the answer was passed on: another attempt may give a
/// different answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("part of the answer has been passed on; resume the answer or fail the request")]
pub struct RestartError;

/// A reassembly buffer: puts the frames of one answer in order and drops all others.
///
/// ```
/// use persimmon_decide::outcome::{Assembly, Body, Frame, FrameId, StreamEnd};
/// use persimmon_decide::{Attempt, Incarnation, Offset, RequestId};
///
/// let id = FrameId { request: RequestId(1), attempt: Attempt(1), incarnation: Incarnation(7) };
/// let mut assembly = Assembly::new(id);
/// let end = Frame { id, offset: Offset(0), body: Body::End(StreamEnd::Whole) };
/// assembly.insert(end).unwrap();
/// assert_eq!(assembly.pop(), Some(Body::End(StreamEnd::Whole)));
/// assert!(assembly.is_complete());
/// ```
#[derive(Debug)]
pub struct Assembly {
    id: FrameId,
    buffered: BTreeMap<u64, Body>,
    /// The offset of the next frame that [`Self::pop`] returns.
    next: u64,
    /// The offset of the end frame, once received.
    end: Option<u64>,
    /// The end, once [`Self::pop`] has returned it.
    ended: Option<StreamEnd>,
    counts: AssemblyCounts,
}

impl Assembly {
    /// Creates an empty assembly that accepts only frames with this `id`.
    pub fn new(id: FrameId) -> Self {
        Self {
            id,
            buffered: BTreeMap::new(),
            next: 0,
            end: None,
            ended: None,
            counts: AssemblyCounts::default(),
        }
    }

    /// Starts at a later offset, for a caller that already has the frames before it.
    #[must_use]
    pub fn with_next_offset(mut self, next: Offset) -> Self {
        self.next = next.0;
        self
    }

    /// Returns the offset to resume from.
    pub fn next_offset(&self) -> Offset {
        Offset(self.next)
    }

    /// Returns the numbers of frames dropped so far.
    pub fn counts(&self) -> AssemblyCounts {
        self.counts
    }

    /// Returns how the answer ended, once [`Self::pop`] has returned all of it.
    pub fn ended(&self) -> Option<StreamEnd> {
        self.ended
    }

    /// Reports whether [`Self::pop`] has returned the complete answer.
    pub fn is_complete(&self) -> bool {
        self.ended == Some(StreamEnd::Whole)
    }

    /// Returns the first range of offsets that is missing before a buffered frame.
    pub fn missing(&self) -> Option<Range<Offset>> {
        let (&first, _) = self.buffered.first_key_value()?;
        (first > self.next).then_some(Offset(self.next)..Offset(first))
    }

    /// Inserts a frame, received on any connection.
    ///
    /// # Errors
    ///
    /// [`DropReason`] if the frame is dropped; [`Self::counts`] includes it.
    pub fn insert(&mut self, frame: Frame) -> Result<Inserted, DropReason> {
        if let Some(reason) = self.reason_to_drop(&frame) {
            self.count(reason);
            return Err(reason);
        }
        let offset = frame.offset.0;
        if matches!(frame.body, Body::End(_)) {
            self.end = Some(offset);
        }
        self.buffered.insert(offset, frame.body);
        Ok(if self.buffered.contains_key(&self.next) {
            Inserted::Ready
        } else {
            Inserted::Buffered
        })
    }

    /// Removes and returns the next frame in order; the end is the last one.
    pub fn pop(&mut self) -> Option<Body> {
        let body = self.buffered.remove(&self.next)?;
        match &body {
            Body::Data(_) => self.next += 1,
            Body::End(end) => self.ended = Some(*end),
        }
        Some(body)
    }

    /// Discards all frames and starts again with another attempt, whose answer may differ.
    ///
    /// # Errors
    ///
    /// [`RestartError`] if [`Self::pop`] has returned part of the answer.
    pub fn restart(&mut self, id: FrameId) -> Result<(), RestartError> {
        if self.next > 0 || self.ended.is_some() {
            return Err(RestartError);
        }
        let counts = self.counts;
        *self = Self { counts, ..Self::new(id) };
        Ok(())
    }

    fn reason_to_drop(&self, frame: &Frame) -> Option<DropReason> {
        let offset = frame.offset.0;
        if frame.id.request != self.id.request {
            return Some(DropReason::OtherRequest);
        }
        if frame.id.attempt != self.id.attempt {
            return Some(DropReason::OtherAttempt);
        }
        if frame.id.incarnation != self.id.incarnation {
            return Some(DropReason::OtherIncarnation);
        }
        if offset < self.next || self.ended.is_some() || self.buffered.contains_key(&offset) {
            return Some(self.reason_at_known_offset(frame));
        }
        if self.contradicts_end(frame) {
            return Some(DropReason::BeyondEnd);
        }
        (offset - self.next >= MAX_BUFFERED_FRAMES as u64).then_some(DropReason::TooFarAhead)
    }

    /// Returns the reason for a frame at an offset that was received before: an end frame at the
    /// offset of a data frame contradicts the answer, any other frame is a duplicate.
    fn reason_at_known_offset(&self, frame: &Frame) -> DropReason {
        let is_end = matches!(frame.body, Body::End(_));
        let same_offset = self.end == Some(frame.offset.0);
        if is_end && !same_offset { DropReason::BeyondEnd } else { DropReason::Duplicate }
    }

    fn contradicts_end(&self, frame: &Frame) -> bool {
        let offset = frame.offset.0;
        match frame.body {
            Body::Data(_) => self.end.is_some_and(|end| offset >= end),
            Body::End(_) => {
                let last_buffered = self.buffered.last_key_value().map(|(&last, _)| last);
                self.end.is_some() || last_buffered.is_some_and(|last| last > offset)
            }
        }
    }

    fn count(&mut self, reason: DropReason) {
        let counter = match reason {
            DropReason::OtherRequest | DropReason::OtherAttempt | DropReason::OtherIncarnation => {
                &mut self.counts.misrouted
            }
            DropReason::Duplicate => &mut self.counts.duplicate,
            DropReason::TooFarAhead | DropReason::BeyondEnd => &mut self.counts.out_of_range,
        };
        *counter += 1;
    }
}
