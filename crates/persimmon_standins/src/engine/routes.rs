//! HTTP routes of the engine.

use std::sync::PoisonError;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tiny_http::Method;

use super::Core;
use super::cache::{Event, Link};
use super::generate::GenerateBody;
use super::state::{Fence, State};
use crate::http::{Call, Handler};

#[derive(Debug, Deserialize)]
struct CancelBody {
    request_id: String,
}

#[derive(Debug, Serialize)]
struct CancelAnswer {
    cancelled: bool,
}

#[derive(Debug, Serialize)]
struct LoadAnswer {
    running: usize,
    waiting: usize,
    lag_ms: u128,
}

#[derive(Debug, Serialize)]
struct EventsAnswer {
    events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    fence: Fence,
    order: Value,
}

#[derive(Debug, Serialize)]
struct OrderAnswer {
    done: bool,
}

#[derive(Debug, Serialize)]
struct HealthAnswer {
    incarnation: u64,
}

impl Handler for Core {
    fn handle(&self, call: Call) {
        let path = call.path();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (call.method(), segments.as_slice()) {
            (method, ["v1", rest @ ..]) => self.route(call, &method, rest),
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
    fn route(&self, call: Call, method: &Method, segments: &[&str]) {
        self.wait_while_frozen();
        match (method, segments) {
            (Method::Post, ["generate"]) => self.post_generate(call),
            (Method::Post, ["cancel"]) => self.post_cancel(call),
            (Method::Get, ["load"]) => self.get_load(call),
            (Method::Get, ["cache", "events"]) => self.get_events(call),
            (Method::Get, ["cache", "export", prefix]) => self.get_export(call, prefix),
            (Method::Post, ["cache", "import", prefix]) => self.post_import(call, prefix),
            (Method::Post, ["orders"]) => self.post_order(call),
            (Method::Get, ["health"]) => {
                let incarnation = self.state().incarnation;
                call.reply_json(200, &HealthAnswer { incarnation });
                self.state().last_health_check_in = Some(incarnation);
                self.changed.notify_all();
            }
            _ => call.reply_empty(404),
        }
    }

    /// Blocks the call while the engine is frozen.
    fn wait_while_frozen(&self) {
        let frozen = |state: &mut State| state.frozen && !state.closed;
        let waited = self.changed.wait_while(self.state(), frozen);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn post_generate(&self, mut call: Call) {
        self.state().counts.generate_calls += 1;
        let Ok(body) = call.read_json::<GenerateBody>() else {
            return call.reply_empty(400);
        };
        if !self.state().models.contains(&body.model) {
            return call.reply_empty(404);
        }
        self.generate(call, &body);
    }

    fn post_cancel(&self, mut call: Call) {
        let Ok(CancelBody { request_id }) = call.read_json() else {
            return call.reply_empty(400);
        };
        let mut cancelled = false;
        for run in self.state().runs.values_mut().filter(|run| run.request_id == request_id) {
            run.cancelled = true;
            cancelled = true;
        }
        self.changed.notify_all();
        call.reply_json(200, &CancelAnswer { cancelled });
    }

    fn get_load(&self, call: Call) {
        let lag = self.settings.load_lag;
        let (running, waiting) = self.state().load_before(Instant::now(), lag);
        call.reply_json(200, &LoadAnswer { running, waiting, lag_ms: lag.as_millis() });
    }

    fn get_events(&self, call: Call) {
        let after = call.query_number("after").unwrap_or(0);
        let events = self.state().cache.events_after(after, Instant::now());
        call.reply_json(200, &EventsAnswer { events });
    }

    fn get_export(&self, call: Call, prefix: &str) {
        let Ok(prefix) = u64::from_str_radix(prefix, 16) else {
            return call.reply_empty(400);
        };
        let links = self.state().cache.export(prefix);
        match links {
            Some(links) => call.reply_json(200, &links),
            None => call.reply_empty(404),
        }
    }

    fn post_import(&self, mut call: Call, prefix: &str) {
        let links = call.read_json::<Vec<Link>>();
        let matches_prefix = |links: &Vec<Link>| {
            links.last().map(|link| link.prefix) == u64::from_str_radix(prefix, 16).ok()
        };
        let Some(links) = links.ok().filter(matches_prefix) else {
            return call.reply_empty(400);
        };
        self.state().cache.insert(&links);
        call.reply_empty(200);
    }

    fn post_order(&self, mut call: Call) {
        let Ok(OrderBody { fence, order }) = call.read_json() else {
            return call.reply_empty(400);
        };
        let known = ["load_model", "load_adapter", "role"];
        if !known.iter().any(|name| order.get(name).is_some()) {
            return call.reply_empty(400);
        }
        let mut state = self.state();
        if self.settings.checks_fence && fence < state.fence {
            state.counts.orders_refused += 1;
            drop(state);
            return call.reply_empty(409);
        }
        state.fence = state.fence.max(fence);
        if let Some(model) = order.get("load_model").and_then(Value::as_str) {
            state.load_model(model);
        }
        state.record_order(fence, order);
        drop(state);
        call.reply_json(200, &OrderAnswer { done: true });
    }

    fn post_switch(&self, mut call: Call) {
        let Ok(switch) = call.read_json() else {
            return call.reply_empty(400);
        };
        self.switch(switch);
        call.reply_empty(200);
    }
}
