//! Memory of the answers that a gateway buffers.

use std::cell::{Cell, RefCell};
use std::ops::ControlFlow;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use persimmon_decide::forward::{AnswerKey, MemoryBudget};
use persimmon_process::{Clock, TruncatedAnswer};
use slotmap::SecondaryMap;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use persimmon_process::BodyBuffers;

/// Maximum size of a piece of a buffered answer that is passed to the caller's connection, in bytes.
const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Initial memory of an answer, in bytes.
const MIN_CAPACITY: usize = 1024;

/// An answer was given up, since all answers together need too much memory.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer was given up for lack of memory")]
pub(crate) struct GivenUp;

/// The state of a buffered answer that is shared with those that may give it up.
#[derive(Debug, Default)]
struct Shared {
    given_up: CancellationToken,
    /// The rest of a complete answer; empty once it has been given up.
    rest: RefCell<Bytes>,
}

/// All buffered answers of a gateway.
#[derive(Debug)]
pub(crate) struct AnswerBuffers {
    clock: Clock,
    memory: Rc<RefCell<MemoryBudget>>,
    /// Bodies that give way to answers.
    bodies: Rc<BodyBuffers>,
    shared: RefCell<SecondaryMap<AnswerKey, Rc<Shared>>>,
}

impl AnswerBuffers {
    pub(crate) fn new(
        clock: Clock,
        memory: Rc<RefCell<MemoryBudget>>,
        bodies: Rc<BodyBuffers>,
    ) -> Self {
        Self { clock, memory, bodies, shared: RefCell::default() }
    }

    /// Reports whether an answer that holds `bytes` is passed on before it is complete.
    fn passes_on(&self, bytes: usize) -> bool {
        self.memory.borrow().answers().passes_on(bytes)
    }

    /// Sets what an answer holds. Gives bodies and answers up if they need too much memory together.
    fn hold(&self, key: AnswerKey, bytes: usize) {
        let given_up = self.memory.borrow_mut().hold_answer(key, bytes, self.clock.now());
        self.bodies.give_up(given_up.bodies);
        for key in given_up.answers {
            if let Some(shared) = self.shared.borrow_mut().remove(key) {
                shared.given_up.cancel();
                let left_bytes = shared.rest.take().len();
                // Answers that are still being read are logged with their request.
                if left_bytes > 0 {
                    tracing::info!(target: "request", left_bytes,
                        "answer cut off for lack of memory: its caller reads slowly");
                }
            }
        }
    }
}

/// One buffered answer, or the buffered part of a stream. Its memory is free when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferedAnswer {
    buffers: Rc<AnswerBuffers>,
    key: AnswerKey,
    shared: Rc<Shared>,
    held_bytes: Cell<usize>,
    may_pass_on: bool,
    /// Number of bytes of a complete answer that haven't been passed on.
    left_bytes: usize,
}

impl BufferedAnswer {
    /// Begins an answer that holds nothing.
    pub(crate) fn begin(buffers: &Rc<AnswerBuffers>) -> Self {
        let key = buffers.memory.borrow_mut().begin_answer();
        let shared = Rc::new(Shared::default());
        buffers.shared.borrow_mut().insert(key, shared.clone());
        let (buffers, held_bytes) = (buffers.clone(), Cell::new(0));
        Self { buffers, key, shared, held_bytes, may_pass_on: false, left_bytes: 0 }
    }

    /// Sets whether the answer may be passed on before it is complete, if memory is short.
    #[must_use]
    pub(crate) fn with_passing_on(mut self, may_pass_on: bool) -> Self {
        self.may_pass_on = may_pass_on;
        self
    }

    /// Returns the token that is cancelled when the answer is given up.
    pub(crate) fn given_up(&self) -> CancellationToken {
        self.shared.given_up.clone()
    }

    /// Sets the memory that the answer holds, in bytes. This or other answers may be given up.
    pub(crate) fn hold(&self, bytes: usize) {
        if self.held_bytes.replace(bytes) != bytes {
            self.buffers.hold(self.key, bytes);
        }
    }

    /// Returns the memory that the answer holds, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Appends a piece to the part that has been read; frees it if the answer is given up. Stops if the
    /// answer is to be passed on before it is complete.
    pub(crate) fn append(&self, read: &mut Vec<u8>, piece: &[u8]) -> ControlFlow<()> {
        let length = read.len() + piece.len();
        if self.may_pass_on && self.buffers.passes_on(length) {
            self.hold(length);
            read.reserve_exact(piece.len());
            read.extend_from_slice(piece);
            return ControlFlow::Break(());
        }
        if length > read.capacity() {
            let capacity = length.max(2 * read.capacity()).max(MIN_CAPACITY);
            self.hold(capacity);
            read.reserve_exact(capacity - read.len());
        }
        match self.shared.given_up.is_cancelled() {
            true => *read = Vec::new(),
            false => read.extend_from_slice(piece),
        }
        ControlFlow::Continue(())
    }

    /// Stores the complete answer until it has been passed on.
    ///
    /// # Errors
    ///
    /// The answer has been given up.
    pub(crate) fn complete(&mut self, mut read: Vec<u8>) -> Result<(), GivenUp> {
        read.shrink_to_fit();
        self.hold(read.len());
        if self.shared.given_up.is_cancelled() {
            return Err(GivenUp);
        }
        self.left_bytes = read.len();
        *self.shared.rest.borrow_mut() = read.into();
        Ok(())
    }

    /// Returns the number of bytes of a complete answer that haven't been passed on.
    pub(crate) fn left_bytes(&self) -> usize {
        self.left_bytes
    }

    /// Returns the next bytes of a complete answer; none after the last.
    ///
    /// # Errors
    ///
    /// The answer was given up before its end.
    pub(crate) fn next_piece(&mut self) -> Result<Option<Bytes>, TruncatedAnswer> {
        if self.left_bytes == 0 {
            return Ok(None);
        }
        let mut rest = self.shared.rest.borrow_mut();
        if rest.is_empty() {
            return Err(TruncatedAnswer);
        }
        let length = rest.len().min(MAX_PIECE_BYTES);
        // A copy, since a slice keeps the whole answer while it waits for the caller.
        let piece = Bytes::copy_from_slice(&rest[..length]);
        rest.advance(length);
        self.left_bytes -= length;
        Ok(Some(piece))
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.buffers.memory.borrow_mut().end_answer(self.key);
        self.buffers.shared.borrow_mut().remove(self.key);
    }
}
