//! Stand-in for a model engine with continuous batching, a prompt prefix cache and token streams.

mod answer;
mod builder;
mod cache;
mod generate;
mod routes;
mod state;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http::HttpServer;
use crate::relay::Relay;
use builder::Settings;
use state::State;

pub use answer::{MAX_ANSWER_TOKENS, Message, expected_answer, prompt_tokens};
pub use builder::EngineBuilder;
pub use state::Fence;

/// A command that changes the engine's behaviour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum EngineSwitch {
    /// Normal operation at the configured speed, without stalls.
    Up,
    /// A freeze, in which the engine accepts connections but neither answers nor generates.
    Freeze,
    /// Slower prompt processing and token generation.
    Slow {
        /// Factor by which each token takes longer.
        factor: u32,
    },
    /// A stall of every stream after a number of tokens.
    HoldAfter {
        /// Number of tokens sent before the stream stalls.
        tokens: u32,
    },
    /// A crash, which breaks every stream, clears the cache and makes the engine refuse connections
    /// for a while.
    Crash,
}

/// A request that the engine started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// Id of the request.
    pub request_id: String,
    /// Value of the request's `traceparent` header.
    pub traceparent: Option<String>,
    /// Start time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens of the prompt found in the prefix cache.
    pub cached_tokens: u32,
    /// Index of the first token that the request asks for.
    pub resume_from: u32,
}

/// Counts and records of the requests that the engine received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Incarnation of the engine, which each crash increments.
    pub incarnation: u64,
    /// Number of runs of each request id.
    pub runs: BTreeMap<String, u64>,
    /// Requests that ran, in order.
    pub admissions: Vec<Admission>,
    /// Highest number of requests that ran concurrently.
    pub most_running: usize,
    /// Number of runs whose answer was generated to its end.
    pub finished: u64,
    /// Number of runs cancelled by request id.
    pub cancelled: u64,
    /// Number of runs whose reader disconnected.
    pub cut: u64,
    /// Number of requests refused because all slots and the queue were full.
    pub refused: u64,
    /// Number of requests to generate an answer, including refused ones.
    pub generate_calls: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Orders that the engine carried out.
    pub orders: Vec<serde_json::Value>,
    /// Fencing tokens of the orders that the engine carried out.
    pub fences: Vec<Fence>,
    /// Number of orders refused because of an outdated fencing token.
    pub orders_refused: u64,
}

/// A stand-in for a model engine.
///
/// ```
/// use persimmon_standins::Engine;
///
/// let engine = Engine::builder("chat-large").with_slots(2).start().unwrap();
/// assert_eq!(engine.counts().most_running, 0);
/// engine.close();
/// ```
#[derive(Debug)]
pub struct Engine {
    server: HttpServer,
    relay: Relay,
    core: Arc<Core>,
}

/// State shared by the request handlers and the [`Engine`] handle.
#[derive(Debug)]
struct Core {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
    relay: OnceLock<Relay>,
}

impl Engine {
    /// Returns a builder for an engine with `model` loaded.
    pub fn builder(model: impl Into<String>) -> EngineBuilder {
        EngineBuilder::new(model)
    }

    /// Returns the address to which the sidecar connects.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the address of the control port, which answers in every mode.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the relay that carries the sidecar's connections and can silence or cut them.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns the counts of received requests.
    pub fn counts(&self) -> EngineCounts {
        self.core.state().counts()
    }

    /// Switches the engine's behaviour, also for requests in progress.
    pub fn switch(&self, switch: EngineSwitch) {
        self.core.switch(switch);
    }

    /// Stops the engine and every stream.
    pub fn close(self) {
        self.core.state().closed = true;
        self.core.changed.notify_all();
        self.relay.close();
        self.server.close();
    }
}

impl Core {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, time: Duration) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, time);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn switch(&self, switch: EngineSwitch) {
        let mut state = self.state();
        match switch {
            EngineSwitch::Up => {
                state.frozen = false;
                state.slowdown_factor = 1;
                state.stall_after_tokens = None;
            }
            EngineSwitch::Freeze => state.frozen = true,
            EngineSwitch::Slow { factor } => state.slowdown_factor = factor,
            EngineSwitch::HoldAfter { tokens } => state.stall_after_tokens = Some(tokens),
            EngineSwitch::Crash => {
                drop(state);
                return self.crash();
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Waits until a health check has been answered in the current incarnation.
    fn wait_for_health_check(&self) {
        let unseen = |state: &mut State| {
            state.last_health_check_in != Some(state.incarnation) && !state.closed
        };
        let waited = self.changed.wait_while(self.state(), unseen);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn crash(&self) {
        self.state().crash();
        self.changed.notify_all();
        let Some(relay) = self.relay.get() else { return };
        if self.settings.cuts_after_health_check {
            self.wait_for_health_check();
            return relay.cut();
        }
        relay.crash("engine", self.settings.crash_downtime);
    }
}

impl EngineBuilder {
    /// Starts the engine on a port that the operating system assigns.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(self) -> io::Result<Engine> {
        let core = Arc::new(self.into_core());
        let server = HttpServer::start(&core)?;
        let relay = Relay::start(server.address())?;
        let relay = core.relay.get_or_init(|| relay).clone();
        Ok(Engine { server, relay, core })
    }
}
