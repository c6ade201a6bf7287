//! Encoding of updates that gateways fetch from each other.

use bytes::Bytes;
use lz4_flex::block;
use persimmon_decide::forward::StoreUpdate;
use thiserror::Error;

/// Minimum size of an update that is compressed, in bytes.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Maximum size of an encoded update before compression, in bytes.
const MAX_UPDATE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum factor by which the compression shrinks data.
const MAX_COMPRESSION: usize = 255;
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Error for bytes that aren't an update.
#[derive(Debug, Error)]
pub(crate) enum CodecError {
    #[error("the update is empty or of an unknown encoding")]
    Encoding,
    #[error("the update is too long: {0} bytes")]
    TooLong(usize),
    #[error("the update can't be decompressed: {0}")]
    Compression(#[from] block::DecompressError),
    #[error("the update can't be decoded: {0}")]
    Format(#[from] postcard::Error),
}

/// Encodes an update. Large sets of records contain the same names many times.
pub(crate) fn encode(update: &StoreUpdate) -> postcard::Result<Bytes> {
    let plain = postcard::to_extend(update, vec![PLAIN])?;
    if plain.len() < MIN_COMPRESSED_BYTES {
        return Ok(plain.into());
    }
    let mut bytes = vec![COMPRESSED];
    bytes.extend(block::compress_prepend_size(&plain[1..]));
    Ok(bytes.into())
}

/// Decodes an update.
///
/// # Errors
///
/// The bytes aren't an update.
pub(crate) fn decode(bytes: &[u8]) -> Result<StoreUpdate, CodecError> {
    match bytes.split_first() {
        Some((&PLAIN, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((&COMPRESSED, rest)) => {
            let (size, compressed) = block::uncompressed_size(rest)?;
            let max_size = compressed.len().saturating_mul(MAX_COMPRESSION).min(MAX_UPDATE_BYTES);
            if size > max_size {
                return Err(CodecError::TooLong(size));
            }
            Ok(postcard::from_bytes(&block::decompress(compressed, size)?)?)
        }
        _ => Err(CodecError::Encoding),
    }
}
