//! The state that all tasks of a gateway share. They run on one thread.

use std::cell::{Cell, RefCell};

use tokio::sync::Notify;

use crate::control::Control;
use crate::log_limiter::LogLimiter;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::GatewaySettings;
use crate::upstream::Upstream;
use persimmon_process::Clock;

/// A running gateway.
#[derive(Debug)]
pub(crate) struct Gateway<P> {
    pub(crate) platform: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) control: RefCell<Control>,
    pub(crate) upstream: Upstream,
    pub(crate) metrics: Metrics,
    pub(crate) log_limiter: LogLimiter,
    /// What is known of the platform's records may be old: read them again.
    pub(crate) resync: Notify,
    /// Bytes of callers' bodies that are held.
    pub(crate) body_bytes: Cell<usize>,
    /// Routes and endpoints are known.
    pub(crate) configured: Notify,
    /// Something has changed that the other gateways should hear of at once.
    pub(crate) digest_due: Notify,
}

impl<P: Platform> Gateway<P> {
    /// A gateway that knows nothing yet.
    pub(crate) fn new(platform: P, settings: GatewaySettings, metrics: Metrics) -> Self {
        let clock = Clock::start();
        let control = Control::new(&settings, clock.now());
        Self {
            platform,
            control: RefCell::new(control),
            upstream: Upstream::new(clock),
            settings,
            clock,
            metrics,
            log_limiter: LogLimiter::new(),
            resync: Notify::new(),
            body_bytes: Cell::new(0),
            configured: Notify::new(),
            digest_due: Notify::new(),
        }
    }
}
