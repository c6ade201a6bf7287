//! Executes one model request: performs the actions of its [`Dispatch`] and reports the resulting
//! events to it.

mod calls;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::load::{EndpointHash, TryOrder};
use persimmon_decide::outcome::{
    Action, Assembly, Body, Dispatch, Event, FinalResult, Frame as AnswerFrame, FrameId, Heartbeat,
    HeartbeatLimits, HeartbeatStatus, Stamp, StreamEnd,
};
use persimmon_decide::{Attempt, MonoMs, Offset};
use persimmon_process::BodyBuffer;
use persimmon_records::{EndpointName, WorkspaceName};
use persimmon_wire::fleet_capnp::frame_sink;
use persimmon_wire::{Frame, FrameBody, ModelRequest};
use tokio::time::{Instant, timeout};

use super::command::{Command, PlannedEndpoint};
use super::context::TrafficCx;
use super::pool::{Link, LinkGuard};
use super::sink::{MAX_QUEUED_FRAMES, Sink, SinkState};

/// Timeout for queueing a piece of the answer while the caller reads too slowly.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Capacity of the queue of answer pieces to a caller.
pub(crate) const MAX_QUEUED_PIECES: usize = 64;

/// One piece of an answer, or the final result.
#[derive(Debug)]
pub(crate) enum Progress {
    /// A line of the engine's answer.
    Line {
        /// The offset of the line in the answer.
        offset: Offset,
        /// The line.
        line: std::sync::Arc<[u8]>,
        /// The source of the line, for chat and answer tokens.
        from: Source,
    },
    /// The final result, which is the last message.
    Finished(FinalResult),
}

/// The endpoint that sent a piece of the answer.
#[derive(Debug, Clone)]
pub(crate) struct Source {
    /// The endpoint's index among the endpoints tried.
    pub(crate) candidate: usize,
    /// The endpoint's name.
    pub(crate) endpoint: EndpointName,
    /// The sidecar's stamp with which the request was sent.
    pub(crate) stamp: Stamp,
}

/// The parts from which an [`Exchange`] is created.
pub(crate) struct ExchangeParts {
    pub(crate) workspace: WorkspaceName,
    /// The request without the fields that differ between attempts.
    pub(crate) template: ModelRequest,
    pub(crate) endpoints: Vec<PlannedEndpoint>,
    pub(crate) dispatch: Dispatch,
    pub(crate) deadline: MonoMs,
    pub(crate) out: Sender<Progress>,
    /// Memory of the request's body; none for an answer that is resumed.
    pub(crate) _memory: Option<BodyBuffer>,
}

/// The open answer stream of one attempt.
struct Stream {
    frames: Receiver<Frame>,
    sink_state: Rc<RefCell<SinkState>>,
    source: Source,
    /// Keeps the connection open; `None` until a resumed exchange has opened one.
    _link: Option<LinkGuard>,
}

/// The error for a caller that disconnected or stopped reading before the answer was complete.
struct CallerGone;

/// One model request in progress.
pub(crate) struct Exchange {
    cx: Rc<TrafficCx>,
    parts: ExchangeParts,
    order: TryOrder,
    /// The endpoints tried so far, in the order of the attempts.
    tried: Vec<PlannedEndpoint>,
    stream: Option<Stream>,
    assembly: Option<Assembly>,
    resume_from: Option<Offset>,
}

impl Exchange {
    /// Creates an exchange whose request hasn't been sent.
    pub(crate) fn new(cx: Rc<TrafficCx>, parts: ExchangeParts) -> Self {
        let candidates = parts.endpoints.iter().map(|endpoint| endpoint.candidate).collect();
        let order = TryOrder::new(candidates);
        Self {
            cx,
            parts,
            order,
            tried: Vec::new(),
            stream: None,
            assembly: None,
            resume_from: None,
        }
    }

    /// Returns the maximum number of attempts of a request with this many endpoints, including the
    /// second tries of endpoints that refused it.
    pub(crate) fn max_attempts(endpoints: usize) -> usize {
        endpoints + TryOrder::MAX_SECOND_TRIES
    }

