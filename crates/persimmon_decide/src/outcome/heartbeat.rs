//! Silence on connections.

use crate::MonoMs;

/// Settings of a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatLimits {
    /// How long to send nothing before a heartbeat is sent, in milliseconds.
    pub interval_ms: u64,
    /// How long to hear nothing before the connection counts as silent, in milliseconds.
    pub silent_ms: u64,
    /// How long the first frame on a reused connection may go without an acknowledgement, in
    /// milliseconds.
    pub first_ack_ms: u64,
}

impl Default for HeartbeatLimits {
    fn default() -> Self {
        Self { interval_ms: 500, silent_ms: 2_000, first_ack_ms: 250 }
    }
}

/// What a connection needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// Nothing before this time.
    Wait(MonoMs),
    /// A heartbeat, now.
    Send,
    /// It has gone silent: open a new connection and resume from the next offset.
    Silent,
}

/// Watches one connection that has a request in progress. Idle connections aren't watched: the
/// first frame on a reused one must be acknowledged quickly instead.
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
    /// Watches a connection that was opened at `now`.
    pub fn new(limits: HeartbeatLimits, now: MonoMs) -> Self {
        Self { limits, sent_at: now, received_at: now, polled_at: now, awaits_first_ack: false }
    }

    /// Watches an idle connection on which the first frame is sent at `now`.
    pub fn on_reused(limits: HeartbeatLimits, now: MonoMs) -> Self {
        Self { awaits_first_ack: true, ..Self::new(limits, now) }
    }

    /// Records that something was sent.
    pub fn record_sent(&mut self, now: MonoMs) {
        self.sent_at = self.sent_at.max(now);
    }

    /// Records that something was heard from the other end.
    pub fn record_received(&mut self, now: MonoMs) {
        self.received_at = self.received_at.max(now);
        self.awaits_first_ack = false;
    }

    /// What the connection needs at `now`. Everything that has arrived must be read first.
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

    /// A process that didn't run for a whole limit couldn't have heard anything: the other end is
    /// given one more interval.
    fn allow_for_own_pause(&mut self, now: MonoMs) {
        if now.ms_since(self.polled_at) < self.limits.silent_ms {
            return;
        }
        let grace = self.limits.silent_ms.saturating_sub(self.limits.interval_ms);
        self.received_at = self.received_at.max(MonoMs(now.0.saturating_sub(grace)));
    }
}
