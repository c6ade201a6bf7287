//! Which of the bodies that a gateway is reading give way when memory is short.

use std::collections::HashMap;
use std::net::IpAddr;

use slotmap::{SlotMap, new_key_type};

use crate::MonoMs;

new_key_type! {
    /// Key of a body in a [`BodyMemory`].
    pub struct BodyKey;
}

/// Why a body was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLoss {
    /// It had stopped before its end.
    Stalled,
    /// It was still arriving.
    NoMemory,
    /// It was still arriving, and its connection gave way to a new one.
    NoConnection,
}

/// A body that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostBody {
    /// Key of the body, which is no longer known.
    pub key: BodyKey,
    /// The reason.
    pub loss: BodyLoss,
}

#[derive(Debug)]
struct Body {
    address: IpAddr,
    /// Memory of the body and of its request's head.
    bytes: usize,
    head_bytes: usize,
    /// Arrival of its last bytes, or its begin.
    progress_at: MonoMs,
    /// Number of bodies that began before it.
    order: u64,
    /// Whether it may be needed by an endpoint, so that it isn't given up.
    is_complete: bool,
}

/// The memory of all bodies that callers send, together with the heads of their requests.
///
/// Handles crowds of callers whose bodies are each within the limit, but not all together, most of which
/// stop before their end: memory is counted as it is allocated. What doesn't fit is taken from the address
/// that holds most. Of its bodies, the one that stalled first gives way, then the largest, then the latest,
/// so that a body whose length is stated and doesn't fit doesn't displace an equal one that arrives.
#[derive(Debug, Default)]
pub struct BodyMemory {
    held_bytes: usize,
    begun: u64,
    bodies: SlotMap<BodyKey, Body>,
}

impl BodyMemory {
    /// Time without progress from which a body counts as stalled, in milliseconds: lost segments are sent
    /// again within it.
    pub const STALL_MS: u64 = 2_000;

    /// Returns the memory of all bodies, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Begins a body of the caller at this address, of which only the request's head is held.
    pub fn begin(&mut self, address: IpAddr, head_bytes: usize, now: MonoMs) -> BodyKey {
        self.begun += 1;
        self.held_bytes += head_bytes;
        self.bodies.insert(Body {
            address,
            bytes: head_bytes,
            head_bytes,
            progress_at: now,
            order: self.begun,
            is_complete: false,
        })
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, key: BodyKey, now: MonoMs) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.progress_at = now;
        }
    }

    /// Sets the memory of a body beside its request's head, in bytes. Ignores a body that has been given up.
    pub fn set(&mut self, key: BodyKey, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(key) {
            let before = std::mem::replace(&mut body.bytes, body.head_bytes + bytes);
            self.held_bytes = self.held_bytes - before + body.bytes;
        }
    }

    /// Records that a body is complete. It isn't given up from now on.
    pub fn complete(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.is_complete = true;
        }
    }

    /// Returns the arrival of a body's last bytes; none if the body is complete or isn't known.
    pub fn arriving_since(&self, key: BodyKey) -> Option<MonoMs> {
        self.bodies.get(key).filter(|body| !body.is_complete).map(|body| body.progress_at)
    }

    /// Gives up a body whose connection has to give way; none if the body is complete or isn't known.
    pub(super) fn give_up(&mut self, key: BodyKey, now: MonoMs) -> Option<LostBody> {
        self.arriving_since(key)?;
        let loss = match self.stalled_ms(key, now) {
            0 => BodyLoss::NoConnection,
            _ => BodyLoss::Stalled,
        };
        self.end(key);
        Some(LostBody { key, loss })
    }

    /// Ends a body, whose memory is free. Does nothing if it has been given up.
    pub fn end(&mut self, key: BodyKey) {
        self.held_bytes -= self.bodies.remove(key).map_or(0, |body| body.bytes);
    }

    /// Gives bodies up until all hold at most `max_bytes`, or only complete ones are left.
    pub(super) fn shrink_to(&mut self, max_bytes: usize, now: MonoMs) -> Vec<LostBody> {
        let mut lost = Vec::new();
        while self.held_bytes > max_bytes {
            let Some(key) = self.least_loss(now) else { break };
            let loss = match self.stalled_ms(key, now) {
                0 => BodyLoss::NoMemory,
                _ => BodyLoss::Stalled,
            };
            self.end(key);
            lost.push(LostBody { key, loss });
        }
        lost
    }

    /// Returns the body to give up; none if all are complete.
    fn least_loss(&self, now: MonoMs) -> Option<BodyKey> {
        let mut sums: HashMap<IpAddr, usize> = HashMap::new();
        for body in self.bodies.values() {
            *sums.entry(body.address).or_default() += body.bytes;
        }
        let arriving = self.bodies.iter().filter(|(_, body)| !body.is_complete);
        let chosen = arriving.max_by_key(|(key, body)| {
            // Two addresses that hold the same are told apart, so that one of them is chosen as a whole.
            let address = (sums[&body.address], body.address);
            (address, self.stalled_ms(*key, now), body.bytes, body.order)
        });
        chosen.map(|(key, _)| key)
    }

    /// Returns the time without progress; zero for a body that isn't stalled.
    fn stalled_ms(&self, key: BodyKey, now: MonoMs) -> u64 {
        let since = self.bodies.get(key).map_or(now, |body| body.progress_at);
        Some(now.ms_since(since)).filter(|ms| *ms >= Self::STALL_MS).unwrap_or(0)
    }
}
