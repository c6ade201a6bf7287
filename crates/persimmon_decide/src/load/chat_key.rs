//! The key of a chat.

use std::fmt;

use persimmon_records::{ModelName, WorkspaceName};
use serde::{Deserialize, Serialize};

/// Identifies a chat: a hash of its workspace, its model and its opening messages, up to and
/// including the first user message. The opening doesn't change as the chat grows, so every turn
/// has the same key without stored state. Chats with the same opening share a key and the cached
/// prefix of that opening.
///
/// ```
/// use persimmon_decide::load::ChatKey;
///
/// let key = |opening: &[&str]| ChatKey::of(&"swap-desk".into(), &"chat-large".into(), opening);
/// assert_eq!(key(&["You help.", "Hello"]), key(&["You help.", "Hello"]));
/// assert_ne!(key(&["You help.", "Hello"]), key(&["You help.H", "ello"]));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Returns the key of the chat that opens with these messages.
    pub fn of(workspace: &WorkspaceName, model: &ModelName, opening: &[&str]) -> Self {
        let mut hasher = blake3::Hasher::new();
        let names = [workspace.as_str(), model.as_str()];
        for part in names.iter().chain(opening) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}

/// Formats the key as the 16 hexadecimal digits with which engines export and import the chat's
/// cache.
impl fmt::Display for ChatKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
