//! How an answer's body shows its end.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

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

impl Framing {
    /// Returns the framing that the headers of an answer state.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
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
