//! Memory of the bodies that callers send.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::ops::ControlFlow;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{BodyKey, BodyLoss, LostBody, MemoryBudget};
use slotmap::SecondaryMap;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use crate::{Clock, ReadError, read_pieces};

/// Size of the first and of the largest segments of a body without a stated length, in bytes. A segment is
/// as large as those before it together, within these bounds, and is never moved: a growing buffer would
/// need twice its size while it is copied.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// The reason why a caller's body isn't complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is too long or broke off.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Memory or connections are short, and this body was given up.
    #[error("the body was given up for lack of memory or connections")]
    GivenUp(BodyLoss),
}

/// The state of a body that is shared with those that may give it up.
#[derive(Debug, Default)]
struct Shared {
    given_up: CancellationToken,
    loss: Cell<Option<BodyLoss>>,
    segments: RefCell<Vec<Vec<u8>>>,
}

/// All bodies of callers' requests in progress.
#[derive(Debug)]
pub struct BodyBuffers {
    clock: Clock,
    budget: Rc<RefCell<MemoryBudget>>,
    /// Number of copies of a body that count while its request is in progress.
    copies: usize,
    shared: RefCell<SecondaryMap<BodyKey, Rc<Shared>>>,
}

impl BodyBuffers {
    /// Creates a set without bodies, which count in `budget`.
    pub fn new(clock: Clock, budget: Rc<RefCell<MemoryBudget>>) -> Self {
        Self { clock, budget, copies: 1, shared: RefCell::default() }
    }

    /// Sets how many copies of a body its request needs. Each counts.
    #[must_use]
    pub fn with_copies(self, copies: usize) -> Self {
        Self { copies, ..self }
    }

    /// Returns the arrival of a body's last bytes; none if the body is complete or isn't known.
    pub fn arriving_since(&self, key: BodyKey) -> Option<MonoMs> {
        self.budget.borrow().bodies().arriving_since(key)
    }

    /// Returns the receive window of each connection, in bytes.
    pub(crate) fn receive_window_bytes(&self) -> usize {
        self.budget.borrow().receive_window_bytes()
    }

    /// Gives up a body that is still arriving, since its connection has to give way to a new one. Returns
    /// whether it was arriving.
    pub fn give_up_arriving(&self, key: BodyKey) -> bool {
        let lost = self.budget.borrow_mut().give_up_body(key, self.clock.now());
        self.give_up(lost.into_iter().collect());
        lost.is_some()
    }

    /// Sets the number of callers' connections that are open.
    pub(crate) fn set_connections(&self, connections: usize) {
        self.budget.borrow_mut().set_connections(connections);
    }

    /// Frees the memory of bodies, whose requests are refused.
    pub fn give_up(&self, lost: Vec<LostBody>) {
        for body in lost {
            if let Some(shared) = self.shared.borrow_mut().remove(body.key) {
                shared.segments.take();
                shared.loss.set(Some(body.loss));
                shared.given_up.cancel();
            }
        }
    }
}

/// One caller's body. Its memory is free when it is dropped.
#[derive(Debug)]
pub struct BodyBuffer {
    buffers: Rc<BodyBuffers>,
    key: BodyKey,
    shared: Rc<Shared>,
    /// Memory of all segments, in bytes.
    allocated_bytes: Cell<usize>,
}

impl BodyBuffer {
    /// Begins a body of the caller at this address, whose request has a head of `head_bytes`.
    pub fn begin(buffers: &Rc<BodyBuffers>, address: IpAddr, head_bytes: usize) -> Self {
        let now = buffers.clock.now();
        let key = buffers.budget.borrow_mut().begin_body(address, head_bytes, now);
        let shared = Rc::new(Shared::default());
        buffers.shared.borrow_mut().insert(key, shared.clone());
        Self { buffers: buffers.clone(), key, shared, allocated_bytes: Cell::new(0) }
    }

    /// Returns the key by which the body can be given up.
    pub fn key(&self) -> BodyKey {
        self.key
    }

    /// Reads a body of at most `max_bytes`. A stated length is reserved as a whole, so that a request that
    /// doesn't fit is refused before its caller sends it; other bodies reserve memory as they arrive.
    ///
    /// # Errors
    ///
    /// The body is too long or incomplete, or was given up.
    pub async fn read(&self, body: &mut Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
        if body.is_end_stream() {
            return Ok(self.complete());
        }
        let stated = body.size_hint().exact().and_then(|it| usize::try_from(it).ok());
        if stated.is_some_and(|it| it > max_bytes) {
            return Err(ReadError::TooLong.into());
        }
        if let Some(bytes) = stated {
            self.add_segment(bytes)?;
        }
        let reading = read_pieces(body, max_bytes, |piece| match self.append(piece) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        });
        let read = self.shared.given_up.run_until_cancelled(reading).await;
        self.check()?;
        if let Some(read) = read {
            let _is_whole = read?;
        }
        Ok(self.complete())
    }

    /// Returns an error if the body has been given up.
    fn check(&self) -> Result<(), BodyError> {
        self.shared.loss.get().map_or(Ok(()), |loss| Err(BodyError::GivenUp(loss)))
    }

    /// Reserves and allocates memory. This or other bodies may be given up.
    fn add_segment(&self, bytes: usize) -> Result<(), BodyError> {
        let allocated = self.allocated_bytes.get() + bytes;
        let now = self.buffers.clock.now();
        let lost = self.buffers.budget.borrow_mut().hold_body(
            self.key,
            allocated * self.buffers.copies,
            now,
        );
        self.buffers.give_up(lost);
        self.check()?;
        self.allocated_bytes.set(allocated);
        self.shared.segments.borrow_mut().push(Vec::with_capacity(bytes));
        Ok(())
    }

    fn append(&self, mut piece: &[u8]) -> Result<(), BodyError> {
        let now = self.buffers.clock.now();
        self.buffers.budget.borrow_mut().record_progress(self.key, now);
        loop {
            if let Some(last) = self.shared.segments.borrow_mut().last_mut() {
                let free = last.capacity() - last.len();
                let (fits, rest) = piece.split_at(free.min(piece.len()));
                last.extend_from_slice(fits);
                piece = rest;
            }
            if piece.is_empty() {
                return Ok(());
            }
            let bytes = self.allocated_bytes.get().max(piece.len());
            self.add_segment(bytes.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES))?;
        }
    }

    /// Returns the complete body, which isn't given up from now on. Its memory counts until the buffer is
    /// dropped.
    fn complete(&self) -> Bytes {
        let mut segments = self.shared.segments.take();
        let whole = match segments.len() {
            1 => segments.remove(0),
            _ => {
                let mut whole = Vec::with_capacity(segments.iter().map(Vec::len).sum());
                // Each segment is freed as soon as it has been copied.
                segments.into_iter().for_each(|it| whole.extend_from_slice(&it));
                whole
            }
        };
        let whole = whole.into_boxed_slice();
        self.buffers.budget.borrow_mut().complete_body(self.key, whole.len() * self.buffers.copies);
        self.allocated_bytes.set(whole.len());
        whole.into()
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.buffers.budget.borrow_mut().end_body(self.key);
        self.buffers.shared.borrow_mut().remove(self.key);
    }
}
