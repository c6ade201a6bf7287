//! Relays streams to callers, and resumes one at another endpoint when its endpoint fails.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AttemptEnd, BrokenOff, Endpoint, FailureReason, NextStep, Repeatable, StreamProgress,
};
use persimmon_process::PieceSender;

use crate::answer_buffer::BufferedAnswer;
use crate::events::EventSplitter;
use crate::exchange::{Answered, Exchange, OpenStream, keep_alive_timeout_s};
use crate::platform::Platform;

/// Interval at which a silent stream is checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 400;

/// Maximum size of a piece in the queue to a caller, in bytes.
const MAX_PIECE_BYTES: usize = 4 * 1024;

/// How the part of a stream from one endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartEnd {
    /// The endpoint sent the stream to its end.
    Complete,
    /// The endpoint's part ended early.
    Broken(FailureReason),
    /// The request's deadline has passed.
    Deadline,
    /// The answer was given up for lack of memory while the caller was slow to read.
    NoMemory,
    /// The caller stopped reading.
    CallerGone,
}

impl PartEnd {
    /// Returns the name for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken(reason) => reason.name(),
            Self::Deadline => "deadline",
            Self::NoMemory => "no_memory",
            Self::CallerGone => "caller_gone",
        }
    }

    /// Returns the kind of log line, to limit the rate of each kind.
    fn log_kind(self) -> &'static str {
        match self {
            Self::Complete => "part_complete",
            Self::Broken(_) => "part_broken",
            Self::Deadline | Self::NoMemory | Self::CallerGone => "part_stopped",
        }
    }
}

/// Progress of one endpoint's part of a stream, as received from it and as sent to the caller.
#[derive(Debug)]
struct PartProgress {
    received: StreamProgress,
    sent_bytes: u64,
    /// Memory of what has been received and not yet passed on.
    buffer: BufferedAnswer,
}

/// Relays a stream to its end. If it returns without completing `tx`, the caller sees that the
/// answer is truncated.
pub(crate) async fn relay<P: Platform>(
    mut exchange: Exchange<P>,
    mut stream: OpenStream<P>,
    mut keep_alive_s: Option<u64>,
    tx: PieceSender,
) {
    let is_resumable = exchange.plan.route.repeatable == Repeatable::FromLastEvent;
    let has_events = stream.has_events;
    let mut events = has_events.then(|| match is_resumable {
        true => EventSplitter::new(exchange.plan.head.last_event),
        false => EventSplitter::for_one_part(),
    });
    loop {
        let received = StreamProgress::new(has_events, stream.may_be_empty);
        let mut progress = PartProgress {
            received,
            sent_bytes: 0,
            buffer: BufferedAnswer::begin(&exchange.gw.answers),
        };
        let end = forward_part(&mut exchange, &mut stream, &mut events, &mut progress, &tx).await;
        record_part_end(&exchange, &stream, &progress, end);
        let endpoint = stream.in_flight.endpoint().clone();
        match end {
            PartEnd::Complete => {
                tx.complete();
                let end = stream.complete_end();
                stream.in_flight.close(end);
                exchange.gw.upstream.put_idle(endpoint.hash, stream.connection, keep_alive_s);
                exchange.record_end("answered");
                return;
            }
            PartEnd::CallerGone => return exchange.record_cut("caller_gone"),
            PartEnd::Deadline => return exchange.record_cut("timed_out"),
            PartEnd::NoMemory => return exchange.record_cut("no_memory"),
            PartEnd::Broken(reason) => {
                stream.close(AttemptEnd::Failed(reason));
                if reason.looks_like_crash() {
                    exchange.check_broken(&endpoint).await;
                }
                let step = exchange.record_failure(&endpoint, reason);
                let last = events.as_mut().and_then(|events| {
                    events.begin_next_part();
                    events.last()
                });
                if step != NextStep::Retry || !is_resumable || events.is_none() {
                    return exchange.record_cut("stream_cut");
                }
                let broke_at = exchange.gw.clock.now();
                match exchange.open(last).await {
                    Ok(Answered::Stream(next)) => {
                        stream = *next;
                        log_resumed(&exchange, &stream, &endpoint, last, broke_at);
                    }
                    Ok(Answered::Complete(_)) | Err(_) => {
                        return exchange.record_cut("stream_cut");
                    }
                }
                keep_alive_s = keep_alive_timeout_s(stream.response.headers());
            }
        }
    }
}

/// Counts and logs how an endpoint's part of a stream ended.
fn record_part_end<P: Platform>(
    exchange: &Exchange<P>,
    stream: &OpenStream<P>,
    progress: &PartProgress,
    end: PartEnd,
) {
    let framing = stream.framing.name();
    exchange.gw.metrics.answer_parts.with_label_values(&[framing, end.name()]).inc();
    let now = exchange.gw.clock.now();
    // Limited by kind of end, so that complete streams don't suppress the others.
    let Some(suppressed) = exchange.gw.log_limiter.admit(end.log_kind(), now) else { return };
    tracing::info!(target: "request", id = &*exchange.plan.head.id,
        endpoint = &*stream.in_flight.endpoint().id, framing, end = end.name(),
        inside_event = progress.received.is_inside_event(),
        received_bytes = progress.received.bytes(), sent_bytes = progress.sent_bytes, suppressed,
        "endpoint's part of a stream ended");
}

