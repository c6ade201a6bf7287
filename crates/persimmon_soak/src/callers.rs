//! Callers that go on calling while faults happen.

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
/// Calls over one connection before a new one is opened.
const CALLS_PER_CONNECTION: u32 = 20;
/// Part of the calls whose caller leaves, one in so many.
const LEAVING_SHARE: u32 = 25;

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Once,
    Lookup,
    Draft,
    Chat,
}

impl Kind {
    /// The first part of its route's paths.
    pub(crate) fn route(self) -> &'static str {
        match self {
            Self::Once => "commit",
            Self::Lookup => "lookup",
            Self::Draft => "draft",
            Self::Chat => "chat",
        }
    }

    /// Whether it may run once only.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Chat)
    }

    /// Whether its answer is a stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Chat)
    }
}

/// One call and its end.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) gateway: usize,
    /// The caller's key.
    pub(crate) key: &'static str,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    /// The answer, if the gateway took the connection.
    pub(crate) answer: io::Result<Answer>,
    /// Whether the request was sent.
    pub(crate) is_sent: bool,
    /// Whether the caller left without its answer.
    pub(crate) has_left: bool,
}

/// What callers are told while they call.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// Whether everyone stops for good.
    pub(crate) stop: AtomicBool,
    /// Whether those call that only do in a surge.
    pub(crate) surge: AtomicBool,
}

impl Orders {
    /// Waits until a caller may call; false if it stops for good.
    fn wait(&self, is_surge_only: bool) -> bool {
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

/// One caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallerSpec {
    /// Its number, which names its calls.
    pub(crate) number: u64,
    /// The seed of its choices.
    pub(crate) seed: u64,
    /// Its key.
    pub(crate) key: &'static str,
    /// Whether it calls in surges only.
    pub(crate) is_surge_only: bool,
}

/// Calls until told to stop, and returns every call.
pub(crate) fn call_until(orders: &Orders, spec: CallerSpec, gateways: &[SocketAddr]) -> Vec<Call> {
    let CallerSpec { number, seed, key, is_surge_only } = spec;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut calls = Vec::new();
    let mut open: Option<(usize, Caller, u32)> = None;
    while orders.wait(is_surge_only) {
        let kind = match rng.random_range(0..4) {
            0 => Kind::Once,
            1 => Kind::Lookup,
            2 => Kind::Draft,
            _ => Kind::Chat,
        };
        let id = format!("{number}-{}", calls.len());
        let began = Instant::now();
        let kept = open.take().filter(|(_, _, used)| *used < CALLS_PER_CONNECTION);
        let (gateway, connected, used) = match kept {
            Some((gateway, caller, used)) => (gateway, Ok(caller), used),
            None => {
                let gateway = rng.random_range(0..gateways.len());
                (gateway, Caller::connect(gateways[gateway]), 0)
            }
        };
        let has_left = rng.random_ratio(1, LEAVING_SHARE);
        let mut is_sent = false;
        let mut reusable = None;
        let answer = connected.and_then(|caller| {
            let path = format!("/{}/x", kind.route());
            let caller = caller.request("POST", &path, &id).with_key(key);
            let mut caller = caller.with_deadline_ms(4_000);
            caller.send("body")?;
            is_sent = true;
            if has_left {
                leave(caller, kind)?;
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let answer = caller.receive()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            reusable = (answer.is_complete && !answer.closes).then_some(caller);
            Ok(answer)
        });
        open = reusable.map(|caller| (gateway, caller, used + 1));
        let ended = Instant::now();
        calls.push(Call { id, kind, gateway, key, began, ended, answer, is_sent, has_left });
    }
    calls
}

/// Closes the connection, once a stream has begun or before a short answer.
fn leave(mut caller: Caller, kind: Kind) -> io::Result<()> {
    if kind.is_stream() {
        caller.wait_for("HTTP/1.1")?;
    }
    caller.close();
    Ok(())
}
