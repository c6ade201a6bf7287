//! What the engine answers: words that follow from the messages alone.

use std::io::Read;

use serde::{Deserialize, Serialize};

/// The longest answer, in tokens; the engine stops there by itself.
pub const MAX_ANSWER_TOKENS: u32 = 4_096;

/// The words that answers are made of, one a token.
const WORDS: [&str; 16] = [
    "swap", "week", "guest", "keys", "house", "coast", "route", "block", "lookup", "member",
    "draft", "reply", "north", "harbour", "market", "garden",
];

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who wrote it, such as `user` or `assistant`.
    pub role: String,
    /// Its text.
    pub content: String,
}

impl Message {
    /// A message by `role`.
    pub fn new(role: impl Into<String>, content: impl Into<String>) -> Self {
        Self { role: role.into(), content: content.into() }
    }

    /// What the message takes up in a prompt: a token for each word and one for the role.
    pub(super) fn tokens(&self) -> u32 {
        let words = self.content.split_whitespace().count();
        u32::try_from(words).unwrap_or(u32::MAX).saturating_add(1)
    }
}

/// The whole answer to `messages`, of `max_tokens` tokens or [`MAX_ANSWER_TOKENS`] if that is less.
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

/// Tokens of a prompt made of `messages`.
pub fn prompt_tokens(messages: &[Message]) -> u32 {
    messages.iter().map(Message::tokens).fold(0, u32::saturating_add)
}

/// The text of the token that is `word`.
pub(super) fn token_text(word: &str) -> String {
    format!("{word} ")
}

/// The words of the answer, one a token.
pub(super) fn answer_words(messages: &[Message], max_tokens: u32) -> Vec<&'static str> {
    let mut hasher = blake3::Hasher::new();
    for message in messages {
        hash_message(&mut hasher, message);
    }
    let mut picks = vec![0; max_tokens.min(MAX_ANSWER_TOKENS) as usize];
    // The output of the hash has no end.
    let _ = hasher.finalize_xof().read_exact(&mut picks);
    picks.iter().map(|pick| WORDS[usize::from(*pick) % WORDS.len()]).collect()
}

/// Feeds `message` to `hasher` so that no two lists of messages are fed the same bytes.
pub(super) fn hash_message(hasher: &mut blake3::Hasher, message: &Message) {
    for text in [&message.role, &message.content] {
        hasher.update(&text.len().to_le_bytes());
        hasher.update(text.as_bytes());
    }
}
