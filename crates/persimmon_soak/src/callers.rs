//! Callers that send requests while faults are injected.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Answer, Caller};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Pause between two calls of one caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Maximum number of calls over one connection.
const CALLS_PER_CONNECTION: u32 = 20;
/// One in this many calls is abandoned by its caller.
const ABANDON_ONE_IN: u32 = 25;

/// Kind of a call, which selects its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Once,
    Lookup,
    Draft,
    Chat,
}

impl CallKind {
    /// Returns the first segment of the route's paths.
    pub(crate) fn route(self) -> &'static str {
        match self {
            Self::Once => "commit",
            Self::Lookup => "lookup",
            Self::Draft => "draft",
            Self::Chat => "chat",
        }
    }

    /// Reports whether the request may run only once.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Chat)
    }

    /// Reports whether the answer is a stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Chat)
    }
}

/// A broken stream that a call takes up again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BrokenStream {
    /// Id of the call that brought its first event.
    pub(crate) first_id: String,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: u64,
}

/// A call that has ended.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: CallKind,
    pub(crate) gateway: usize,
    /// Key of the caller.
    pub(crate) key: &'static str,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    /// Answer, or the error that ended the connection.
    pub(crate) answer: io::Result<Answer>,
    /// When the last byte of the request was sent, if it was.
    pub(crate) sent: Option<Instant>,
    /// Whether the caller closed the connection before the end of the answer.
    pub(crate) is_abandoned: bool,
    /// The stream that the call takes up again.
    pub(crate) takes_up: Option<BrokenStream>,
}

impl Call {
    /// Returns what its caller may take up again if the call ended before its stream did.
    fn broken_stream(&self) -> Option<BrokenStream> {
        let answer = self.answer.as_ref().ok().filter(|it| it.status == 200 && !it.is_complete)?;
        if self.kind != CallKind::Draft {
            return None;
        }
        let last_event = whole_events(&answer.body).filter_map(event_number).last()?;
        let first = self.takes_up.as_ref().map_or(&self.id, |it| &it.first_id);
        Some(BrokenStream { first_id: first.clone(), last_event })
    }
}

/// Returns the events of a body that are whole.
pub(crate) fn whole_events(body: &str) -> impl Iterator<Item = &str> {
    body.split_inclusive("\n\n").filter(|it| it.ends_with("\n\n"))
}

fn event_number(event: &str) -> Option<u64> {
    event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()
}

/// Flags that control the running callers.
#[derive(Debug, Default)]
pub(crate) struct CallerControls {
    /// Whether all callers stop.
    pub(crate) stop: AtomicBool,
    /// Whether the callers for surges send requests.
    pub(crate) surge: AtomicBool,
}

impl CallerControls {
    /// Waits until the caller may send a request. Returns false if it has to stop.
    pub(crate) fn wait(&self, is_surge_only: bool) -> bool {
        loop {
            thread::sleep(PAUSE);
            if self.stop.load(Ordering::Relaxed) {
                return false;
            }
            if !is_surge_only || self.surge.load(Ordering::Relaxed) {
                return true;
            }
        }
    }
}

/// Settings of one caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerSpec {
    /// Number of the caller, which is part of its request ids.
    pub(crate) number: u64,
    /// Seed of the run, from which the caller's random choices derive.
    pub(crate) seed: u64,
    /// Key of the caller.
    pub(crate) key: &'static str,
    /// Whether the caller sends requests only during surges.
    pub(crate) is_surge_only: bool,
}

/// Sends requests until `controls` stops the callers, and returns all calls.
pub(crate) fn run_caller(
    controls: &CallerControls,
    spec: CallerSpec,
    gateways: &[SocketAddr],
) -> Vec<Call> {
    let CallerSpec { number, seed, key, is_surge_only } = spec;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut calls = Vec::new();
    let mut open: Option<(usize, Caller, u32)> = None;
    let mut broken = None;
    while controls.wait(is_surge_only) {
        let takes_up: Option<BrokenStream> = broken.take();
        let drawn = match rng.random_range(0..4) {
            0 => CallKind::Once,
            1 => CallKind::Lookup,
            2 => CallKind::Draft,
            _ => CallKind::Chat,
        };
        let kind = if takes_up.is_some() { CallKind::Draft } else { drawn };
        let id = format!("{number}-{}", calls.len());
        let began = Instant::now();
        let reused = open.take().filter(|(_, _, used)| *used < CALLS_PER_CONNECTION);
        let (gateway, connected, used) = match reused {
            Some((gateway, caller, used)) => (gateway, Ok(caller), used),
            None => {
                let gateway = rng.random_range(0..gateways.len());
                (gateway, Caller::connect(gateways[gateway]), 0)
            }
        };
        let is_abandoned = rng.random_ratio(1, ABANDON_ONE_IN);
        let mut sent = None;
        let mut reusable = None;
        let answer = connected.and_then(|caller| {
            let path = format!("/{}/x", kind.route());
            let caller = caller.request("POST", &path, &id).with_key(key);
            let mut caller = caller.with_deadline_ms(4_000);
            if let Some(stream) = &takes_up {
                caller = caller.with_last_event(stream.last_event).with_first_id(&stream.first_id);
            }
            caller.send("body")?;
            sent = Some(Instant::now());
            if is_abandoned {
                abandon(caller, kind)?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let answer = caller.receive()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            reusable = (answer.is_complete && !answer.closes).then_some(caller);
            Ok(answer)
        });
        open = reusable.map(|caller| (gateway, caller, used + 1));
        let ended = Instant::now();
        let call =
            Call { id, kind, gateway, key, began, ended, answer, sent, is_abandoned, takes_up };
        broken = call.broken_stream();
        calls.push(call);
    }
    calls
}

/// Closes the connection without reading the answer, but waits for the start of a stream.
fn abandon(mut caller: Caller, kind: CallKind) -> io::Result<()> {
    if kind.is_stream() {
        caller.wait_for("HTTP/1.1")?;
    }
    caller.close();
    Ok(())
}