    /// Runs the request, and sends the answer and the final result to the caller's queue.
    pub(crate) async fn run(mut self) {
        let first = self.parts.dispatch.start();
        self.drive(first).await;
    }

    /// Resumes an answer from `offset` on at the sidecar that issued `stamp` and still buffers the
    /// answer. Never runs the request again.
    pub(crate) async fn resume(mut self, stamp: Stamp, offset: Offset) {
        self.resume_from = Some(offset);
        self.tried = self.parts.endpoints.clone();
        let Some(endpoint) = self.tried.first().map(|endpoint| endpoint.name.clone()) else {
            let first = self.parts.dispatch.start_resume();
            return self.drive(first).await;
        };
        let source = Source { candidate: 0, endpoint, stamp };
        let (_closed, frames) = flume::bounded(0);
        let sink_state = self.new_sink_state(false);
        self.stream = Some(Stream { frames, sink_state, source, _link: None });
        let first = self.parts.dispatch.start_resume();
        self.drive(first).await;
    }

    async fn drive(&mut self, first: Vec<Action>) {
        let mut actions: VecDeque<_> = first.into();
        loop {
            let event = match actions.pop_front() {
                Some(Action::Finish(end)) => return self.finish(end).await,
                Some(action) => self.perform(action).await,
                None => match self.next_event().await {
                    Ok(event) => Some(event),
                    // No cancellation: the sidecar retains the answer for a limited time, so that
                    // the caller can resume it.
                    Err(CallerGone) => return,
                },
            };
            if let Some(event) = event {
                actions.extend(self.parts.dispatch.handle(event));
            }
        }
    }

    async fn finish(&mut self, end: FinalResult) {
        self.cx.send(Command::Ended { outcome: end.outcome });
        let _gone =
            timeout(CALLER_TIMEOUT, self.parts.out.send_async(Progress::Finished(end))).await;
    }

