//! A model engine: batches continuously, caches prompt prefixes and streams tokens.

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
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http::HttpServer;
use crate::relay::Relay;
use builder::Settings;
use state::State;

pub use answer::{MAX_ANSWER_TOKENS, Message, expected_answer, prompt_tokens};
pub use builder::EngineBuilder;
pub use state::Fence;

/// What the engine is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum EngineSwitch {
    /// Runs at its usual speed and holds nothing back.
    Up,
    /// Takes connections, and neither answers nor generates until it is switched again.
    Freeze,
    /// Takes several times as long for each token.
    Slow {
        /// How many times as long.
        factor: u32,
    },
    /// Holds every stream back once it has sent this many tokens.
    HoldAfter {
        /// Tokens that are sent.
        tokens: u32,
    },
    /// Drops every stream, forgets its cache and refuses connections for a time.
    Crash,
}

/// A request that the engine began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The request's id.
    pub request_id: String,
    /// The `traceparent` that it came with.
    pub traceparent: Option<String>,
    /// When it began, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Its priority, 0 the most urgent.
    pub priority: u8,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its prompt that were cached.
    pub cached_tokens: u32,
    /// The first token that was asked for.
    pub resume_from: u32,
}

/// What reached the engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Which life the engine is in.
    pub incarnation: u64,
    /// How often each request id ran.
    pub runs: BTreeMap<String, u64>,
    /// The requests that ran, in order.
    pub admissions: Vec<Admission>,
    /// Most requests that ran at once.
    pub most_running: usize,
    /// Runs that were answered whole.
    pub finished: u64,
    /// Runs that were cancelled by request id.
    pub cancelled: u64,
    /// Runs whose reader went away.
    pub cut: u64,
    /// Requests refused since every slot and the queue were full.
    pub refused: u64,
    /// Requests to generate that arrived, those that were refused included.
    pub generate_calls: u64,
    /// Crashes.
    pub crashes: u64,
    /// The orders that were obeyed.
    pub orders: Vec<serde_json::Value>,
    /// The fencing numbers of the orders that were obeyed.
    pub fences: Vec<Fence>,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
}

/// A model engine.
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

#[derive(Debug)]
struct Core {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
    relay: OnceLock<Relay>,
}

impl Engine {
    /// Builds an engine with `model` loaded.
    pub fn builder(model: impl Into<String>) -> EngineBuilder {
        EngineBuilder::new(model)
    }

    /// Where the sidecar connects.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Where the engine's switch and counts are reached, in every mode.
    pub fn control_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The relay that the sidecar's connections go through, to silence or cut them.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// What reached the engine.
    pub fn counts(&self) -> EngineCounts {
        self.core.state().counts()
    }

    /// Changes what the engine does, for requests in progress too.
    pub fn switch(&self, switch: EngineSwitch) {
        self.core.switch(switch);
    }

    /// Ends the engine and every stream.
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

    /// Waits until a health check was answered in this life.
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
        let Some(relay) = self.relay.get().cloned() else {
            return;
        };
        if self.settings.cuts_after_health_check {
            self.wait_for_health_check();
            return relay.cut();
        }
        relay.refuse();
        relay.cut();
        let downtime = self.settings.crash_downtime;
        thread::spawn(move || {
            thread::sleep(downtime);
            if let Err(error) = relay.accept() {
                eprintln!("engine stand-in: its port was taken while it was down: {error}");
            }
        });
    }
}

impl EngineBuilder {
    /// Starts the engine on a port that the system chooses.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start(self) -> io::Result<Engine> {
        let core = Arc::new(self.into_core());
        let server = HttpServer::start(&core)?;
        let relay = Relay::start(server.address())?;
        let relay = core.relay.get_or_init(|| relay).clone();
        Ok(Engine { server, relay, core })
    }
}
