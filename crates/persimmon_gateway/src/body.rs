//! Bodies of responses to callers.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;
use tokio::task::AbortHandle;

use crate::callers::CallerConnection;

/// Error for an answer that can't be completed. It closes the caller's connection, so that the
/// answer doesn't look complete.
#[derive(Debug, Error)]
#[error("the answer is truncated: no endpoint could complete it")]
pub(crate) struct TruncatedAnswer;

/// The sending end of a stream's body. The answer counts as complete only after [`Self::complete`];
/// a sender that is dropped before, for whatever reason, leaves a truncated answer.
#[derive(Debug)]
pub(crate) struct PieceSender {
    tx: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl PieceSender {
    /// Sends a piece, waiting for room in the queue.
    ///
    /// # Errors
    ///
    /// The caller has stopped reading.
    pub(crate) async fn send(&self, piece: Bytes) -> Result<(), SendError<Bytes>> {
        self.tx.send(piece).await
    }

    /// Ends a complete answer.
    pub(crate) fn complete(self) {
        self.is_complete.set(true);
    }
}

/// The receiving end of a stream's body.
#[derive(Debug)]
pub(crate) struct PieceReceiver {
    rx: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl PieceReceiver {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        self.rx.poll_recv(cx).map(|piece| match piece {
            Some(piece) => Some(Ok(Frame::data(piece))),
            None if self.is_complete.get() => None,
            None => Some(Err(TruncatedAnswer)),
        })
    }
}

/// Creates the two ends of a stream's body, with at most `max_pieces` queued.
pub(crate) fn piece_channel(max_pieces: usize) -> (PieceSender, PieceReceiver) {
    let (tx, rx) = mpsc::channel(max_pieces);
    let is_complete = Rc::new(Cell::new(false));
    (PieceSender { tx, is_complete: is_complete.clone() }, PieceReceiver { rx, is_complete })
}

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
    Stream { rx: PieceReceiver, _relay: AbortOnDrop },
}

/// A complete answer, or one that arrives in pieces.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    /// The caller's connection, marked idle when the body is dropped.
    connection: Option<Rc<CallerConnection>>,
}

impl AnswerBody {
    /// Creates a body from complete bytes.
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self { content: Content::Complete(Some(bytes)), connection: None }
    }

    /// Creates a body from the pieces that the task `relay` sends to the channel.
    pub(crate) fn stream(rx: PieceReceiver, relay: AbortHandle) -> Self {
        Self { content: Content::Stream { rx, _relay: AbortOnDrop(relay) }, connection: None }
    }

    /// Reports whether the body is a stream of unknown length.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.content, Content::Stream { .. })
    }

    /// Sets the caller's connection, which is marked idle when the body is dropped.
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
            Content::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream { rx, .. } => rx.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}
