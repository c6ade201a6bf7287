//! Prompts for the tests of forwarding.

use persimmon_decide::forward::PromptPart;

/// Returns a prompt with a short common prefix, a long part numbered `shared_part`, which prompts
/// with the same number share, and a last part numbered `unique_part`.
pub(crate) fn prompt(shared_part: u64, unique_part: u64) -> Vec<PromptPart> {
    vec![
        PromptPart { id: 1, tokens: 500 },
        PromptPart { id: 1_000 + shared_part, tokens: 10_000 },
        PromptPart { id: 1_000_000 + unique_part, tokens: 1_300 },
    ]
}
