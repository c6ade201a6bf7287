//! The body of an answer to a caller that is sent in pieces.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

/// Error for an answer that can't be completed. It closes the caller's connection, so that the
/// answer doesn't look complete.
#[derive(Debug, Error)]
#[error("the answer is truncated: its sender ended before it was complete")]
pub struct TruncatedAnswer;

/// The sending end of a body. The answer counts as complete only after [`Self::complete`]; a sender
/// that is dropped before, for whatever reason, leaves a truncated answer.
#[derive(Debug)]
pub struct PieceSender {
    tx: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl PieceSender {
    /// Sends a piece, waiting for room in the queue.
    ///
    /// # Errors
    ///
    /// The caller has stopped reading.
    pub async fn send(&self, piece: Bytes) -> Result<(), SendError<Bytes>> {
        self.tx.send(piece).await
    }

    /// Ends a complete answer.
    pub fn complete(self) {
        self.is_complete.set(true);
    }
}

/// The receiving end, which is the body.
#[derive(Debug)]
pub struct PieceReceiver {
    rx: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

impl Body for PieceReceiver {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        self.rx.poll_recv(cx).map(|piece| match piece {
            Some(piece) => Some(Ok(Frame::data(piece))),
            None if self.is_complete.get() => None,
            None => Some(Err(TruncatedAnswer)),
        })
    }
}

/// Creates the two ends of a body, with at most `max_pieces` queued.
pub fn piece_channel(max_pieces: usize) -> (PieceSender, PieceReceiver) {
    let (tx, rx) = mpsc::channel(max_pieces);
    let is_complete = Rc::new(Cell::new(false));
    (PieceSender { tx, is_complete: is_complete.clone() }, PieceReceiver { rx, is_complete })
}
