//! How long an idle connection to an endpoint may be used again.

use std::collections::HashMap;
use std::sync::Arc;

use crate::MonoMs;

#[derive(Debug, Clone, Copy)]
struct Learned {
    /// None while resets are known to have another cause.
    max_idle_ms: Option<u64>,
    until: MonoMs,
}

/// The idle time up to which connections to the endpoints of a service are used again.
///
/// Answers the load of a route that is called now and then, before endpoints that drop idle
/// connections without notice: what is sent next over such a connection is reset, and may have run
/// as far as a gateway can tell. After one such reset the service's connections are used only while
/// they are much younger than that one was. Endpoints that reset new connections too have another
/// fault, which younger connections don't mend.
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
    learned: HashMap<Arc<str>, Learned>,
}

impl IdleLimit {
    /// Idle time after which a connection isn't used for a request that may run once, in
    /// milliseconds. Servers commonly keep connections for some seconds and more.
    const MAX_IDLE_ONCE_MS: u64 = 1_000;
    /// Idle time after which a connection isn't used at all, in milliseconds.
    const MAX_IDLE_MS: u64 = 4_000;
    /// Part of the idle time of a connection that was reset in which others are used. The drop may
    /// have come at any time before it was noticed, and a request lost weighs more than some new
    /// connections.
    const RESET_FRACTION: f64 = 0.25;
    /// Shorter idle times are no cause of a reset, in milliseconds: no server drops connections
    /// that are in steady use.
    const MIN_RESET_IDLE_MS: u64 = 50;
    /// How long a limit is kept, in milliseconds. A reset has other causes too, and new connections
    /// have their price.
    const LIMIT_TTL_MS: u64 = 60_000;
    /// How long nothing is learned after a new connection was reset, in milliseconds: endpoints lose
    /// answers for some seconds at a time.
    const OTHER_CAUSE_TTL_MS: u64 = 10_000;

    /// Nothing was reset so far.
    pub fn new() -> Self {
        Self::default()
    }

    /// A connection that had been idle for `idle_ms` was reset before any part of an answer, by an
    /// endpoint that takes new connections.
    pub fn record_reset(&mut self, service: &Arc<str>, idle_ms: u64, now: MonoMs) {
        let has_other_cause = self.current(service, now).is_some_and(|it| it.max_idle_ms.is_none());
        if idle_ms < Self::MIN_RESET_IDLE_MS || has_other_cause {
            return;
        }
        let max_idle_ms = (idle_ms as f64 * Self::RESET_FRACTION) as u64;
        let max_idle_ms = max_idle_ms.min(self.learned_ms(service, now).unwrap_or(u64::MAX));
        let until = now.plus_ms(Self::LIMIT_TTL_MS);
        self.learned.insert(service.clone(), Learned { max_idle_ms: Some(max_idle_ms), until });
    }

    /// A connection that had carried nothing was reset before any part of an answer, by an endpoint
    /// that takes new connections.
    pub fn record_new_reset(&mut self, service: &Arc<str>, now: MonoMs) {
        let until = now.plus_ms(Self::OTHER_CAUSE_TTL_MS);
        self.learned.insert(service.clone(), Learned { max_idle_ms: None, until });
    }

    /// The idle time up to which connections are kept, in milliseconds: older ones are closed, since
    /// endpoints bound their connections.
    pub fn keep_alive_ms(&self, service: &str, now: MonoMs) -> u64 {
        Self::MAX_IDLE_MS.min(self.learned_ms(service, now).unwrap_or(u64::MAX))
    }

    /// The idle time up to which a connection is used, in milliseconds. `runs_once` tells of a
    /// request that may run once.
    pub fn max_idle_ms(&self, service: &str, runs_once: bool, now: MonoMs) -> u64 {
        let keep_alive_ms = self.keep_alive_ms(service, now);
        if runs_once { keep_alive_ms.min(Self::MAX_IDLE_ONCE_MS) } else { keep_alive_ms }
    }

    fn current(&self, service: &str, now: MonoMs) -> Option<&Learned> {
        self.learned.get(service).filter(|it| now < it.until)
    }

    fn learned_ms(&self, service: &str, now: MonoMs) -> Option<u64> {
        self.current(service, now)?.max_idle_ms
    }
}
