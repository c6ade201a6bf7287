//! Stand-in for the platform: published values, the list of VMs and the weight store.

mod routes;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use persimmon_records::Vm;
use serde::{Deserialize, Serialize};

use crate::http::HttpServer;
use crate::relay::Relay;
use state::State;

/// A command that changes how the platform answers readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum PlatformSwitch {
    /// Immediate answers with the newest version.
    #[default]
    Up,
    /// Refusal of new connections and closure of open ones.
    Down,
    /// No answers; calls are only counted.
    Silent,
    /// Answers with an older version.
    Stale {
        /// Number of versions behind the newest, limited by the versions that the platform keeps.
        versions_behind: usize,
    },
    /// Delayed answers with the newest version.
    Slow {
        /// Delay before each answer, in milliseconds.
        delay_ms: u64,
    },
}

/// Counts of reads. A long-polling watch counts as one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Number of reads of every kind.
    pub reads: u64,
    /// Highest number of reads in any second since the start.
    pub most_reads_in_a_second: u64,
    /// Number of reads of values, including unknown keys.
    pub values: u64,
    /// Number of reads of the list of VMs.
    pub vms: u64,
    /// Number of reads of the weight store, including those over its rate limit.
    pub weights: u64,
    /// Number of reads of the weight store refused because of its rate limit.
    pub weights_refused: u64,
}

#[derive(Debug)]
struct Core {
    state: Mutex<State>,
    changed: Condvar,
    relay: OnceLock<Relay>,
    vm_lag: Duration,
    weights_per_second: u64,
    weight_bytes: usize,
    started_at: Instant,
}

/// Builds a [`Platform`].
#[derive(Debug)]
pub struct PlatformBuilder {
    vm_lag: Duration,
    weights_per_second: u64,
    weight_bytes: usize,
}

impl Default for PlatformBuilder {
    fn default() -> Self {
        Self { vm_lag: Duration::ZERO, weights_per_second: 4, weight_bytes: 4_096 }
    }
}

impl PlatformBuilder {
    /// Sets the delay after which readers see a change to the list of VMs.
    #[must_use]
    pub fn with_vm_lag(mut self, lag: Duration) -> Self {
        self.vm_lag = lag;
        self
    }

    /// Sets the rate limit of the weight store, in reads per second.
    #[must_use]
    pub fn with_weights_per_second(mut self, reads: u64) -> Self {
        self.weights_per_second = reads;
        self
    }

    /// Sets the size of a model's weights.
    #[must_use]
    pub fn with_weight_bytes(mut self, bytes: usize) -> Self {
        self.weight_bytes = bytes;
        self
    }

    /// Starts the platform on a port that the operating system assigns.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(self) -> io::Result<Platform> {
        let core = Arc::new(Core {
            state: Mutex::default(),
            changed: Condvar::new(),
            relay: OnceLock::new(),
            vm_lag: self.vm_lag,
            weights_per_second: self.weights_per_second,
            weight_bytes: self.weight_bytes,
            started_at: Instant::now(),
        });
        let server = HttpServer::start(&core)?;
        let relay = Relay::start(server.address())?;
        let relay = core.relay.get_or_init(|| relay).clone();
        Ok(Platform { server, relay, core })
    }
}

/// A stand-in for the platform's configuration service, list of VMs and weight store.
///
/// ```
/// use persimmon_standins::Platform;
///
/// let platform = Platform::start().unwrap();
/// assert_eq!(platform.publish("records", "{}"), 1);
/// assert_eq!(platform.counts().reads, 0);
/// platform.close();
/// ```
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    relay: Relay,
    core: Arc<Core>,
}

impl Platform {
    /// Returns a builder for a platform.
    pub fn builder() -> PlatformBuilder {
        PlatformBuilder::default()
    }

    /// Starts a platform with the default settings.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        PlatformBuilder::default().start()
    }

    /// Returns the address to which readers connect.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the address of the control port, on which operators publish and switch modes. It
    /// answers in every mode.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value and returns its version.
    pub fn publish(&self, key: &str, value: impl Into<String>) -> u64 {
        self.core.publish(key, value.into())
    }

    /// Replaces the list of VMs and returns its version.
    pub fn set_vms(&self, vms: Vec<Vm>) -> u64 {
        self.core.set_vms(vms)
    }

    /// Switches how the platform answers readers.
    ///
    /// # Errors
    /// Returns an error if the port can't be bound again.
    pub fn switch(&self, switch: PlatformSwitch) -> io::Result<()> {
        self.core.switch(switch)
    }

    /// Returns the counts of reads.
    pub fn counts(&self) -> PlatformCounts {
        self.core.state().counts()
    }

    /// Stops the platform.
    pub fn close(self) {
        self.core.close();
        self.relay.close();
        self.server.close();
    }
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, key: &str, value: String) -> u64 {
        let version = self.state().publish(key, value, Instant::now());
        self.changed.notify_all();
        version
    }

    fn set_vms(&self, vms: Vec<Vm>) -> u64 {
        let visible_at = Instant::now() + self.vm_lag;
        let version = self.state().set_vms(vms, visible_at);
        self.changed.notify_all();
        version
    }

    fn switch(&self, switch: PlatformSwitch) -> io::Result<()> {
        self.state().switch = switch;
        self.changed.notify_all();
        let Some(relay) = self.relay.get() else {
            return Ok(());
        };
        if switch != PlatformSwitch::Down {
            return relay.accept();
        }
        relay.refuse();
        relay.cut();
        Ok(())
    }

    fn close(&self) {
        self.state().closed = true;
        self.changed.notify_all();
    }
}
