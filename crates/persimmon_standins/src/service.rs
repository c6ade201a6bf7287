//! A plain service, such as a booking service, that counts how often each key ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::Method;

use crate::http::{Call, Handler, HttpServer};

/// Keys that the service remembers; calls with further keys get a 507.
const MAX_KEYS: usize = 100_000;

/// What the service does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum ServiceSwitch {
    /// Runs each call at once.
    #[default]
    Up,
    /// Runs each call and answers later.
    Slow {
        /// Milliseconds between run and answer.
        delay_ms: u64,
    },
    /// Keeps calls waiting, before they run, until it is switched again.
    Freeze,
    /// Refuses each call with a 500 and runs none.
    Fail,
}

/// What reached the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// How often each key ran.
    pub runs: BTreeMap<String, u64>,
    /// Calls that arrived, those that didn't run included.
    pub calls: u64,
    /// The `traceparent` that each key came with last.
    pub traceparents: BTreeMap<String, String>,
}

/// A plain service.
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
    core: Arc<Core>,
}

#[derive(Debug, Default)]
struct Core {
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
    #[serde(rename = "operation")]
    _operation: String,
    #[serde(rename = "body", default)]
    _body: serde_json::Value,
}

#[derive(Debug, Serialize)]
struct Confirmation {
    confirmation: String,
    runs: u64,
}

impl Service {
    /// Starts the service on a port that the system chooses.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn start() -> io::Result<Self> {
        let core = Arc::new(Core::default());
        let server = HttpServer::start(&core)?;
        Ok(Self { server, core })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What reached the service.
    pub fn counts(&self) -> ServiceCounts {
        self.core.state().counts.clone()
    }

    /// Changes what the service does with calls, those that wait included.
    pub fn switch(&self, switch: ServiceSwitch) {
        self.core.switch(switch);
    }

    /// Ends the service.
    pub fn close(self) {
        self.core.switch(ServiceSwitch::Fail);
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
        if let ServiceSwitch::Slow { delay_ms } = switch {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        call.reply_json(200, &confirmation);
    }
}

impl State {
    /// Runs the call of `key`, or nothing when too many keys are known.
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
        // A second run confirms something else, so that callers can see it.
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
