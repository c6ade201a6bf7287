//! Callers that use gateways until they are gone.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use persimmon_platform::standin::Caller;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Call, CallKind, CallerControls};
use crate::testbed::{KEY, Timeouts};

/// One in this many calls opens a connection of its own.
const NEW_ONE_IN: u32 = 8;
/// One in this many requests has a body in chunks, in runs with odd seeds. Such requests last long, so
/// that gateways expect the same of others.
const CHUNKS_ONE_IN: u32 = 3;
/// Pause before each of [`CHUNKS`] of calls, and of streams, in milliseconds.
const CALL_PAUSE_MS: std::ops::Range<u64> = 20..400;
const STREAM_PAUSE_MS: std::ops::Range<u64> = 20..1_600;
const CHUNKS: [&str; 3] = ["bo", "d", "y"];
/// One in this many callers reads slowly.
const SLOW_ONE_IN: u64 = 6;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(40);

/// Sends requests until `controls` stops the callers, and returns all calls. The ids say how each was
/// sent.
pub(crate) fn run_stop_caller(
    controls: &CallerControls,
    (seed, number): (u64, u64),
    timeouts: Timeouts,
    gateways: &[SocketAddr],
) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let is_slow = number.is_multiple_of(SLOW_ONE_IN);
    let mut calls = Vec::new();
    let mut open: Option<(usize, Caller)> = None;
    while controls.wait(false) {
        let kinds = [CallKind::Once, CallKind::Lookup, CallKind::Draft, CallKind::Chat];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let has_chunks = !seed.is_multiple_of(2) && rng.random_ratio(1, CHUNKS_ONE_IN);
        let is_new = rng.random_ratio(1, NEW_ONE_IN);
        let pauses_ms = if kind.is_stream() { STREAM_PAUSE_MS } else { CALL_PAUSE_MS };
        let chunk_pause = Duration::from_millis(rng.random_range(pauses_ms));
        let drawn = rng.random_range(0..gateways.len());
        let kept = open.take().filter(|_| !is_new);
        let ways = [(kept.is_some(), "kept"), (has_chunks, "chunks"), (is_slow, "slow")];
        let ways = ways.map(|(is_so, name)| if is_so { name } else { "" }).join("-");
        let id = format!("s{seed}-{number}-{}-{ways}", calls.len());
        let began = Instant::now();
        let (gateway, connected) = match kept {
            Some((gateway, caller)) => (gateway, Ok(caller)),
            None => (drawn, Caller::connect(gateways[drawn])),
        };
        let (mut sent, mut reusable) = (None, None);
        let answer = connected.and_then(|mut caller| {
            if is_slow {
                caller.set_read_pause(SLOW_READ_PAUSE);
            }
            let caller = caller.request("POST", &format!("/{}/x", kind.route()), &id);
            let mut caller = caller.with_key(KEY).with_deadline_ms(timeouts.of(kind));
            let sending = match has_chunks {
                true => caller.send_chunks(&CHUNKS, chunk_pause),
                false => caller.send("body"),
            };
            sent = sending.is_ok().then(Instant::now);
            // A refusal may come before the whole body is sent.
            let answer = caller.receive()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            reusable = (sent.is_some() && answer.is_complete && !answer.closes).then_some(caller);
            Ok(answer)
        });
        open = reusable.map(|caller| (gateway, caller));
        let (ended, key, is_abandoned, takes_up) = (Instant::now(), KEY, false, None);
        calls.push(Call {
            id,
            kind,
            gateway,
            key,
            began,
            ended,
            answer,
            sent,
            is_abandoned,
            takes_up,
        });
    }
    calls
}
