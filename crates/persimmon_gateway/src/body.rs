//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use persimmon_process::{PieceReceiver, TruncatedAnswer};
use tokio::task::AbortHandle;

use crate::answer_buffer::BufferedAnswer;

/// Aborts a task when dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
enum Content {
    Complete(Option<Bytes>),
    Buffered(BufferedAnswer),
    Stream { rx: PieceReceiver, _relay: AbortOnDrop },
}

/// A complete answer, or one that arrives in pieces.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
}

impl AnswerBody {
    /// Creates a body from complete bytes.
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self { content: Content::Complete(Some(bytes)) }
    }

    /// Creates a body from an answer that has been read.
    pub(crate) fn buffered(answer: BufferedAnswer) -> Self {
        Self { content: Content::Buffered(answer) }
    }

    /// Creates a body from the pieces that the task `relay` sends to the channel.
    pub(crate) fn stream(rx: PieceReceiver, relay: AbortHandle) -> Self {
        Self { content: Content::Stream { rx, _relay: AbortOnDrop(relay) } }
    }

    /// Reports whether the body is a stream of unknown length.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.content, Content::Stream { .. })
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match &mut self.content {
            Content::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Buffered(answer) => {
                Poll::Ready(answer.next_piece().transpose().map(|it| it.map(Frame::data)))
            }
            Content::Stream { rx, .. } => Pin::new(rx).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Buffered(answer) => answer.left_bytes() == 0,
            Content::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Buffered(answer) => SizeHint::with_exact(answer.left_bytes() as u64),
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}
