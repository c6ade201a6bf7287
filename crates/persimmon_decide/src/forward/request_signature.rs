//! What requests have in common that crash endpoints.

use std::fmt;
use std::sync::Arc;

use super::PromptPart;
use crate::Fingerprint;

/// What a request consists of that may crash an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSignature {
    /// Fingerprint that is equal for a request and its repetitions.
    pub content: Fingerprint,
    /// IDs of the prompt's parts that other prompts may share: all but the last.
    pub parts: Arc<[u64]>,
}

impl RequestSignature {
    /// Creates the signature of a request with this prompt.
    pub fn new(content: Fingerprint, prompt: &[PromptPart]) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        Self { content, parts: shared.iter().map(|part| part.id).collect() }
    }
}

/// What is refused because endpoints crashed while they ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Quarantined {
    /// Requests with this content.
    Content(Fingerprint),
    /// Requests whose prompts contain this part, before the last one.
    Part(u64),
}

impl fmt::Display for Quarantined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(content) => write!(f, "{:016x}", content.0),
            Self::Part(part) => write!(f, "part:{part:x}"),
        }
    }
}
