//! Divides the memory of a process among callers' bodies and endpoints' answers.

use std::net::IpAddr;

use super::answer_memory::{AnswerKey, AnswerMemory};
use super::body_memory::{BodyKey, BodyMemory, LostBody};
use crate::MonoMs;

/// What a gateway has to free.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct GivenUp {
    /// Answers that are given up.
    pub answers: Vec<AnswerKey>,
    /// Bodies that are given up.
    pub bodies: Vec<LostBody>,
}

/// The memory of all bodies and answers that a process holds, or one of its threads.
///
/// Handles crowds of callers and endpoints that fill the memory from both sides. Bodies and answers have a
/// maximum each, and a lower one together. A body that is still arriving gives way before an answer does,
/// since its request hasn't run.
#[derive(Debug)]
pub struct MemoryBudget {
    process_bytes: usize,
    idle_bytes: usize,
    /// Memory of a caller's connection, whose buffers hold a head and the beginning of an answer, in bytes.
    connection_bytes: usize,
    max_body_bytes: usize,
    connections: usize,
    answers: AnswerMemory,
    bodies: BodyMemory,
}

impl MemoryBudget {
    /// Divisor of the process's memory; bodies and answers together hold at most the quotient. The rest is
    /// for the process itself, the buffers of connections, and the copy that is made when a body in chunks
    /// is complete.
    const DIVISOR: usize = 2;
    /// Divisor of the process's memory; bodies and answers together may hold the quotient however many
    /// connections are open.
    const MIN_DIVISOR: usize = 8;
    /// Part of the process's memory for bodies: 50 MB of the 160 MB of the smallest VM.
    const BODY_PART: (usize, usize) = (5, 16);
    /// Memory of the process without callers, and what the allocator keeps after large bodies, in bytes.
    const IDLE_BYTES: usize = 24 * 1024 * 1024;
    /// Memory of a caller's connection beside the largest head, in bytes.
    const CONNECTION_BYTES: usize = 16 * 1024;
    /// Limit on a head unless it is set, in bytes.
    const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
    /// Memory of a body that is being read beside its bytes and its head: the buffers of its connection and
    /// its task.
    const READING_BYTES: usize = 32 * 1024;

    /// Divisor of the process's memory; the receive windows of all callers' connections are the quotient together.
    const RECEIVE_DIVISOR: usize = 20;
    /// Number of connections up to which receive windows have their full size.
    const FULL_RECEIVE_CONNECTIONS: usize = 64;
    /// Minimum and maximum receive window of a connection, in bytes.
    const MIN_RECEIVE_BYTES: usize = 4 * 1024;
    const MAX_RECEIVE_BYTES: usize = 128 * 1024;

    /// Creates the state for a process that may use `bytes` of memory.
    pub fn for_process(bytes: u64) -> Self {
        Self::for_thread(bytes, 1)
    }

    /// Creates the state for one of `threads` threads with the same load, which share a process that may use
    /// `bytes` of memory.
    pub fn for_thread(bytes: u64, threads: usize) -> Self {
        let bytes = bytes / threads.max(1) as u64;
        let process_bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let (part, whole) = Self::BODY_PART;
        Self {
            process_bytes,
            idle_bytes: Self::IDLE_BYTES / threads.max(1),
            connection_bytes: Self::CONNECTION_BYTES + Self::DEFAULT_HEAD_BYTES,
            max_body_bytes: process_bytes / whole * part,
            connections: 0,
            answers: AnswerMemory::for_process(bytes),
            bodies: BodyMemory::default(),
        }
    }

    /// Sets the maximum size of a request's head, in bytes.
    #[must_use]
    pub fn with_head_bytes(self, bytes: usize) -> Self {
        Self { connection_bytes: Self::CONNECTION_BYTES + bytes, ..self }
    }

    /// Returns the number of callers' connections that the memory bears beside the minimum for bodies and
    /// answers, if each holds an unfinished head.
    pub fn max_connections(&self) -> usize {
        let left = self.process_bytes.saturating_sub(self.idle_bytes);
        let unread = self.unread_bytes(left / self.connection_bytes);
        let left = left.saturating_sub(self.process_bytes / Self::MIN_DIVISOR + unread);
        (left / self.connection_bytes).max(Self::FULL_RECEIVE_CONNECTIONS)
    }

    /// Returns the maximum of bodies and answers together, in bytes.
    pub fn max_bytes(&self) -> usize {
        let connections = self.connections.saturating_mul(self.connection_bytes);
        let others = self
            .idle_bytes
            .saturating_add(connections)
            .saturating_add(self.unread_bytes(self.connections));
        let left = self.process_bytes.saturating_sub(others);
        left.clamp(self.process_bytes / Self::MIN_DIVISOR, self.process_bytes / Self::DIVISOR)
    }

