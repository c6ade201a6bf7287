//! Builder and settings of the engine.

use std::sync::{Condvar, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::Core;
use super::cache::PrefixCache;
use super::state::State;

/// Settings that stay fixed while an engine runs.
#[derive(Debug)]
pub(super) struct Settings {
    pub(super) slots: usize,
    pub(super) queue: usize,
    pub(super) token_interval: Duration,
    pub(super) prefill_per_token: Duration,
    pub(super) load_lag: Duration,
    pub(super) checks_fence: bool,
    pub(super) crash_marker: Option<String>,
    pub(super) crashes_before_head: bool,
    pub(super) cuts_after_health_check: bool,
    pub(super) crash_downtime: Duration,
}

/// Builds an [`Engine`](super::Engine).
#[derive(Debug)]
pub struct EngineBuilder {
    settings: Settings,
    models: Vec<String>,
    cache_tokens: u64,
    event_delay: Duration,
    lost_event_interval: u64,
}

impl EngineBuilder {
    /// Creates a builder for an engine that has `model` loaded and generates without delay.
    pub(super) fn new(model: impl Into<String>) -> Self {
        Self {
            settings: Settings {
                slots: 4,
                queue: 16,
                token_interval: Duration::ZERO,
                prefill_per_token: Duration::ZERO,
                load_lag: Duration::ZERO,
                checks_fence: false,
                crash_marker: None,
                crashes_before_head: false,
                cuts_after_health_check: false,
                crash_downtime: Duration::from_millis(500),
            },
            models: vec![model.into()],
            cache_tokens: 100_000,
            event_delay: Duration::ZERO,
            lost_event_interval: 0,
        }
    }

    /// Adds another loaded model.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<String>) -> Self {
        self.models.push(model.into());
        self
    }

    /// Sets how many requests run concurrently.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets how many requests may wait for a slot. The engine refuses further ones.
    #[must_use]
    pub fn with_queue(mut self, queue: usize) -> Self {
        self.settings.queue = queue;
        self
    }

    /// Sets the time between two tokens of a stream.
    #[must_use]
    pub fn with_token_interval(mut self, interval: Duration) -> Self {
        self.settings.token_interval = interval;
        self
    }

    /// Sets the processing time of each prompt token that isn't cached.
    #[must_use]
    pub fn with_prefill_per_token(mut self, time: Duration) -> Self {
        self.settings.prefill_per_token = time;
        self
    }

    /// Sets the capacity of the prefix cache, in tokens.
    #[must_use]
    pub fn with_cache_tokens(mut self, tokens: u64) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets the delay after which readers see a cache event.
    #[must_use]
    pub fn with_event_delay(mut self, delay: Duration) -> Self {
        self.event_delay = delay;
        self
    }

    /// Makes the engine lose every `interval`th cache event, or none if `interval` is 0.
    #[must_use]
    pub fn with_lost_event_interval(mut self, interval: u64) -> Self {
        self.lost_event_interval = interval;
        self
    }

    /// Sets the age of the load that the engine reports.
    #[must_use]
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.settings.load_lag = lag;
        self
    }

    /// Sets whether the engine refuses orders with an outdated fencing token.
    #[must_use]
    pub fn with_fence_check(mut self, enabled: bool) -> Self {
        self.settings.checks_fence = enabled;
        self
    }

    /// Sets a text that crashes the engine whenever a request's messages contain it.
    #[must_use]
    pub fn with_crash_marker(mut self, marker: impl Into<String>) -> Self {
        self.settings.crash_marker = Some(marker.into());
        self
    }

    /// Sets whether a request with the crash marker crashes the engine before the response head,
    /// so that the reader receives no part of an answer.
    #[must_use]
    pub fn with_crashes_before_head(mut self, crashes_before_head: bool) -> Self {
        self.settings.crashes_before_head = crashes_before_head;
        self
    }

    /// Sets whether, after a crash, the engine cuts old connections only once its next incarnation
    /// has answered a health check. It then refuses no connections.
    #[must_use]
    pub fn with_cut_after_health_check(mut self, cuts_after_health_check: bool) -> Self {
        self.settings.cuts_after_health_check = cuts_after_health_check;
        self
    }

    /// Sets how long the engine refuses connections after a crash.
    #[must_use]
    pub fn with_crash_downtime(mut self, downtime: Duration) -> Self {
        self.settings.crash_downtime = downtime;
        self
    }

    /// Returns the model given to [`Self::new`].
    pub(crate) fn model(&self) -> String {
        self.models[0].clone()
    }

    /// Returns how many requests run concurrently.
    pub(crate) fn slots(&self) -> u32 {
        u32::try_from(self.settings.slots).unwrap_or(u32::MAX)
    }

    pub(super) fn into_core(self) -> Core {
        let cache = PrefixCache::new(self.cache_tokens, self.event_delay, self.lost_event_interval);
        Core {
            settings: self.settings,
            state: Mutex::new(State::new(first_incarnation(), self.models, cache)),
            changed: Condvar::new(),
            relay: OnceLock::new(),
        }
    }
}

/// Returns a number based on the current time, so that an engine restarted on the same port gets
/// another incarnation.
fn first_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
