//! The router's side of one answer: frames in, the answer in order out.

use std::collections::BTreeMap;
use std::ops::Range;

use thiserror::Error;

use super::{Body, Frame, FrameId, StreamEnd};
use crate::Offset;

/// Frames held back while an earlier one is missing.
const MAX_BUFFERED_FRAMES: usize = 256;

/// Why a frame is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// It answers another request.
    OtherRequest,
    /// It answers another attempt.
    OtherAttempt,
    /// It comes from another life of the sidecar.
    OtherIncarnation,
    /// Its offset was taken before.
    Duplicate,
    /// Too many frames before it are missing.
    TooFarAhead,
    /// It contradicts the end of the answer.
    BeyondEnd,
}

/// Frames dropped, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AssemblyCounts {
    /// Frames of other requests, attempts or lives.
    pub misrouted: u64,
    /// Frames taken before.
    pub duplicate: u64,
    /// Frames too far ahead or beyond the end.
    pub out_of_range: u64,
}

/// What the answer gained by a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inserted {
    /// [`Assembly::pop`] has more to give.
    Ready,
    /// An earlier frame is missing; see [`Assembly::missing`].
    Buffered,
}

/// Part of the answer has reached the caller, so another attempt can't take its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("part of the answer has been given out; resume it or fail the request")]
pub struct RestartError;

/// Puts the frames of one answer in order and drops every other.
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
/// assert!(assembly.is_whole());
/// ```
#[derive(Debug)]
pub struct Assembly {
    id: FrameId,
    buffered: BTreeMap<u64, Body>,
    /// The offset of the next frame to give out.
    next: u64,
    /// The offset of the end, once it is known.
    end: Option<u64>,
    /// The end, once it has been given out.
    ended: Option<StreamEnd>,
    counts: AssemblyCounts,
}

impl Assembly {
    /// An answer without frames, of which only those that match `id` are taken.
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

    /// Goes on from a later offset, for a caller that has the frames before it.
    #[must_use]
    pub fn with_next_offset(mut self, next: Offset) -> Self {
        self.next = next.0;
        self
    }

    /// The offset to resume from.
    pub fn next_offset(&self) -> Offset {
        Offset(self.next)
    }

    /// Frames dropped so far.
    pub fn counts(&self) -> AssemblyCounts {
        self.counts
    }

    /// How the answer ended, once everything before the end has been given out.
    pub fn ended(&self) -> Option<StreamEnd> {
        self.ended
    }

    /// Whether the whole answer has been given out.
    pub fn is_whole(&self) -> bool {
        self.ended == Some(StreamEnd::Whole)
    }

    /// The first offsets that are missing before a frame that is held.
    pub fn missing(&self) -> Option<Range<Offset>> {
        let (&first, _) = self.buffered.first_key_value()?;
        (first > self.next).then_some(Offset(self.next)..Offset(first))
    }

    /// Takes a frame that arrived, on whichever connection.
    ///
    /// # Errors
    ///
    /// [`DropReason`] with the reason, which is also counted.
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

    /// The next piece of the answer, in order; its end comes last.
    pub fn pop(&mut self) -> Option<Body> {
        let body = self.buffered.remove(&self.next)?;
        match &body {
            Body::Data(_) => self.next += 1,
            Body::End(end) => self.ended = Some(*end),
        }
        Some(body)
    }

    /// Starts anew with another attempt, whose answer may differ.
    ///
    /// # Errors
    ///
    /// [`RestartError`] if part of the answer has been given out.
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

    /// An end at an offset that data has taken contradicts it; anything else there is a duplicate.
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
