//! Bodies of answers to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::callers::CallerConnection;

/// The answer can't be completed. The caller's connection is closed, so that the answer doesn't look
/// complete.
#[derive(Debug, Error)]
#[error("the answer broke off")]
pub(crate) struct TruncatedAnswer;

/// The part of a stream that relays it, aborted when the caller no longer reads.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream { rx: mpsc::Receiver<Result<Bytes, TruncatedAnswer>>, _relay: AbortOnDrop },
}

/// A whole answer, or one that arrives piece by piece.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    /// Marks the caller's connection idle once the body is done with.
    connection: Option<Rc<CallerConnection>>,
}

impl AnswerBody {
    /// A body that is here.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self { content: Content::Whole(Some(bytes)), connection: None }
    }

    /// A body whose pieces `relay` sends.
    pub(crate) fn stream(
        rx: mpsc::Receiver<Result<Bytes, TruncatedAnswer>>,
        relay: AbortHandle,
    ) -> Self {
        Self { content: Content::Stream { rx, _relay: AbortOnDrop(relay) }, connection: None }
    }

    /// Tells the connection when the body is done with.
    pub(crate) fn with_connection(mut self, connection: Rc<CallerConnection>) -> Self {
        self.connection = Some(connection);
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.record_answered();
        }
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
            Content::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream { rx, .. } => {
                rx.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}
