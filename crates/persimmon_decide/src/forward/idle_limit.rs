//! Limit on the idle time of reused connections to endpoints.

use std::collections::HashMap;
use std::sync::Arc;

use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
struct LearnedLimit {
    /// Maximum idle time; none while resets are attributed to another cause.
    max_idle_ms: Option<u64>,
    until: MonoMs,
}

/// Learns the maximum idle time of reused connections for each service.
///
/// Some endpoints drop idle connections without notice, which affects routes with infrequent calls:
/// the next request on such a connection is reset, and the gateway can't determine whether it ran.
/// After one such reset, connections of the service are reused only if they were idle for a much
/// shorter time. If an endpoint also resets new connections, the fault is another one, which a
/// shorter idle time doesn't avoid.
///
/// ```
/// use persimmon_decide::MonoMs;
/// use persimmon_decide::forward::IdleLimit;
///
/// let mut limit = IdleLimit::new();
/// limit.record_reset(&"ledger".into(), 600, MonoMs(0));
/// assert_eq!(limit.max_idle_ms("ledger", false, MonoMs(1)), 150);
/// assert!(limit.max_idle_ms("lookups", false, MonoMs(1)) > 150);
/// ```
#[derive(Debug, Default)]
pub struct IdleLimit {
    learned: HashMap<Arc<str>, LearnedLimit>,
}

impl IdleLimit {
    /// Maximum idle time for requests that may run only once, in milliseconds. Servers commonly
    /// keep idle connections open for several seconds or longer.
    const MAX_IDLE_ONCE_MS: u64 = 1_000;
    /// Maximum idle time for any request, in milliseconds.
    const MAX_IDLE_MS: u64 = 4_000;
    /// Fraction of a reset connection's idle time up to which others are reused. The endpoint may
    /// have dropped the connection at any time before the reset, and a lost request costs more than
    /// a few new connections.
    const RESET_FRACTION: f64 = 0.25;
    /// Minimum idle time of a connection whose reset counts, in milliseconds; servers don't drop
    /// connections in steady use.
    const MIN_RESET_IDLE_MS: u64 = 50;
    /// Time for which a learned limit applies, in milliseconds. It expires because resets have
    /// other causes too, and new connections have a cost.
    const LIMIT_TTL_MS: u64 = 60_000;
    /// Time for which resets of idle connections are ignored after a new connection was reset, in
    /// milliseconds. Endpoints lose answers for several seconds at a time.
    const OTHER_CAUSE_TTL_MS: u64 = 10_000;

    /// Creates a tracker without resets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a connection with an idle time of `idle_ms` was reset before any part of an
    /// answer, by an endpoint that accepts new connections.
    pub fn record_reset(&mut self, service: &Arc<str>, idle_ms: u64, now: MonoMs) {
        let has_other_cause = self.current(service, now).is_some_and(|it| it.max_idle_ms.is_none());
        if idle_ms < Self::MIN_RESET_IDLE_MS || has_other_cause {
            return;
        }
        let max_idle_ms = (idle_ms as f64 * Self::RESET_FRACTION) as u64;
        let max_idle_ms = max_idle_ms.min(self.learned_ms(service, now).unwrap_or(u64::MAX));
        let until = now.plus_ms(Self::LIMIT_TTL_MS);
        self.learned
            .insert(service.clone(), LearnedLimit { max_idle_ms: Some(max_idle_ms), until });
    }

    /// Records that a newly opened connection was reset before any part of an answer, by an
    /// endpoint that accepts new connections.
    pub fn record_new_reset(&mut self, service: &Arc<str>, now: MonoMs) {
        let until = now.plus_ms(Self::OTHER_CAUSE_TTL_MS);
        self.learned.insert(service.clone(), LearnedLimit { max_idle_ms: None, until });
    }

    /// Returns the idle time after which connections are closed, in milliseconds. Idle connections
    /// use up the limited number that an endpoint accepts.
    pub fn keep_alive_ms(&self, service: &str, now: MonoMs) -> u64 {
        Self::MAX_IDLE_MS.min(self.learned_ms(service, now).unwrap_or(u64::MAX))
    }

    /// Returns the idle time up to which a connection is reused, in milliseconds. `runs_once` says
    /// whether the request may run only once.
    pub fn max_idle_ms(&self, service: &str, runs_once: bool, now: MonoMs) -> u64 {
        let keep_alive_ms = self.keep_alive_ms(service, now);
        if runs_once { keep_alive_ms.min(Self::MAX_IDLE_ONCE_MS) } else { keep_alive_ms }
    }

    fn current(&self, service: &str, now: MonoMs) -> Option<&LearnedLimit> {
        self.learned.get(service).filter(|it| now < it.until)
    }

    fn learned_ms(&self, service: &str, now: MonoMs) -> Option<u64> {
        self.current(service, now)?.max_idle_ms
    }
}