    async fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Submit { candidate, attempt } => Some(self.submit(candidate, attempt).await),
            Action::Resume { candidate, attempt } => Some(self.reopen(candidate, attempt).await),
            Action::Settle { candidate, attempt } => Some(self.settle(candidate, attempt).await),
            Action::Cancel { candidate, attempt } => {
                self.cancel(candidate, attempt);
                None
            }
            Action::AskBudget => {
                let granted = self.cx.ask_budget().await;
                Some(Event::Budget { granted })
            }
            Action::Finish(_) => None,
        }
    }

    /// Delivers frames until the dispatch has an event to handle: the end of the answer, a lost
    /// connection or the deadline.
    async fn next_event(&mut self) -> Result<Event, CallerGone> {
        loop {
            if let Some(event) = self.deliver().await? {
                return Ok(event);
            }
            let now = self.cx.clock.now();
            let left = Duration::from_millis(self.parts.deadline.ms_since(now));
            if left.is_zero() {
                return Ok(Event::DeadlinePassed);
            }
            let attempt = self.attempt();
            let Some(stream) = &self.stream else { return Ok(Event::Lost { attempt }) };
            let status = stream.sink_state.borrow_mut().heartbeat.poll(now);
            let until = match status {
                HeartbeatStatus::Silent => return Ok(Event::Lost { attempt }),
                // Nothing to send: the router's acknowledgements of frames serve as its heartbeats.
                HeartbeatStatus::Send => {
                    stream.sink_state.borrow_mut().heartbeat.record_sent(now);
                    continue;
                }
                HeartbeatStatus::Wait(until) => Duration::from_millis(until.ms_since(now).max(1)),
            };
            let wake = Instant::now() + until.min(left);
            match tokio::time::timeout_at(wake, stream.frames.recv_async()).await {
                Ok(Ok(frame)) => self.insert_frame(frame),
                // The sink was dropped with its connection.
                Ok(Err(_)) => return Ok(Event::Lost { attempt }),
                Err(_) => {}
            }
        }
    }

    fn insert_frame(&mut self, frame: Frame) {
        let body = match frame.body {
            FrameBody::Data(data) => Body::Data(data),
            FrameBody::End(end) => Body::End(end),
            FrameBody::Heartbeat(_) => return,
        };
        let Some(assembly) = &mut self.assembly else { return };
        let frame = AnswerFrame { id: frame.id, offset: frame.offset, body };
        if let Err(reason) = assembly.insert(frame) {
            let reason = format!("{reason:?}").to_lowercase();
            self.cx.metrics.dropped.with_label_values(&[reason.as_str()]).inc();
        }
    }

    /// Sends the frames that are next in order to the caller. Returns the event for the end of the
    /// answer if it was among them.
    async fn deliver(&mut self) -> Result<Option<Event>, CallerGone> {
        let attempt = self.attempt();
        loop {
            let (Some(assembly), Some(stream)) = (&mut self.assembly, &self.stream) else {
                return Ok(None);
            };
            let offset = assembly.next_offset();
            match assembly.pop() {
                Some(Body::Data(line)) => {
                    let from = stream.source.clone();
                    let piece = Progress::Line { offset, line, from };
                    let sent = timeout(CALLER_TIMEOUT, self.parts.out.send_async(piece)).await;
                    if !matches!(sent, Ok(Ok(()))) {
                        return Err(CallerGone);
                    }
                    self.parts.dispatch.handle(Event::Delivered { attempt });
                }
                Some(Body::End(end)) => {
                    if end == StreamEnd::Crashed {
                        let endpoint = EndpointHash::of(&stream.source.endpoint);
                        let fingerprint = self.parts.template.fingerprint;
                        self.cx.send(Command::Crashed { endpoint, fingerprint });
                    }
                    return Ok(Some(Event::Ended { attempt, end }));
                }
                None => return Ok(None),
            }
        }
    }

    /// Replaces the stream with that of a new attempt or connection, so that frames of the old one
    /// no longer reach the caller. Returns the sink to pass to the sidecar.
    fn open_stream(
        &mut self,
        candidate: usize,
        endpoint: &PlannedEndpoint,
        link: &Link,
    ) -> frame_sink::Client {
        let (tx, frames) = flume::bounded(MAX_QUEUED_FRAMES);
        let sink_state = self.new_sink_state(link.is_reused);
        let sink = Sink { frames: tx, state: sink_state.clone(), clock: self.cx.clock };
        let stamp = link.stamp;
        let source = Source { candidate, endpoint: endpoint.name.clone(), stamp };
        self.stream = Some(Stream { frames, sink_state, source, _link: Some(link.keep_open()) });
        let id = FrameId {
            request: self.parts.template.id.id,
            attempt: Attempt(candidate as u32 + 1),
            incarnation: stamp.incarnation,
        };
        match &mut self.assembly {
            Some(assembly) if assembly.next_offset() == Offset(0) => {
                // The caller has no part of the answer yet, so the new attempt may start over.
                let _given_out = assembly.restart(id);
            }
            Some(_) => {}
            None => {
                let next = self.resume_from.unwrap_or_default();
                self.assembly = Some(Assembly::new(id).with_next_offset(next));
            }
        }
        capnp_rpc::new_client(sink)
    }

    fn new_sink_state(&self, is_reused: bool) -> Rc<RefCell<SinkState>> {
        let now = self.cx.clock.now();
        let limits = HeartbeatLimits::default();
        let heartbeat = match is_reused {
            true => Heartbeat::on_reused(limits, now),
            false => Heartbeat::new(limits, now),
        };
        Rc::new(RefCell::new(SinkState { heartbeat, stamp: None }))
    }

    /// Returns the endpoint of the current attempt and the stamp with which the request was sent,
    /// or `None` if `candidate` belongs to another attempt.
    fn sent_to(&self, candidate: usize) -> Option<(PlannedEndpoint, Stamp)> {
        let stream = self.stream.as_ref()?;
        let endpoint = self.tried.get(candidate)?;
        (stream.source.candidate == candidate).then(|| (endpoint.clone(), stream.source.stamp))
    }

    fn attempt(&self) -> Attempt {
        let candidate = self.stream.as_ref().map_or(0, |stream| stream.source.candidate);
        Attempt(candidate as u32 + 1)
    }

    fn next_offset(&self) -> Offset {
        let next = self.assembly.as_ref().map(Assembly::next_offset);
        next.or(self.resume_from).unwrap_or_default()
    }
}
