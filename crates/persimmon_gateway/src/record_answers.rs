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

/// What an encoded update contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerContent {
    /// Position from which the update starts.
    pub(crate) since: u64,
    /// Position to which it leads.
    pub(crate) revision: u64,
    /// Number of values of the view that were kept though the store has lost them.
    pub(crate) kept: u64,
}

/// A large answer in progress, or a connection that it was sent on.
#[derive(Debug, Clone)]
pub(crate) struct LargeAnswer {
    /// Time at which a piece was last sent.
    sent_at: Rc<Cell<MonoMs>>,
    clock: Clock,
}

/// The large answer that a connection carries, if it carries one.
pub(crate) type ConnectionAnswer = RefCell<Option<LargeAnswer>>;

/// Encoded updates that several peers may ask for, and the answers in progress.
#[derive(Debug, Default)]
pub(crate) struct RecordAnswers {
    kept: RefCell<Vec<(AnswerContent, Bytes)>>,
    /// Times at which pieces of the large answers in progress were last sent.
    large: RefCell<Vec<Weak<Cell<MonoMs>>>>,
}

impl RecordAnswers {
    /// Keeps an encoded update, in place of those that lead to other records.
    pub(crate) fn keep(&self, content: AnswerContent, bytes: &Bytes) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|(it, _)| it.revision == content.revision && it.kept == content.kept);
        if kept.len() == MAX_KEPT {
            kept.remove(0);
        }
        kept.push((content, bytes.clone()));
    }

    /// Returns the encoded update with this content if it is kept.
    pub(crate) fn kept(&self, content: AnswerContent) -> Option<Bytes> {
        let kept = self.kept.borrow();
        kept.iter().find(|(it, _)| *it == content).map(|(_, bytes)| bytes.clone())
    }

    /// Returns the number of large answers that are being sent.
    pub(crate) fn large(&self, now: MonoMs) -> usize {
        let mut large = self.large.borrow_mut();
        large.retain(|it| it.strong_count() > 0);
        let is_sent = |at: Rc<Cell<MonoMs>>| now.ms_since(at.get()) < STALLED_MS;
        large.iter().filter_map(Weak::upgrade).filter(|at| is_sent(at.clone())).count()
    }

    /// Returns the body of a large answer. It counts while its connection is open: what is written ahead of the
    /// link leaves the body at once.
    pub(crate) fn large_body(
        &self,
        bytes: Bytes,
        connection: &ConnectionAnswer,
        clock: Clock,
    ) -> PageBody {
        let answer = LargeAnswer { sent_at: Rc::new(Cell::new(clock.now())), clock };
        self.large.borrow_mut().push(Rc::downgrade(&answer.sent_at));
        *connection.borrow_mut() = Some(answer.clone());
        PageBody { bytes, answer: Some(answer) }
    }
}

/// Body of a page, which is sent in pieces.
#[derive(Debug)]
pub(crate) struct PageBody {
    bytes: Bytes,
    answer: Option<LargeAnswer>,
}

impl From<Bytes> for PageBody {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, answer: None }
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
        if let Some(LargeAnswer { sent_at, clock }) = &self.answer {
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
