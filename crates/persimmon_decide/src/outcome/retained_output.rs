//! The frames of one answer, which the sidecar retains until the router acknowledges them.

use std::collections::VecDeque;
use std::sync::Arc;

use thiserror::Error;

use super::{Body, StreamEnd};
use crate::{MonoMs, Offset};

/// Bounds of a [`RetainedOutput`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputLimits {
    /// The maximum number of bytes that are retained at once.
    pub max_bytes: usize,
    /// The maximum number of frames that are retained at once.
    pub max_frames: usize,
    /// The time without an acknowledgement, while frames await one, after which the reader counts
    /// as stalled, in milliseconds.
    pub silent_ms: u64,
    /// The maximum total time for which a slow reader may block the endpoint, in milliseconds.
    pub backpressure_ms: u64,
    /// How long frames are retained after the end, in milliseconds.
    pub linger_ms: u64,
}

impl Default for OutputLimits {
    fn default() -> Self {
        Self {
            max_bytes: 128 << 10,
            max_frames: 4_096,
            silent_ms: 30_000,
            backpressure_ms: 60_000,
            linger_ms: 60_000,
        }
    }
}

/// The reason why a frame can't be added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PushError {
    /// Too many bytes or frames await acknowledgement.
    #[error(
        "the output is full; read no more from the endpoint until the reader acknowledges frames"
    )]
    Full,
    /// The frame alone exceeds [`OutputLimits::max_bytes`].
    #[error("the frame exceeds the byte limit of the output; split it")]
    TooLarge,
    /// The answer has ended.
    #[error("the answer has ended; drop the frame")]
    Ended,
}

/// The reason why an answer can't be resumed from an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResumeError {
    /// The frame at the offset is no longer retained.
    #[error("frames before offset {} are no longer kept; send the request again", .first.0)]
    Gone {
        /// The first offset that is still retained.
        first: Offset,
    },
    /// The offset is beyond the next frame.
    #[error("the answer has only {} frames so far; resume from that offset", .next.0)]
    Ahead {
        /// The offset of the next frame.
        next: Offset,
    },
}

/// The retention state of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputState {
    /// The answer is being read, or ended recently.
    Open,
    /// The reader is too slow or silent: cancel the request and end the answer as cancelled.
    Stalled,
    /// The retention period after the end has passed: evict the answer.
    Expired,
}

/// A bounded buffer of the frames of one answer, from the first that is retained to the newest.
///
/// Unacknowledged frames are never dropped. Acknowledged frames are retained while there is room,
/// so that a caller that lost frames which its router had acknowledged can still resume.
#[derive(Debug)]
pub struct RetainedOutput {
    limits: OutputLimits,
    frames: VecDeque<Arc<[u8]>>,
    bytes: usize,
    /// The offset of the first retained frame.
    first: u64,
    /// The offset of the first unacknowledged frame.
    acknowledged: u64,
    end: Option<(StreamEnd, MonoMs)>,
    /// When a frame was last acknowledged, or was added while none awaited acknowledgement.
    progress_at: MonoMs,
    backpressure_since: Option<MonoMs>,
    backpressure_ms: u64,
}

impl RetainedOutput {
    /// Creates an answer without frames.
    pub fn new(limits: OutputLimits, now: MonoMs) -> Self {
        Self {
            limits,
            frames: VecDeque::new(),
            bytes: 0,
            first: 0,
            acknowledged: 0,
            end: None,
            progress_at: now,
            backpressure_since: None,
            backpressure_ms: 0,
        }
    }

    /// Returns the offset of the next frame.
    pub fn next_offset(&self) -> Offset {
        Offset(self.first + self.frames.len() as u64)
    }

    /// Returns the number of retained bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how the answer ended, if it has.
    pub fn end(&self) -> Option<StreamEnd> {
        self.end.map(|(end, _)| end)
    }