fn log_resumed<P: Platform>(
    exchange: &Exchange<P>,
    stream: &OpenStream<P>,
    before: &Endpoint,
    last_event: Option<u64>,
    broke_at: MonoMs,
) {
    exchange.gw.metrics.resumed.with_label_values(&["gateway"]).inc();
    let now = exchange.gw.clock.now();
    let Some(suppressed) = exchange.gw.log_limiter.admit("continued", now) else { return };
    tracing::info!(target: "request", id = &*exchange.plan.head.id,
        endpoint = &*stream.in_flight.endpoint().id, last_event,
        version_before = &*before.version,
        version = &*stream.in_flight.endpoint().version, gap_ms = now.ms_since(broke_at),
        suppressed, "stream resumed");
}

/// Forwards what one endpoint sends until its part of the stream ends.
async fn forward_part<P: Platform>(
    exchange: &mut Exchange<P>,
    stream: &mut OpenStream<P>,
    events: &mut Option<EventSplitter>,
    progress: &mut PartProgress,
    tx: &PieceSender,
) -> PartEnd {
    loop {
        let given_up = progress.buffer.given_up();
        let next = given_up.run_until_cancelled(next_piece(exchange, stream)).await;
        let piece = match next.unwrap_or(Err(PartEnd::Broken(FailureReason::NoMemory))) {
            Ok(piece) => piece,
            Err(PartEnd::Complete) => return check_end(&progress.received),
            Err(end) => return end,
        };
        stream.in_flight.record_received();
        let end = progress.received.record(&piece);
        if stream.max_bytes.is_some_and(|max| progress.received.bytes() > max) {
            return PartEnd::Broken(FailureReason::BodyBroken);
        }
        // Sound events are passed on before what follows them ends the part.
        let broken = progress.received.is_event_too_long().then_some(FailureReason::EventTooLong);
        let (piece, numbers, broken) = match events {
            Some(events) => {
                let split = events.push(&piece, end);
                let bad_event = split.is_broken.then_some(FailureReason::BadEvent);
                (split.bytes, Some(split.numbers), bad_event.or(broken))
            }
            None => (piece, None, broken),
        };
        let partial_bytes = events.as_ref().map_or(0, EventSplitter::buffered_bytes);
        progress.buffer.hold(partial_bytes + piece.len());
        if !piece.is_empty() {
            if let Err(end) = send_piece(exchange, stream, progress, tx, piece).await {
                return end;
            }
            if let (Some(events), Some(numbers)) = (events.as_mut(), numbers) {
                events.record_passed(numbers);
            }
        }
        if let Some(reason) = broken {
            tracing::warn!(target: "request", id = &*exchange.plan.head.id,
                reason = reason.name(), "invalid event in a stream");
            return PartEnd::Broken(reason);
        }
    }
}

/// Passes bytes on to the caller.
async fn send_piece<P: Platform>(
    exchange: &mut Exchange<P>,
    stream: &OpenStream<P>,
    progress: &mut PartProgress,
    tx: &PieceSender,
    piece: Bytes,
) -> Result<(), PartEnd> {
    let deadline = exchange.gw.clock.instant(exchange.plan.deadline).into();
    let given_up = progress.buffer.given_up();
    for part in piece.chunks(MAX_PIECE_BYTES) {
        // A copy, since a slice keeps the whole buffer into which it was read.
        let sending = given_up.run_until_cancelled(tx.send(Bytes::copy_from_slice(part)));
        match tokio::time::timeout_at(deadline, sending).await {
            Ok(Some(Ok(()))) => {}
            Ok(Some(Err(_))) => return Err(PartEnd::CallerGone),
            Ok(None) => return Err(PartEnd::NoMemory),
            Err(_) => return Err(PartEnd::Deadline),
        }
    }
    progress.sent_bytes += piece.len() as u64;
    progress.buffer.hold(progress.buffer.held_bytes() - piece.len());
    exchange.record_events(stream.in_flight.endpoint());
    Ok(())
}

/// Returns how a part ended whose framing, or whose connection, ended in order.
fn check_end(received: &StreamProgress) -> PartEnd {
    match received.check_end() {
        Ok(()) => PartEnd::Complete,
        Err(BrokenOff::InsideEvent) => PartEnd::Broken(FailureReason::PartialEvent),
        Err(BrokenOff::NoEvent) => PartEnd::Broken(FailureReason::NoEvent),
    }
}

/// Returns the next bytes from the endpoint, or how its part ended.
async fn next_piece<P: Platform>(
    exchange: &Exchange<P>,
    stream: &mut OpenStream<P>,
) -> Result<Bytes, PartEnd> {
    let since = exchange.gw.clock.now();
    let endpoint = stream.in_flight.endpoint().hash;
    if let Some(read) = stream.read.take() {
        return Ok(read);
    }
    let body: &mut Incoming = stream.response.body_mut();
    loop {
        let now = exchange.gw.clock.now();
        if now >= exchange.plan.deadline {
            return Err(PartEnd::Deadline);
        }
        let check: MonoMs = now.plus_ms(CHECK_INTERVAL_MS).min(exchange.plan.deadline);
        match tokio::time::timeout_at(exchange.gw.clock.instant(check).into(), body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => return Ok(data),
                // Trailers aren't forwarded.
                Err(_) => continue,
            },
            Ok(Some(Err(err))) => {
                exchange.log_read_error(&err);
                return Err(PartEnd::Broken(FailureReason::Broken));
            }
            Ok(None) if stream.connection.has_cut(stream.framing) => {
                return Err(PartEnd::Broken(FailureReason::BodyBroken));
            }
            Ok(None) => return Err(PartEnd::Complete),
            // An answer that is passed on for lack of memory can't be continued elsewhere.
            Err(_) if stream.max_bytes.is_none() && exchange.should_fail_over(endpoint, since) => {
                return Err(PartEnd::Broken(FailureReason::Silent));
            }
            Err(_) => {}
        }
    }
}
