//! How an answer's body shows its end.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use thiserror::Error;

/// The framing of an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A stated length.
    Length,
    /// The chunked transfer coding, whose last chunk shows the end.
    Chunked,
    /// Neither: the body ends with its connection.
    UntilClose,
}

/// A transfer coding other than chunked. The HTTP library doesn't decode it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("unsupported transfer coding")]
pub(crate) struct UnsupportedCoding;

impl Framing {
    /// Reports whether the framing shows the body's end.
    pub(crate) fn is_end_framed(self) -> bool {
        self != Self::UntilClose
    }

    /// Returns the framing that the headers of an answer state.
    ///
    /// # Errors
    ///
    /// The answer has a transfer coding other than chunked.
    pub(crate) fn of(headers: &HeaderMap) -> Result<Self, UnsupportedCoding> {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
            return Err(UnsupportedCoding);
        }
        Ok(if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        })
    }

    /// Returns the name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}
