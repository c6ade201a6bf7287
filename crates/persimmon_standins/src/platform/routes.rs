//! HTTP routes of the platform.

use std::sync::{MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_records::VmList;
use serde::Serialize;
use tiny_http::Method;

use super::state::{Read, State, Version, Versions};
use super::{Core, PlatformSwitch};
use crate::http::{Call, Handler};

/// Maximum duration of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize)]
struct ValueAnswer {
    version: u64,
    value: String,
}

#[derive(Debug, Serialize)]
struct Published {
    version: u64,
}

/// Result of a watch.
enum WatchResult<T> {
    Newer(Version<T>),
    NothingNewer,
    Unknown,
    /// The stand-in was closed during the watch.
    Closed,
}

impl Handler for Core {
    fn handle(&self, call: Call) {
        let path = call.path();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (call.method(), segments.as_slice()) {
            (Method::Get, ["v1", "values", key @ ..]) => self.read_value(call, &key.join("/")),
            (Method::Get, ["v1", "vms"]) => self.read_vms(call),
            (Method::Get, ["v1", "weights", _]) => self.read_weights(call),
            (Method::Put, ["v1", "values", key @ ..]) => self.put_value(call, &key.join("/")),
            (Method::Put, ["v1", "vms"]) => self.put_vms(call),
            (Method::Post, ["stand-in", "switch"]) => self.post_switch(call),
            (Method::Get, ["stand-in", "counts"]) => {
                let counts = self.state().counts();
                call.reply_json(200, &counts);
            }
            _ => call.reply_empty(404),
        }
    }
}

impl Core {
    fn read_value(&self, call: Call, key: &str) {
        self.count(Read::Value);
        let result = self.watch(&call, |state| state.value(key));
        reply_with_result(call, result, |found| ValueAnswer {
            version: found.number,
            value: found.value,
        });
    }

    fn read_vms(&self, call: Call) {
        self.count(Read::Vms);
        let result = self.watch(&call, |state| Some(&state.vms));
        reply_with_result(call, result, |found| VmList { version: found.number, vms: found.value });
    }

    fn read_weights(&self, call: Call) {
        self.count(Read::Weights);
        self.delay();
        let silent = |state: &mut State| state.switch == PlatformSwitch::Silent && !state.closed;
        let state = self.changed.wait_while(self.state(), silent);
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        if state.over_weight_rate(self.weights_per_second) {
            state.count_refused_weights();
            drop(state);
            return call.reply_retry_after(429, 1);
        }
        drop(state);
        call.reply_bytes(200, vec![0; self.weight_bytes]);
    }

    fn count(&self, read: Read) {
        let second = self.started_at.elapsed().as_secs();
        self.state().count(read, second);
    }

    /// Waits until a version newer than the query parameter `after` is visible, for at most
    /// `wait_ms`.
    fn watch<T: Clone>(
        &self,
        call: &Call,
        versions: impl Fn(&State) -> Option<&Versions<T>>,
    ) -> WatchResult<T> {
        let after = call.query_number("after").unwrap_or(0);
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        self.delay();
        let mut state = self.state();
        loop {
            let now = Instant::now();
            if state.closed {
                return WatchResult::Closed;
            }
            if state.switch == PlatformSwitch::Silent {
                state = self.wait_until(state, now + MAX_WAIT);
                continue;
            }
            let Some(versions) = versions(&state) else {
                return WatchResult::Unknown;
            };
            let visible = versions.visible(now, state.switch);
            if let Some(newer) = visible.filter(|version| version.number > after) {
                return WatchResult::Newer(newer.clone());
            }
            if now >= deadline {
                return WatchResult::NothingNewer;
            }
            let next = versions.next_visible_at(now).unwrap_or(deadline);
            state = self.wait_until(state, deadline.min(next));
        }
    }

    fn delay(&self) {
        let switch = self.state().switch;
        if let PlatformSwitch::Slow { delay_ms } = switch {
            thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    fn wait_until<'a>(&self, state: MutexGuard<'a, State>, at: Instant) -> MutexGuard<'a, State> {
        let wait = at.saturating_duration_since(Instant::now());
        let waited = self.changed.wait_timeout(state, wait);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    fn put_value(&self, mut call: Call, key: &str) {
        let body = call.read_body().ok().and_then(|body| String::from_utf8(body).ok());
        let Some(value) = body else {
            return call.reply_empty(400);
        };
        call.reply_json(200, &Published { version: self.publish(key, value) });
    }

    fn put_vms(&self, mut call: Call) {
        let Ok(vms) = call.read_json() else {
            return call.reply_empty(400);
        };
        call.reply_json(200, &Published { version: self.set_vms(vms) });
    }

    fn post_switch(&self, mut call: Call) {
        let Ok(switch) = call.read_json() else {
            return call.reply_empty(400);
        };
        match self.switch(switch) {
            Ok(()) => call.reply_empty(200),
            Err(_) => call.reply_empty(500),
        }
    }
}

fn reply_with_result<T, A: Serialize>(
    call: Call,
    result: WatchResult<T>,
    found: impl Fn(Version<T>) -> A,
) {
    match result {
        WatchResult::Newer(version) => call.reply_json(200, &found(version)),
        WatchResult::NothingNewer => call.reply_empty(204),
        WatchResult::Unknown => call.reply_empty(404),
        WatchResult::Closed => call.reply_empty(503),
    }
}