    /// Reports whether the answer ended and the router acknowledged all its frames.
    pub fn is_fully_acknowledged(&self) -> bool {
        self.end.is_some() && self.acknowledged >= self.next_offset().0
    }

    /// Returns when the answer ended, if it has.
    pub fn ended_at(&self) -> Option<MonoMs> {
        self.end.map(|(_, at)| at)
    }

    /// Adds a frame.
    ///
    /// # Errors
    ///
    /// [`PushError::Full`] if the reader must acknowledge frames first; the frame isn't added.
    pub fn push(&mut self, frame: Arc<[u8]>, now: MonoMs) -> Result<Offset, PushError> {
        if self.end.is_some() {
            return Err(PushError::Ended);
        }
        if frame.len() > self.limits.max_bytes {
            return Err(PushError::TooLarge);
        }
        self.reclaim_for(frame.len());
        if !self.fits(frame.len()) {
            self.backpressure_since.get_or_insert(now);
            return Err(PushError::Full);
        }
        let offset = self.next_offset();
        if offset.0 == self.acknowledged {
            self.progress_at = now;
        }
        self.bytes += frame.len();
        self.frames.push_back(frame);
        Ok(offset)
    }

    /// Ends the answer; a second end is ignored.
    pub fn finish(&mut self, end: StreamEnd, now: MonoMs) {
        self.end.get_or_insert((end, now));
    }

    /// Records that the router has received all frames before `next`.
    pub fn acknowledge(&mut self, next: Offset, now: MonoMs) {
        let next = next.0.min(self.next_offset().0);
        if next <= self.acknowledged {
            return;
        }
        self.acknowledged = next;
        self.progress_at = now;
        if let Some(since) = self.backpressure_since.take() {
            self.backpressure_ms = self.backpressure_ms.saturating_add(now.ms_since(since));
        }
    }

    /// Returns the retained frames from `from` on, and the end if the answer has ended.
    ///
    /// # Errors
    ///
    /// [`ResumeError`] if the frame at `from` was dropped or `from` is beyond the next offset.
    pub fn read_from(
        &self,
        from: Offset,
    ) -> Result<impl Iterator<Item = (Offset, Body)> + '_, ResumeError> {
        if from.0 < self.first {
            return Err(ResumeError::Gone { first: Offset(self.first) });
        }
        let next = self.next_offset();
        if from > next {
            return Err(ResumeError::Ahead { next });
        }
        // The cast can't truncate: the difference is at most the number of retained frames.
        let skipped = (from.0 - self.first) as usize;
        let data = self.frames.iter().skip(skipped).cloned().map(Body::Data);
        let end = self.end().map(Body::End);
        Ok((from.0..).map(Offset).zip(data.chain(end)))
    }

    /// Returns the retention state at `now`.
    pub fn state(&self, now: MonoMs) -> OutputState {
        if let Some((_, at)) = self.end {
            let over = now.ms_since(at) >= self.limits.linger_ms;
            return if over { OutputState::Expired } else { OutputState::Open };
        }
        let waiting = self.acknowledged < self.next_offset().0;
        let silent = waiting && now.ms_since(self.progress_at) >= self.limits.silent_ms;
        let backpressure_now_ms = self.backpressure_since.map_or(0, |since| now.ms_since(since));
        let slow =
            self.backpressure_ms.saturating_add(backpressure_now_ms) >= self.limits.backpressure_ms;
        if silent || slow { OutputState::Stalled } else { OutputState::Open }
    }

    fn fits(&self, bytes: usize) -> bool {
        let room = self.limits.max_bytes - self.bytes;
        bytes <= room && self.frames.len() < self.limits.max_frames
    }

    /// Drops acknowledged frames, the oldest first, until `bytes` more fit.
    fn reclaim_for(&mut self, bytes: usize) {
        while !self.fits(bytes) && self.first < self.acknowledged {
            let Some(frame) = self.frames.pop_front() else { return };
            self.bytes -= frame.len();
            self.first += 1;
        }
    }
}
