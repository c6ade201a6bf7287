//! Reads bodies of limited size, and measures heads.

use std::ops::ControlFlow;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use thiserror::Error;

/// Number of pieces from which a body's pieces must have [`MIN_MEAN_PIECE_BYTES`] on average. A piece costs far
/// more time than a few bytes, so that a limit on the size alone doesn't limit the cost of tiny chunks.
const MAX_TINY_PIECES: usize = 16 * 1024;
/// Minimum mean size of the pieces of a body with many of them, in bytes. Callers that write their bodies in
/// chunks send far larger ones.
const MIN_MEAN_PIECE_BYTES: usize = 16;

/// The reason why a body couldn't be read to its end.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The body exceeds the size limit.
    #[error("the body exceeds the size limit")]
    TooLong,
    /// The body has more than [`MAX_TINY_PIECES`] pieces, and these are tiny.
    #[error("the body consists of too many pieces")]
    TooManyPieces,
    /// The connection broke, or the body is malformed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` without keeping it.
///
/// # Errors
///
/// The body is too long or incomplete.
pub async fn discard_body(body: &mut Incoming, max_bytes: usize) -> Result<(), ReadError> {
    read_pieces(body, max_bytes, |_| ControlFlow::Continue(())).await.map(|_| ())
}

/// Reads a body of at most `max_bytes`, and passes its pieces to `append` until that stops. Returns whether
/// it did.
///
/// # Errors
///
/// The body is too long or incomplete.
pub async fn read_pieces(
    body: &mut Incoming,
    max_bytes: usize,
    mut append: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<ControlFlow<()>, ReadError> {
    let (mut bytes, mut pieces) = (0, 0);
    while let Some(frame) = body.frame().await {
        // Trailers aren't forwarded.
        let Ok(piece) = frame?.into_data() else { continue };
        bytes += piece.len();
        pieces += 1;
        if bytes > max_bytes {
            return Err(ReadError::TooLong);
        }
        if pieces > MAX_TINY_PIECES && bytes < pieces * MIN_MEAN_PIECE_BYTES {
            return Err(ReadError::TooManyPieces);
        }
        if append(&piece).is_break() {
            return Ok(ControlFlow::Break(()));
        }
    }
    Ok(ControlFlow::Continue(()))
}

/// Returns the size of all headers, in bytes.
pub fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