    /// Sets the number of callers' connections that are open. Many of them leave less for bodies and
    /// answers.
    pub fn set_connections(&mut self, connections: usize) {
        self.connections = connections;
    }

    /// Returns the receive window of each caller's connection, in bytes: how much may have arrived that the
    /// process hasn't read.
    ///
    /// Handles callers that send on while the process doesn't read, since a request is in progress or its
    /// answer isn't read: what has arrived counts towards the memory. Windows shrink in steps as more
    /// connections are open. What a connection received before stays, so that all may hold more than the
    /// quotient: half of it for each step.
    pub fn receive_window_bytes(&self) -> usize {
        let bytes =
            self.process_bytes / Self::RECEIVE_DIVISOR / Self::receive_shares(self.connections);
        bytes.clamp(Self::MIN_RECEIVE_BYTES, Self::MAX_RECEIVE_BYTES)
    }

    /// Returns the memory for bytes that have arrived on connections and that the process hasn't read.
    fn unread_bytes(&self, connections: usize) -> usize {
        let steps =
            (Self::receive_shares(connections) / Self::FULL_RECEIVE_CONNECTIONS).ilog2() as usize;
        let full = self.process_bytes / Self::RECEIVE_DIVISOR;
        full + full / 2 * steps
    }

    /// Returns the number of connections among which receive windows are divided, which grows in steps.
    fn receive_shares(connections: usize) -> usize {
        connections.max(Self::FULL_RECEIVE_CONNECTIONS).next_power_of_two()
    }

    /// Returns the memory of bodies and answers together, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.bodies.held_bytes() + self.answers.held_bytes()
    }

    /// Returns the memory of answers.
    pub fn answers(&self) -> &AnswerMemory {
        &self.answers
    }

    /// Returns the memory of bodies.
    pub fn bodies(&self) -> &BodyMemory {
        &self.bodies
    }

    /// Returns the maximum of all bodies beside the present answers, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes.min(self.max_bytes().saturating_sub(self.answers.held_bytes()))
    }

    /// Begins a body of the caller at this address, of which only the request's head is held. A request
    /// without a body is complete with its head, which is never too much on its own.
    pub fn begin_body(&mut self, address: IpAddr, head_bytes: usize, now: MonoMs) -> BodyKey {
        self.bodies.begin(address, head_bytes, now)
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, body: BodyKey, now: MonoMs) {
        self.bodies.record_progress(body, now);
    }

    /// Sets the bytes that are about to be allocated for a body that is being read. Returns the bodies to
    /// give up; this one may be among them.
    #[must_use]
    pub fn hold_body(&mut self, body: BodyKey, bytes: usize, now: MonoMs) -> Vec<LostBody> {
        self.bodies.set(body, bytes + Self::READING_BYTES);
        self.bodies.shrink_to(self.max_body_bytes(), now)
    }

    /// Records that a body of `bytes` is complete. It isn't given up from now on.
    pub fn complete_body(&mut self, body: BodyKey, bytes: usize) {
        self.bodies.set(body, bytes);
        self.bodies.complete(body);
    }

    /// Gives up a body whose connection has to give way to a new one. Returns none if the body is complete,
    /// or isn't known.
    #[must_use]
    pub fn give_up_body(&mut self, body: BodyKey, now: MonoMs) -> Option<LostBody> {
        self.bodies.give_up(body, now)
    }

    /// Ends a body, whose memory is free. Does nothing if it has been given up.
    pub fn end_body(&mut self, body: BodyKey) {
        self.bodies.end(body);
    }

    /// Begins an answer that holds nothing.
    pub fn begin_answer(&mut self) -> AnswerKey {
        self.answers.begin()
    }

    /// Sets the number of bytes that an answer is about to hold. Returns what to give up; this answer may be
    /// among it.
    #[must_use]
    pub fn hold_answer(&mut self, answer: AnswerKey, bytes: usize, now: MonoMs) -> GivenUp {
        let mut answers = self.answers.hold(answer, bytes);
        let bodies = self.bodies.shrink_to(self.max_body_bytes(), now);
        while self.held_bytes() > self.max_bytes() {
            let Some(largest) = self.answers.give_up_largest() else { break };
            answers.push(largest);
        }
        GivenUp { answers, bodies }
    }

    /// Ends an answer, whose memory is free. Does nothing if it has been given up.
    pub fn end_answer(&mut self, answer: AnswerKey) {
        self.answers.end(answer);
    }
}
