//! The engine's settings.

use std::sync::{Condvar, Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::Core;
use super::cache::PrefixCache;
use super::state::State;

/// How an engine behaves.
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
    /// Starts from an engine that generates without delay, with `model` loaded.
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

    /// Loads a further model.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<String>) -> Self {
        self.models.push(model.into());
        self
    }

    /// Sets how many requests run at once.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets how many requests wait for a slot before further ones are refused.
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

    /// Sets the time that each token of a prompt takes that isn't cached.
    #[must_use]
    pub fn with_prefill_per_token(mut self, time: Duration) -> Self {
        self.settings.prefill_per_token = time;
        self
    }

    /// Sets the memory of the prefix cache, in tokens.
    #[must_use]
    pub fn with_cache_tokens(mut self, tokens: u64) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets how long after a change its cache event shows.
    #[must_use]
    pub fn with_event_delay(mut self, delay: Duration) -> Self {
        self.event_delay = delay;
        self
    }

    /// Loses every `interval`th cache event, or none if it is 0.
    #[must_use]
    pub fn with_lost_event_interval(mut self, interval: u64) -> Self {
        self.lost_event_interval = interval;
        self
    }

    /// Sets how old the load is that the engine reports.
    #[must_use]
    pub fn with_load_lag(mut self, lag: Duration) -> Self {
        self.settings.load_lag = lag;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.settings.checks_fence = checks_fence;
        self
    }

    /// Crashes on each request whose messages contain `marker`.
    #[must_use]
    pub fn with_crash_marker(mut self, marker: impl Into<String>) -> Self {
        self.settings.crash_marker = Some(marker.into());
        self
    }

    /// Sets whether a request with the crash marker gets no part of an answer, not even its head.
    #[must_use]
    pub fn with_crashes_before_head(mut self, crashes_before_head: bool) -> Self {
        self.settings.crashes_before_head = crashes_before_head;
        self
    }

    /// Sets whether the next life has answered a health check before connections of the life that
    /// crashed are cut. No connection is refused then.
    #[must_use]
    pub fn with_cut_after_health_check(mut self, cuts_after_health_check: bool) -> Self {
        self.settings.cuts_after_health_check = cuts_after_health_check;
        self
    }

    /// Sets how long connections are refused after a crash.
    #[must_use]
    pub fn with_crash_downtime(mut self, downtime: Duration) -> Self {
        self.settings.crash_downtime = downtime;
        self
    }

    /// The model that was loaded first.
    pub(crate) fn model(&self) -> String {
        self.models[0].clone()
    }

    /// How many requests run at once.
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

/// A number that an engine started again on the same port won't repeat.
fn first_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
