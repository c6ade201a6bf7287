//! Generated answers, which are a pure function of the messages and the token limit.

use std::io::Read;

use serde::{Deserialize, Serialize};

/// Maximum length of an answer, in tokens. The engine stops there by itself.
pub const MAX_ANSWER_TOKENS: u32 = 4_096;

/// Vocabulary of the answers. Each word is one token.
const WORDS: [&str; 16] = [
    "swap", "week", "guest", "keys", "house", "coast", "route", "block", "lookup", "member",
    "draft", "reply", "north", "harbour", "market", "garden",
];

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl Message {
    /// Creates a message of `role`.
    pub fn new(role: impl Into<String>, content: impl Into<String>) -> Self {
        Self { role: role.into(), content: content.into() }
    }

    /// Returns the prompt tokens of the message: one for each word and one for the role.
    pub(super) fn tokens(&self) -> u32 {
        let words = self.content.split_whitespace().count();
        u32::try_from(words).unwrap_or(u32::MAX).saturating_add(1)
    }
}

/// Returns the complete answer to `messages`, which has `max_tokens` tokens but at most
/// [`MAX_ANSWER_TOKENS`].
///
/// ```
/// use persimmon_standins::{Message, expected_answer};
///
/// let messages = [Message::new("user", "hello")];
/// let answer = expected_answer(&messages, 3);
/// assert_eq!(answer.split_whitespace().count(), 3);
/// assert_eq!(answer, expected_answer(&messages, 3));
/// ```
pub fn expected_answer(messages: &[Message], max_tokens: u32) -> String {
    answer_words(messages, max_tokens).iter().map(|word| token_text(word)).collect()
}

/// Returns the number of tokens in a prompt that consists of `messages`.
pub fn prompt_tokens(messages: &[Message]) -> u32 {
    messages.iter().map(Message::tokens).fold(0, u32::saturating_add)
}

/// Returns the text of the token for `word`.
pub(super) fn token_text(word: &str) -> String {
    format!("{word} ")
}

/// Returns the words of the answer, one per token.
pub(super) fn answer_words(messages: &[Message], max_tokens: u32) -> Vec<&'static str> {
    let mut hasher = blake3::Hasher::new();
    for message in messages {
        hash_message(&mut hasher, message);
    }
    let mut picks = vec![0; max_tokens.min(MAX_ANSWER_TOKENS) as usize];
    // Reading can't fail, because the output of the hash is unlimited.
    let _ = hasher.finalize_xof().read_exact(&mut picks);
    picks.iter().map(|pick| WORDS[usize::from(*pick) % WORDS.len()]).collect()
}

/// Adds `message` to `hasher` with length prefixes, so that different lists of messages never
/// produce the same input.
pub(super) fn hash_message(hasher: &mut blake3::Hasher, message: &Message) {
    for text in [&message.role, &message.content] {
        hasher.update(&text.len().to_le_bytes());
        hasher.update(text.as_bytes());
    }
}
