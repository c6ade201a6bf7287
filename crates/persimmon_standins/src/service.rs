//! Stand-in for a plain service, such as a booking service, that counts the runs of each key.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::Method;

use crate::http::{Call, Handler, HttpServer};
use crate::relay::Relay;

/// Time for which the service refuses connections after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);
/// Maximum number of keys that the service stores. It answers calls with further keys with a 507.
const MAX_KEYS: usize = 100_000;

/// A command that changes how the service handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum ServiceSwitch {
    /// Normal operation: each call runs and is answered without delay.
    #[default]
    Up,
    /// Delayed answers to calls that run without delay.
    Slow {
        /// Delay between run and answer, in milliseconds.
        delay_ms: u64,
    },
    /// A freeze: calls wait before they run until the next switch.
    Freeze,
    /// Refusal of each call with a 500 before it runs.
    Fail,
    /// Truncated answers to calls that run: the connection closes in the middle of the body.
    Truncate {
        /// Whether the body is chunked; otherwise its length is stated.
        chunked: bool,
    },
}

/// Counts of the calls that the service received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Number of runs of each key.
    pub runs: BTreeMap<String, u64>,
    /// Number of calls received, including those that didn't run.
    pub calls: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// `traceparent` header of the most recent call of each key.
    pub traceparents: BTreeMap<String, String>,
}

/// A stand-in for a plain service.
///
/// ```
/// use persimmon_standins::Service;
///
/// let service = Service::start().unwrap();
/// assert!(service.counts().runs.is_empty());
/// service.close();
/// ```
#[derive(Debug)]
pub struct Service {
    server: HttpServer,
    relay: Relay,
    core: Arc<Core>,
}

#[derive(Debug, Default)]
struct Core {
    /// Operation that crashes the service.
    crash_operation: Option<String>,
    /// The only way to the service, which is closed while it is down.
    relay: OnceLock<Relay>,
    state: Mutex<State>,
    switched: Condvar,
}

#[derive(Debug, Default)]
struct State {
    switch: ServiceSwitch,
    counts: ServiceCounts,
}

#[derive(Debug, Deserialize)]
struct ServiceCall {
    key: String,
    operation: String,
    #[serde(rename = "body", default)]
    _body: serde_json::Value,
}

#[derive(Debug, Serialize)]
struct Confirmation {
    confirmation: String,
    runs: u64,
}

impl Service {
    /// Starts the service on a port that the operating system assigns.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        Self::start_crashing_on(None)
    }

    /// Starts a service that crashes whenever a call with this operation runs, if there is one.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start_crashing_on(operation: Option<String>) -> io::Result<Self> {
        let core = Arc::new(Core { crash_operation: operation, ..Core::default() });
        let server = HttpServer::start(&core)?;
        let relay = Relay::start(server.address())?;
        let relay = core.relay.get_or_init(|| relay).clone();
        Ok(Self { server, relay, core })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the counts of received calls.
    pub fn counts(&self) -> ServiceCounts {
        self.core.state().counts.clone()
    }

    /// Switches how the service handles calls, including waiting ones.
    pub fn switch(&self, switch: ServiceSwitch) {
        self.core.switch(switch);
    }

    /// Stops the service and fails waiting calls.
    pub fn close(self) {
        self.core.switch(ServiceSwitch::Fail);
        self.relay.close();
        self.server.close();
    }
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn switch(&self, switch: ServiceSwitch) {
        self.state().switch = switch;
        self.switched.notify_all();
    }

    /// Breaks all connections, and refuses new ones for [`CRASH_DOWNTIME`].
    fn crash(&self) {
        self.state().counts.crashes += 1;
        if let Some(relay) = self.relay.get() {
            relay.crash("service", CRASH_DOWNTIME);
        }
    }

    fn call(&self, mut call: Call) {
        self.state().counts.calls += 1;
        let Ok(service_call) = call.read_json::<ServiceCall>() else {
            return call.reply_empty(400);
        };
        let traceparent = call.header("traceparent");
        let frozen = |state: &mut State| state.switch == ServiceSwitch::Freeze;
        let state = self.switched.wait_while(self.state(), frozen);
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        let switch = state.switch;
        if switch == ServiceSwitch::Fail {
            return call.reply_empty(500);
        }
        let Some(confirmation) = state.run(&service_call.key, traceparent) else {
            return call.reply_empty(507);
        };
        drop(state);
        if self.crash_operation.as_ref() == Some(&service_call.operation) {
            return self.crash();
        }
        if let ServiceSwitch::Slow { delay_ms } = switch {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        match switch {
            ServiceSwitch::Truncate { chunked } => call.reply_truncated(&confirmation, chunked),
            _ => call.reply_json(200, &confirmation),
        }
    }
}

impl State {
    /// Counts a run of `key` and returns its confirmation, or `None` if [`MAX_KEYS`] other keys are
    /// stored.
    fn run(&mut self, key: &str, traceparent: Option<String>) -> Option<Confirmation> {
        let counts = &mut self.counts;
        if counts.runs.len() >= MAX_KEYS && !counts.runs.contains_key(key) {
            return None;
        }
        let runs = counts.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if let Some(traceparent) = traceparent {
            counts.traceparents.insert(key.to_owned(), traceparent);
        }
        // Includes the number of runs, so that callers can detect a second run.
        Some(Confirmation { confirmation: format!("confirmed-{key}-{runs}"), runs })
    }
}

impl Handler for Core {
    fn handle(&self, mut call: Call) {
        let path = call.path();
        match (call.method(), path.as_str()) {
            (Method::Post, "/v1/calls") => self.call(call),
            (Method::Get, "/stand-in/counts") => {
                let counts = self.state().counts.clone();
                call.reply_json(200, &counts);
            }
            (Method::Post, "/stand-in/switch") => match call.read_json() {
                Ok(switch) => {
                    self.switch(switch);
                    call.reply_empty(200);
                }
                Err(_) => call.reply_empty(400),
            },
            _ => call.reply_empty(404),
        }
    }
}
