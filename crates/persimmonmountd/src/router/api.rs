//! The JSON that callers send and receive, in the customary layout of chat completions.

use serde::{Deserialize, Serialize};

/// Most tokens that are generated when the caller names no number.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// Most tokens that a caller may ask for.
pub(crate) const MAX_MAX_TOKENS: u32 = 131_072;
/// Most messages of one request.
pub(crate) const MAX_MESSAGES: usize = 4_096;

/// One message of a chat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

/// The body of a chat completion.
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
    pub(crate) body: serde_json::Value,
}

/// One line of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Piece {
    /// The engine has taken the prompt.
    Start {
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Those that the engine's cache held.
        cached_tokens: u32,
    },
    /// One token.
    Token {
        /// Its place in the answer.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Why the engine stopped.
        reason: String,
        /// Tokens generated.
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

/// What a chunk adds to the message.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}

/// A whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    pub(crate) choices: [CompletionChoice; 1],
    pub(crate) usage: Usage,
}

/// The choice of a whole answer.
#[derive(Debug, Serialize)]
pub(crate) struct CompletionChoice {
    pub(crate) index: u32,
    pub(crate) message: Message,
    pub(crate) finish_reason: String,
}

/// Tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) total_tokens: u32,
    pub(crate) prompt_tokens_details: PromptTokensDetails,
}

/// Tokens of the prompt by origin.
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

/// A claim, as the caller keeps it.
#[derive(Debug, Serialize)]
pub(crate) struct ClaimBody<'a> {
    pub(crate) claim: &'a str,
    pub(crate) expires_in_ms: u64,
}
