//! Reads bodies of limited size into memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// Maximum number of pieces of a body. A piece costs far more time and memory than a few bytes, so
/// that a limit on the size alone doesn't limit the cost of tiny chunks.
const MAX_PIECES: usize = 16 * 1024;

/// Maximum time for which the rest of a refused request's body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a body couldn't be read to its end.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// The body exceeds the size limit.
    #[error("the body exceeds the size limit")]
    TooLong,
    /// The body has more than [`MAX_PIECES`] pieces.
    #[error("the body consists of too many pieces")]
    TooManyPieces,
    /// The connection broke, or the body is malformed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// The body is too long or incomplete.
pub(crate) async fn read_body(body: &mut Incoming, max_bytes: usize) -> Result<Bytes, ReadError> {
    let mut read = BytesMut::new();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        // Trailers aren't forwarded.
        let Ok(piece) = frame?.into_data() else { continue };
        pieces += 1;
        if read.len() + piece.len() > max_bytes {
            return Err(ReadError::TooLong);
        }
        if pieces > MAX_PIECES {
            return Err(ReadError::TooManyPieces);
        }
        read.extend_from_slice(&piece);
    }
    Ok(read.freeze())
}

/// Reads and discards the rest of a refused request's body, which its caller may still be sending. A
/// connection that is closed with unread bytes is reset, and the reset can overtake the answer.
pub(crate) fn discard_rest(mut body: Incoming, max_bytes: usize) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(async move {
        let mut left = max_bytes;
        let discarding = async {
            while let Some(Ok(frame)) = body.frame().await {
                let length = frame.data_ref().map_or(0, Bytes::len);
                left = match left.checked_sub(length) {
                    Some(left) => left,
                    None => return,
                };
            }
        };
        if tokio::time::timeout(DISCARD_TIMEOUT, discarding).await.is_err() {
            tracing::debug!(target: "callers", "a refused request's body was too slow");
        }
    });
}
