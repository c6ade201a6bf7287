//! Callers that each keep one stream open.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use persimmon_standins::fleet::{Caller, ChatRequest};

use super::ThroughputSettings;
use super::testbed::{KEY, MODEL, Testbed};
use crate::MeasureError;

/// Number of tokens in each answer.
const ANSWER_TOKENS: u32 = 512;

/// Requests that were refused or cut off.
#[derive(Debug, Default)]
pub(super) struct Failures {
    pub(super) count: u64,
    /// Error of one of the failed requests.
    pub(super) first: Option<String>,
}

impl Failures {
    fn merge(self, other: Self) -> Self {
        Self { count: self.count + other.count, first: self.first.or(other.first) }
    }
}

/// Threads that each keep one stream open until [`Callers::close`] is called.
pub(super) struct Callers {
    pub(super) tokens: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Failures>>,
}

impl Callers {
    pub(super) fn start(
        testbed: &Testbed,
        settings: ThroughputSettings,
    ) -> Result<Self, MeasureError> {
        let tokens = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..settings.streams {
            let router = &testbed.routers[number % testbed.routers.len()];
            let caller = Caller::new(testbed.daemons.listen(router)?, KEY);
            let (tokens, stop) = (tokens.clone(), stop.clone());
            threads.push(thread::spawn(move || keep_streaming(&caller, number, &tokens, &stop)));
        }
        Ok(Self { tokens, stop, threads })
    }

    /// Stops the threads and returns the failed requests.
    pub(super) fn close(self) -> Failures {
        self.stop.store(true, Ordering::Relaxed);
        let failed = self.threads.into_iter().filter_map(|thread| thread.join().ok());
        failed.fold(Failures::default(), Failures::merge)
    }
}

/// Pause after a request that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

fn keep_streaming(
    caller: &Caller,
    number: usize,
    tokens: &AtomicU64,
    stop: &AtomicBool,
) -> Failures {
    let mut failed = Failures::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let content = format!("stream {number} round {round}");
        let request = ChatRequest::new(MODEL, &content).with_max_tokens(ANSWER_TOKENS);
        if let Err(err) = stream_once(caller, &request, tokens, stop) {
            failed = failed.merge(Failures { count: 1, first: Some(err.to_string()) });
            thread::sleep(FAILURE_PAUSE);
        }
    }
    failed
}

/// Reads one stream until it ends or the callers are stopped.
fn stream_once(
    caller: &Caller,
    request: &ChatRequest,
    tokens: &AtomicU64,
    stop: &AtomicBool,
) -> Result<(), MeasureError> {
    let mut stream = caller.stream(request)?;
    if stream.status() != 200 {
        let reply = stream.into_reply()?;
        return Err(MeasureError::Refused { status: reply.status, body: reply.body });
    }
    let mut found = 0;
    let mut last = String::new();
    while let Some(event) = stream.next_event()? {
        if event.is_done() || stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        // Searches the text instead of parsing JSON, to leave CPU time to the measured
        // processes on the same machine.
        if event.data.contains("\"content\"") {
            found += 1;
            tokens.fetch_add(1, Ordering::Relaxed);
        }
        last = event.data;
    }
    if last.contains("\"error\"") {
        return Err(MeasureError::Refused { status: 200, body: last });
    }
    Err(MeasureError::StreamCutOff { found, wanted: ANSWER_TOKENS as usize })
}
