//! Sends requests directly to an engine, as the baseline for the time that the fleet adds.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Instant;

use serde_json::{Value, json};

use crate::MeasureError;
use crate::first_token::Arrivals;

/// Timeout of a request, in seconds.
const TIMEOUT_S: u64 = 30;

/// A streaming request that is sent directly to an engine.
#[derive(Debug)]
pub(crate) struct DirectRequest<'a> {
    pub(crate) engine: SocketAddr,
    pub(crate) model: &'a str,
    pub(crate) content: &'a str,
    pub(crate) max_tokens: u32,
    /// Number that is unique among the requests of the run.
    pub(crate) number: u128,
}

impl DirectRequest<'_> {
    /// Sends the request and records when each token arrives.
    pub(crate) fn run(&self) -> Result<Arrivals, MeasureError> {
        let body = json!({
            "request_id": format!("{:032x}", self.number),
            "model": self.model,
            "messages": [{"role": "user", "content": self.content}],
            "max_tokens": self.max_tokens,
            "priority": 1,
            "resume_from": 0,
        });
        let url = format!("http://{}/v1/generate", self.engine);
        let request = minreq::post(url).with_timeout(TIMEOUT_S).with_body(body.to_string());
        let sent_at = Instant::now();
        let reply = BufReader::new(request.send_lazy()?);
        let mut tokens = Vec::new();
        for line in reply.lines() {
            let arrived_at = Instant::now();
            let line: Value = serde_json::from_str(&line?).unwrap_or_default();
            if line.get("token").is_some() {
                tokens.push(arrived_at);
            }
        }
        Ok(Arrivals { sent_at, tokens })
    }
}
