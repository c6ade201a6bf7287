//! Prompts for the tests of forwarding.

use persimmon_decide::forward::PromptPart;

/// Returns a prompt with a short common prefix, a long shared part `subject`, and a part of its
/// own.
pub(crate) fn prompt(subject: u64, own: u64) -> Vec<PromptPart> {
    vec![
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 1_000 + subject, tokens: 10_000 },
        PromptPart { id: 1_000_000 + own, tokens: 1_300 },
    ]
}
