//! Detection of silent connections.

use crate::MonoMs;

/// Settings of a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatLimits {
    /// The time without outgoing data after which a heartbeat is due, in milliseconds.
    pub interval_ms: u64,
    /// The time without incoming data after which the connection counts as silent, in
    /// milliseconds.
    pub silent_ms: u64,
    /// The time-out for the acknowledgement of the first frame on a reused connection, in
    /// milliseconds.
    pub first_ack_ms: u64,
}

impl Default for HeartbeatLimits {
    fn default() -> Self {
        Self { interval_ms: 500, silent_ms: 2_000, first_ack_ms: 250 }
    }
}

/// The status of a watched connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// Nothing is due; poll again at this time.
    Wait(MonoMs),
    /// A heartbeat is due.
    Send,
    /// The connection is silent: open a new one and resume from the next offset.
    Silent,
}

/// Heartbeat timer of one connection with a request in progress. Idle connections aren't watched;
/// instead, the first frame on a reused connection has a shorter time-out.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::outcome::{Heartbeat, HeartbeatLimits, HeartbeatStatus};
///
/// let limits = HeartbeatLimits { interval_ms: 500, silent_ms: 2_000, first_ack_ms: 250 };
/// let mut heartbeat = Heartbeat::new(limits, MonoMs(0));
/// assert_eq!(heartbeat.poll(MonoMs(100)), HeartbeatStatus::Wait(MonoMs(500)));
/// ```
#[derive(Debug)]
pub struct Heartbeat {
    limits: HeartbeatLimits,
    sent_at: MonoMs,
    received_at: MonoMs,
    polled_at: MonoMs,
    awaits_first_ack: bool,
}

impl Heartbeat {
    /// Starts to watch a connection that was opened at `now`.
    pub fn new(limits: HeartbeatLimits, now: MonoMs) -> Self {
        Self { limits, sent_at: now, received_at: now, polled_at: now, awaits_first_ack: false }
    }

    /// Starts to watch a reused connection whose first frame is sent at `now`.
    pub fn on_reused(limits: HeartbeatLimits, now: MonoMs) -> Self {
        Self { awaits_first_ack: true, ..Self::new(limits, now) }
    }

    /// Records that data was sent.
    pub fn record_sent(&mut self, now: MonoMs) {
        self.sent_at = self.sent_at.max(now);
    }

    /// Records that data was received from the peer.
    pub fn record_received(&mut self, now: MonoMs) {
        self.received_at = self.received_at.max(now);
        self.awaits_first_ack = false;
    }

    /// Returns the status at `now`. The caller must first read all data that has arrived.
    pub fn poll(&mut self, now: MonoMs) -> HeartbeatStatus {
        self.allow_for_own_pause(now);
        self.polled_at = now;
        let silent_at = self.silent_at();
        if now >= silent_at {
            return HeartbeatStatus::Silent;
        }
        let send_at = self.sent_at.plus_ms(self.limits.interval_ms);
        if now >= send_at {
            return HeartbeatStatus::Send;
        }
        HeartbeatStatus::Wait(send_at.min(silent_at))
    }

    fn silent_at(&self) -> MonoMs {
        let limit = match self.awaits_first_ack {
            true => self.limits.first_ack_ms,
            false => self.limits.silent_ms,
        };
        self.received_at.plus_ms(limit)
    }

    /// Grants the peer one more heartbeat interval after this process itself was paused for
    /// `silent_ms` or longer, since it couldn't have received anything meanwhile.
    fn allow_for_own_pause(&mut self, now: MonoMs) {
        if now.ms_since(self.polled_at) < self.limits.silent_ms {
            return;
        }
        let grace = self.limits.silent_ms.saturating_sub(self.limits.interval_ms);
        self.received_at = self.received_at.max(MonoMs(now.0.saturating_sub(grace)));
    }
}
