//! One answer's frames, kept by the sidecar until the router has them.

use std::collections::VecDeque;
use std::sync::Arc;

use thiserror::Error;

use super::{Body, StreamEnd};
use crate::{MonoMs, Offset};

/// Bounds of a [`RetainedOutput`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutputLimits {
    /// Bytes kept at once.
    pub max_bytes: usize,
    /// Frames kept at once.
    pub max_frames: usize,
    /// How long nothing may be acknowledged while frames wait, in milliseconds.
    pub silent_ms: u64,
    /// How long a slow reader may hold the endpoint back in all, in milliseconds.
    pub backpressure_ms: u64,
    /// How long frames are kept after the end, in milliseconds.
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

/// Why a frame isn't taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PushError {
    /// Too much waits to be acknowledged.
    #[error("the reader is behind; stop reading from the endpoint until it acknowledges more")]
    Full,
    /// The frame alone is larger than what may be kept.
    #[error("the frame is larger than the bound; split it")]
    TooLarge,
    /// The answer has ended.
    #[error("the answer has ended; drop the frame")]
    Ended,
}

/// Why an answer can't be resumed from an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResumeError {
    /// The frames from there on are no longer all kept.
    #[error("frames before {} are no longer kept; send the request again", .first.0)]
    Gone {
        /// The first offset that is still kept.
        first: Offset,
    },
    /// The answer isn't that long yet.
    #[error("the answer has only {} frames so far; resume from there", .next.0)]
    Ahead {
        /// The offset of the next frame.
        next: Offset,
    },
}

/// Whether an answer is still worth keeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputState {
    /// It is read, or was a short time ago.
    Open,
    /// Its reader is too slow or silent: cancel the request and end it as cancelled.
    Stalled,
    /// It ended long enough ago: forget it.
    Expired,
}

/// Frames of one answer, from the first that is kept to the newest.
///
/// Frames that aren't acknowledged are never dropped. Those that are stay while there is room, so
/// that an answer can also be resumed by a caller that lost what its router had acknowledged.
#[derive(Debug)]
pub struct RetainedOutput {
    limits: OutputLimits,
    frames: VecDeque<Arc<[u8]>>,
    bytes: usize,
    /// The offset of the first frame that is kept.
    first: u64,
    /// The offset of the first frame that isn't acknowledged.
    acknowledged: u64,
    end: Option<(StreamEnd, MonoMs)>,
    /// When frames last began to wait or were acknowledged.
    progress_at: MonoMs,
    backpressure_since: Option<MonoMs>,
    backpressure_ms: u64,
}

impl RetainedOutput {
    /// An answer without frames.
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

    /// The offset of the next frame.
    pub fn next_offset(&self) -> Offset {
        Offset(self.first + self.frames.len() as u64)
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How the answer ended, if it has.
    pub fn end(&self) -> Option<StreamEnd> {
        self.end.map(|(end, _)| end)
    }

    /// Whether the router has every frame of an answer that ended.
    pub fn is_fully_acknowledged(&self) -> bool {
        self.end.is_some() && self.acknowledged >= self.next_offset().0
    }

    /// When the answer ended, if it has.
    pub fn ended_at(&self) -> Option<MonoMs> {
        self.end.map(|(_, at)| at)
    }

    /// Adds a frame.
    ///
    /// # Errors
    ///
    /// [`PushError::Full`] if the reader must acknowledge more first; the frame isn't taken.
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

    /// Records that the router has every frame before `next`.
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

    /// What is kept from `from` on, the end included once it is known.
    ///
    /// # Errors
    ///
    /// [`ResumeError`] if frames from there on are gone or don't exist yet.
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
        // The difference is at most the number of frames kept.
        let skipped = (from.0 - self.first) as usize;
        let data = self.frames.iter().skip(skipped).cloned().map(Body::Data);
        let end = self.end().map(Body::End);
        Ok((from.0..).map(Offset).zip(data.chain(end)))
    }

    /// Whether the answer is still worth keeping at `now`.
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
