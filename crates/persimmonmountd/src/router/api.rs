//! The JSON that callers send and receive, in the customary format of chat completions.

use serde::{Deserialize, Serialize};

use super::canonical_json::CanonicalJson;

/// Default of a request's `max_tokens`, the maximum number of tokens to generate.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Upper limit of a request's `max_tokens`.
pub(crate) const MAX_TOKENS_LIMIT: u32 = 131_072;
/// Maximum number of messages per request.
pub(crate) const MAX_MESSAGES: usize = 4_096;

/// One message of a chat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

/// The body of a chat completion request.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default = "default_max_tokens")]
    pub(crate) max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// The body of a call to a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceRequest {
    pub(crate) operation: String,
    #[serde(default)]
    pub(crate) body: CanonicalJson,
}

/// One line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Piece {
    /// The start of the answer: the engine has processed the prompt.
    Start {
        /// The number of prompt tokens.
        prompt_tokens: u32,
        /// The number of prompt tokens that were in the engine's cache.
        cached_tokens: u32,
    },
    /// One token.
    Token {
        /// The token's position in the answer.
        index: u64,
        /// The token's text.
        text: String,
    },
    /// The end of a complete answer.
    End {
        /// The reason why the engine stopped.
        reason: String,
        /// The number of generated tokens.
        completion_tokens: u32,
    },
}

/// One streamed chunk.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    pub(crate) choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

/// The choice of a streamed chunk.
#[derive(Debug, Serialize)]
pub(crate) struct ChunkChoice<'a> {
    pub(crate) index: u32,
    pub(crate) delta: Delta<'a>,
    pub(crate) finish_reason: Option<&'a str>,
}

/// The part of the message that a chunk adds.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}

/// The complete answer to a request that isn't streamed.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    pub(crate) choices: [CompletionChoice; 1],
    pub(crate) usage: Usage,
}

/// The choice of a complete answer.
#[derive(Debug, Serialize)]
pub(crate) struct CompletionChoice {
    pub(crate) index: u32,
    pub(crate) message: Message,
    pub(crate) finish_reason: String,
}

/// The numbers of tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) total_tokens: u32,
    pub(crate) prompt_tokens_details: PromptTokensDetails,
}

/// The number of prompt tokens that were in the engine's cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct PromptTokensDetails {
    pub(crate) cached_tokens: u32,
}

/// The models that a workspace may use.
#[derive(Debug, Serialize)]
pub(crate) struct ModelList<'a> {
    pub(crate) object: &'static str,
    pub(crate) data: Vec<ModelEntry<'a>>,
}

/// One model of the list.
#[derive(Debug, Serialize)]
pub(crate) struct ModelEntry<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) owned_by: &'static str,
}

/// The response to a claim request, with the sealed claim.
#[derive(Debug, Serialize)]
pub(crate) struct ClaimBody<'a> {
    pub(crate) claim: &'a str,
    pub(crate) expires_in_ms: u64,
}
