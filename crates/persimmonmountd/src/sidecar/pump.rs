//! Forwards frames from the control thread to a router, with heartbeats between frames.

use std::time::Duration;

use flume::{Receiver, Sender};
use futures::stream::{FuturesUnordered, StreamExt};
use persimmon_decide::outcome::{FrameId, Heartbeat, HeartbeatLimits, HeartbeatStatus, LedgerKey};
use persimmon_decide::{MonoMs, Offset};
use persimmon_wire::fleet_capnp::frame_sink;
use persimmon_wire::{Frame, FrameBody};

use super::command::Command;
use crate::common::Clock;

/// Maximum number of queued frames per answer.
pub(crate) const MAX_WAITING_FRAMES: usize = 64;
/// Maximum number of unacknowledged frames per answer.
const MAX_FRAMES_IN_FLIGHT: usize = 32;

/// Forwards the frames of one answer to one router.
pub(crate) struct Pump {
    pub(crate) key: LedgerKey,
    pub(crate) id: FrameId,
    pub(crate) frames: Receiver<Frame>,
    pub(crate) sink: frame_sink::Client,
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Clock,
    pub(crate) limits: HeartbeatLimits,
}

/// Why a pump stopped.
enum StopReason {
    /// Every frame was sent and acknowledged.
    Finished,
    /// The router disconnected or doesn't respond.
    RouterGone,
}

/// Why the pump woke up.
enum WakeReason {
    /// The router acknowledged a frame or a heartbeat, or the call failed.
    Acknowledged(Result<Option<Offset>, capnp::Error>),
    /// The next frame, or `None` if there are no more.
    Frame(Option<Frame>),
    /// The heartbeat has to be checked.
    Timer,
}

impl Pump {
    /// Runs until every frame is acknowledged or the router is gone. The control thread retains the
    /// answer so that a router can resume it.
    pub(crate) async fn run(self) {
        if matches!(self.forward_frames().await, StopReason::RouterGone) {
            tracing::debug!(
                "sidecar: a router disconnected or stopped responding before the end of an answer."
            );
        }
    }

    async fn forward_frames(&self) -> StopReason {
        let mut heartbeat = Heartbeat::new(self.limits.clone(), self.clock.now());
        let mut sent = FuturesUnordered::new();
        let mut data_in_flight = 0;
        let mut has_more = true;
        while has_more || data_in_flight > 0 {
            let now = self.clock.now();
            let wake_at = match heartbeat.poll(now) {
                HeartbeatStatus::Silent => return StopReason::RouterGone,
                HeartbeatStatus::Send => {
                    heartbeat.record_sent(now);
                    sent.push(push(&self.sink, &self.heartbeat(now)));
                    continue;
                }
                HeartbeatStatus::Wait(until) => Duration::from_millis(until.ms_since(now).max(1)),
            };
            let takes_frames = has_more && data_in_flight < MAX_FRAMES_IN_FLIGHT;
            let reason = tokio::select! {
                biased;
                Some(done) = sent.next() => WakeReason::Acknowledged(done),
                frame = self.frames.recv_async(), if takes_frames => WakeReason::Frame(frame.ok()),
                () = tokio::time::sleep(wake_at) => WakeReason::Timer,
            };
            match reason {
                WakeReason::Acknowledged(Ok(next)) => {
                    heartbeat.record_received(self.clock.now());
                    if let Some(next) = next {
                        data_in_flight -= 1;
                        self.acknowledge(next);
                    }
                }
                WakeReason::Acknowledged(Err(_)) => return StopReason::RouterGone,
                WakeReason::Frame(Some(frame)) => {
                    data_in_flight += 1;
                    heartbeat.record_sent(self.clock.now());
                    sent.push(push(&self.sink, &frame));
                }
                WakeReason::Frame(None) => has_more = false,
                WakeReason::Timer => {}
            }
        }
        StopReason::Finished
    }

    fn heartbeat(&self, now: MonoMs) -> Frame {
        Frame { id: self.id, offset: Offset(0), body: FrameBody::Heartbeat(now) }
    }

    fn acknowledge(&self, next: Offset) {
        // A closed channel means that the process has ended.
        let _closed = self.commands.send(Command::Acknowledge { key: self.key, next });
    }
}

/// Sends a frame. The future resolves when the router acknowledges it, to the offset after the
/// frame, or to `None` for a heartbeat.
fn push(
    sink: &frame_sink::Client,
    frame: &Frame,
) -> impl Future<Output = Result<Option<Offset>, capnp::Error>> + use<> {
    let mut request = sink.push_request();
    frame.write(request.get().init_frame());
    let next = match frame.body {
        FrameBody::Heartbeat(_) => None,
        FrameBody::Data(_) | FrameBody::End(_) => Some(Offset(frame.offset.0 + 1)),
    };
    let promise = request.send().promise;
    async move { promise.await.map(|_| next) }
}
