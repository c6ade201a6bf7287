//! What a gateway still takes after it was told to stop.

use crate::MonoMs;

/// How a gateway shuts down.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSettings {
    /// Time from the signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
}

/// Ends a gateway without cutting a request off.
///
/// The balancer sends new connections for a few seconds more, and callers go on using open ones.
/// While it does, a caller that is refused most likely comes back to the same gateway, so everything
/// is taken. Later, a request that may not end within the grace is refused before it is passed on,
/// and its caller reaches another gateway.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    grace_ms: u64,
    started_at: Option<MonoMs>,
}

impl Shutdown {
    /// Time kept free at the end of the grace, in milliseconds, for last bytes to leave.
    const FLUSH_MS: u64 = 400;
    /// Time until the balancer has noticed that the gateway isn't ready, in milliseconds: it asks
    /// every second, and acts on the second miss.
    const BALANCER_NOTICE_MS: u64 = 2_200;
    /// How long the process runs at least, in milliseconds, so that requests on their way to it when
    /// the balancer noticed are still answered.
    const MIN_DRAIN_MS: u64 = 3_000;
    /// Time that a request is given, as a multiple of the longest that was seen lately.
    const DURATION_FACTOR: u64 = 2;
    /// How long no request must have been in progress before the process ends, in milliseconds.
    const MIN_QUIET_MS: u64 = 500;

    /// A gateway that runs.
    pub fn new(settings: ShutdownSettings) -> Self {
        Self { grace_ms: settings.grace_ms, started_at: None }
    }

    /// The signal to stop came.
    pub fn begin(&mut self, now: MonoMs) {
        self.started_at.get_or_insert(now);
    }

    /// Time after which a refused caller comes back to another gateway, in milliseconds: a new
    /// connection reaches one.
    const OTHER_GATEWAY_RETRY_MS: u64 = 20;
    /// Time over which callers come back that wait for the first gateway to return, in milliseconds.
    const RETRY_JITTER_MS: u64 = 500;

    /// When a refused caller is to come back, in milliseconds. `return_ms` is the time until a
    /// gateway may be back if every one is leaving, `draw` spreads those that wait for it.
    ///
    /// Answers the load of a fleet that is restarted as a whole: a caller that comes back at once
    /// would be refused once more, and may have no further try.
    pub fn retry_after_ms(return_ms: Option<u64>, draw: u64) -> u64 {
        return_ms.map_or(Self::OTHER_GATEWAY_RETRY_MS, |ms| ms + draw % Self::RETRY_JITTER_MS)
    }

    /// When the signal came, if the gateway is stopping.
    pub fn started_at(&self) -> Option<MonoMs> {
        self.started_at
    }

    /// Time that the process has from the signal on, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Whether the gateway is stopping.
    pub fn is_leaving(&self) -> bool {
        self.started_at.is_some()
    }

    /// Whether a request is still taken: `most_ms` is the longest that such requests took lately,
    /// and `deadline_ms` the time after which it is given up.
    pub fn accepts(&self, most_ms: Option<u64>, deadline_ms: u64, now: MonoMs) -> bool {
        let Some(started_at) = self.started_at else { return true };
        let expected_ms = most_ms.map_or(deadline_ms, |ms| ms * Self::DURATION_FACTOR);
        let left_ms = self.left_ms(now);
        now.ms_since(started_at) < Self::BALANCER_NOTICE_MS
            || left_ms >= expected_ms.min(deadline_ms)
    }

    /// Milliseconds in which requests have to end.
    pub fn left_ms(&self, now: MonoMs) -> u64 {
        self.started_at.map_or(u64::MAX, |started_at| {
            let end = started_at.plus_ms(self.grace_ms.saturating_sub(Self::FLUSH_MS));
            end.ms_since(now)
        })
    }

    /// Whether the process may end: nothing is in progress and nothing has been since `quiet_since`.
    pub fn may_exit(&self, in_progress: usize, quiet_since: MonoMs, now: MonoMs) -> bool {
        let Some(started_at) = self.started_at else { return false };
        let is_quiet = in_progress == 0 && now.ms_since(quiet_since) >= Self::MIN_QUIET_MS;
        self.left_ms(now) == 0 || (is_quiet && now.ms_since(started_at) >= Self::MIN_DRAIN_MS)
    }
}
