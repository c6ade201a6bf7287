//! Limits the memory of all answers that a gateway buffers.

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of an answer in an [`AnswerMemory`].
    pub struct AnswerKey;
}

/// The memory of all buffered answers together.
///
/// Handles hundreds of answers that don't end, or whose callers read slowly, beside sound ones: each is
/// within its own limit, but their sum isn't within the process's memory. The answer that holds most is given
/// up first, so that short answers are served whatever the others do.
#[derive(Debug)]
pub struct AnswerMemory {
    max_bytes: usize,
    held_bytes: usize,
    answers: SlotMap<AnswerKey, usize>,
}

impl AnswerMemory {
    /// Divisor of the process's memory; the quotient is for buffered answers. The rest is for the process
    /// itself, callers' bodies and the buffers of connections.
    const MEMORY_DIVISOR: u64 = 4;

    /// Divisor of the maximum; above the quotient, memory is short.
    const SHORT_DIVISOR: usize = 2;
    /// Minimum size of an answer that is passed on before it is complete, in bytes.
    const MIN_PASSED_BYTES: usize = 32 * 1024;

    /// Creates the state for a process that may use `bytes` of memory.
    pub fn for_process(bytes: u64) -> Self {
        let max_bytes = usize::try_from(bytes / Self::MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self { max_bytes, held_bytes: 0, answers: SlotMap::default() }
    }

    /// Returns the maximum of all answers together, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the memory of all answers, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Reports whether an answer of at least `bytes` is passed on before it is complete, so that its endpoint
    /// waits for its caller. Its request can't be retried then.
    pub fn passes_on(&self, bytes: usize) -> bool {
        bytes >= Self::MIN_PASSED_BYTES && self.held_bytes > self.max_bytes / Self::SHORT_DIVISOR
    }

    /// Begins an answer that holds nothing.
    pub fn begin(&mut self) -> AnswerKey {
        self.answers.insert(0)
    }

    /// Sets the number of bytes that an answer is about to hold. Returns the answers to give up, which count
    /// no longer; this one may be among them. Ignores an answer that has been given up.
    #[must_use]
    pub fn hold(&mut self, answer: AnswerKey, bytes: usize) -> Vec<AnswerKey> {
        let Some(held) = self.answers.get_mut(answer) else { return Vec::new() };
        let before = std::mem::replace(held, bytes);
        self.held_bytes = self.held_bytes - before + bytes;
        let mut given_up = Vec::new();
        while self.held_bytes > self.max_bytes {
            let Some(largest) = self.give_up_largest() else { break };
            given_up.push(largest);
        }
        given_up
    }

    /// Gives up the answer that holds most; none if there is no answer.
    pub(super) fn give_up_largest(&mut self) -> Option<AnswerKey> {
        let (largest, _) = self.answers.iter().max_by_key(|(_, bytes)| **bytes)?;
        self.end(largest);
        Some(largest)
    }

    /// Ends an answer, whose memory is free. Does nothing if it has been given up.
    pub fn end(&mut self, answer: AnswerKey) {
        self.held_bytes -= self.answers.remove(answer).unwrap_or(0);
    }
}
