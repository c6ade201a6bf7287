//! Admission of requests during a gateway's shutdown.

use crate::MonoMs;

/// Settings for a gateway's shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSettings {
    /// Time from the termination signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
}

/// Shuts a gateway down without interrupting requests.
///
/// The load balancer sends new connections for a few seconds after the signal, and callers continue
/// to use open connections. During this time a refused caller would most likely reach the same
/// gateway again, so the gateway accepts every request. Afterwards it refuses requests that may not
/// finish within the grace period before it forwards them, and their callers reach another gateway.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    grace_ms: u64,
    started_at: Option<MonoMs>,
}

impl Shutdown {
    /// Time reserved at the end of the grace period to send the last bytes, in milliseconds.
    const FLUSH_MS: u64 = 400;
    /// Time until the load balancer notices that the gateway isn't ready, in milliseconds. It
    /// checks every second and acts on the second failed check.
    const BALANCER_NOTICE_MS: u64 = 2_200;
    /// Minimum time from the signal to the exit, in milliseconds. It allows for requests that were
    /// already on their way when the load balancer noticed.
    const MIN_DRAIN_MS: u64 = 3_000;
    /// Expected duration of a request, as a multiple of the longest recent one.
    const DURATION_FACTOR: u64 = 2;
    /// Time without requests in progress before the process exits, in milliseconds.
    const MIN_IDLE_MS: u64 = 500;

    /// Creates the state of a running gateway.
    pub fn new(settings: ShutdownSettings) -> Self {
        Self { grace_ms: settings.grace_ms, started_at: None }
    }

    /// Records that the termination signal has arrived.
    pub fn begin(&mut self, now: MonoMs) {
        self.started_at.get_or_insert(now);
    }

    /// Retry delay for a refused caller if another gateway is running, in milliseconds. The retry
    /// reaches that gateway because it opens a new connection.
    const OTHER_GATEWAY_RETRY_MS: u64 = 20;
    /// Range of the random delay for callers that wait for the first gateway to restart, in
    /// milliseconds.
    const RETRY_JITTER_MS: u64 = 500;

    /// Returns the retry delay for a refused caller, in milliseconds. `return_ms` is the time until
    /// a gateway may be available if every one is shutting down; the random number `draw` then
    /// spreads the retries.
    ///
    /// When the whole fleet restarts, an immediate retry would be refused again, and the caller
    /// might have no retry left.
    pub fn retry_after_ms(return_ms: Option<u64>, draw: u64) -> u64 {
        return_ms.map_or(Self::OTHER_GATEWAY_RETRY_MS, |ms| ms + draw % Self::RETRY_JITTER_MS)
    }

    /// Returns the time of the termination signal if the gateway is shutting down.
    pub fn started_at(&self) -> Option<MonoMs> {
        self.started_at
    }

    /// Returns the time from the signal until the process is killed, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        self.grace_ms
    }

    /// Reports whether the gateway is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.started_at.is_some()
    }

    /// Reports whether to accept a request. `max_ms` is the longest recent duration of similar
    /// requests, and `deadline_ms` the time after which the request is abandoned.
    pub fn accepts(&self, max_ms: Option<u64>, deadline_ms: u64, now: MonoMs) -> bool {
        let Some(started_at) = self.started_at else { return true };
        let expected_ms = max_ms.map_or(deadline_ms, |ms| ms * Self::DURATION_FACTOR);
        let left_ms = self.left_ms(now);
        now.ms_since(started_at) < Self::BALANCER_NOTICE_MS
            || left_ms >= expected_ms.min(deadline_ms)
    }

    /// Returns the remaining time for requests to finish, in milliseconds.
    pub fn left_ms(&self, now: MonoMs) -> u64 {
        self.started_at.map_or(u64::MAX, |started_at| {
            let end = started_at.plus_ms(self.grace_ms.saturating_sub(Self::FLUSH_MS));
            end.ms_since(now)
        })
    }

    /// Reports whether the process may exit: no request is in progress, and none has been since
    /// `idle_since`; or no time remains.
    pub fn may_exit(&self, in_progress: usize, idle_since: MonoMs, now: MonoMs) -> bool {
        let Some(started_at) = self.started_at else { return false };
        let is_idle = in_progress == 0 && now.ms_since(idle_since) >= Self::MIN_IDLE_MS;
        self.left_ms(now) == 0 || (is_idle && now.ms_since(started_at) >= Self::MIN_DRAIN_MS)
    }
}
