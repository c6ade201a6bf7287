//! Reads bodies of limited size into memory.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Maximum number of pieces of a body. A piece costs far more time and memory than a few bytes, so
/// that a limit on the size alone doesn't limit the cost of tiny chunks.
const MAX_PIECES: usize = 16 * 1024;

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
