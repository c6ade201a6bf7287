//! Answers to peers that fetch records.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use persimmon_decide::MonoMs;
use persimmon_process::Clock;

/// Number of encoded updates that are kept for further peers.
const MAX_KEPT: usize = 4;
/// Size of a piece of an answer, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Time without progress after which an answer doesn't occupy the link any more, in milliseconds.
const STALLED_MS: u64 = 500;

/// An encoded update.
#[derive(Debug)]
struct Kept {
    since: u64,
    revision: u64,
    bytes: Bytes,
}

/// Encoded updates that several peers may ask for, and the answers in progress.
#[derive(Debug, Default)]
pub(crate) struct RecordAnswers {
    kept: RefCell<Vec<Kept>>,
    /// Times at which pieces of the large answers in progress were last sent.
    large: RefCell<Vec<Weak<Cell<MonoMs>>>>,
}

impl RecordAnswers {
    /// Keeps an encoded update from `since` to `revision`, in place of those that lead to earlier revisions.
    pub(crate) fn keep(&self, since: u64, revision: u64, bytes: &Bytes) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|it| it.revision == revision);
        if kept.len() == MAX_KEPT {
            kept.remove(0);
        }
        kept.push(Kept { since, revision, bytes: bytes.clone() });
    }

    /// Returns the encoded update from `since` to `revision` if it is kept.
    pub(crate) fn kept(&self, since: u64, revision: u64) -> Option<Bytes> {
        let kept = self.kept.borrow();
        let found = kept.iter().find(|it| it.since == since && it.revision == revision);
        found.map(|it| it.bytes.clone())
    }

    /// Returns the number of large answers that are being sent.
    pub(crate) fn large(&self, now: MonoMs) -> usize {
        let mut large = self.large.borrow_mut();
        large.retain(|it| it.strong_count() > 0);
        let is_sent = |at: Rc<Cell<MonoMs>>| now.ms_since(at.get()) < STALLED_MS;
        large.iter().filter_map(Weak::upgrade).filter(|at| is_sent(at.clone())).count()
    }

    /// Returns the body of a large answer, which counts until it has been sent.
    pub(crate) fn large_body(&self, bytes: Bytes, clock: Clock) -> PageBody {
        let sent_at = Rc::new(Cell::new(clock.now()));
        self.large.borrow_mut().push(Rc::downgrade(&sent_at));
        PageBody { bytes, progress: Some((sent_at, clock)) }
    }
}

/// Body of a page, which is sent in pieces.
#[derive(Debug)]
pub(crate) struct PageBody {
    bytes: Bytes,
    progress: Option<(Rc<Cell<MonoMs>>, Clock)>,
}

impl From<Bytes> for PageBody {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, progress: None }
    }
}

impl Body for PageBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        if let Some((sent_at, clock)) = &self.progress {
            sent_at.set(clock.now());
        }
        let length = self.bytes.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
