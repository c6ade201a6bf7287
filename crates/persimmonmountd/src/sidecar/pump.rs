//! Carries frames from the control thread to a router, with heartbeats while nothing is new.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flume::{Receiver, Sender};
use futures::stream::{FuturesOrdered, StreamExt};
use persimmon_decide::outcome::{FrameId, HeartbeatLimits, LedgerKey};
use persimmon_decide::{MonoMs, Offset};
use persimmon_wire::fleet_capnp::frame_sink;
use persimmon_wire::{Frame, FrameBody};
use tokio::time::timeout;

use super::command::Command;
use crate::common::Clock;

/// Frames that wait for the pump.
pub(crate) const FRAMES_WAITING: usize = 64;
/// Frames sent and not yet acknowledged.
const FRAMES_IN_FLIGHT: usize = 32;

/// One answer on its way to one router.
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
enum Stopped {
    /// Every frame was sent and acknowledged.
    Finished,
    /// The router is gone or silent.
    RouterGone,
}

impl Pump {
    /// Runs until the answer ends or the router is gone. The answer itself is kept by the control
    /// thread, so that a router can resume it.
    pub(crate) async fn run(self) {
        if matches!(self.carry().await, Stopped::RouterGone) {
            tracing::debug!("sidecar: a router stopped taking frames.");
        }
    }

    async fn carry(&self) -> Stopped {
        let acknowledged = Rc::new(Cell::new(None));
        let mut in_flight = FuturesOrdered::new();
        let silent = Duration::from_millis(self.limits.silent_ms);
        loop {
            if in_flight.len() >= FRAMES_IN_FLIGHT {
                match timeout(silent, in_flight.next()).await {
                    Ok(Some(Ok(()))) => self.acknowledge(&acknowledged),
                    _ => return Stopped::RouterGone,
                }
            }
            tokio::select! {
                biased;
                Some(done) = in_flight.next(), if !in_flight.is_empty() => {
                    if Result::is_err(&done) {
                        return Stopped::RouterGone;
                    }
                    self.acknowledge(&acknowledged);
                }
                frame = self.next_frame() => {
                    let Some(frame) = frame else { break };
                    in_flight.push_back(push(&self.sink, &frame, acknowledged.clone()));
                }
            }
        }
        while let Ok(next) = timeout(silent, in_flight.next()).await {
            match next {
                Some(Ok(())) => self.acknowledge(&acknowledged),
                Some(Err(_)) => return Stopped::RouterGone,
                None => return Stopped::Finished,
            }
        }
        Stopped::RouterGone
    }

    /// The next frame, or a heartbeat after an interval without one.
    async fn next_frame(&self) -> Option<Frame> {
        let interval = Duration::from_millis(self.limits.interval_ms);
        match timeout(interval, self.frames.recv_async()).await {
            Ok(frame) => frame.ok(),
            Err(_) => Some(self.heartbeat(self.clock.now())),
        }
    }

    fn heartbeat(&self, now: MonoMs) -> Frame {
        Frame { id: self.id, offset: Offset(0), body: FrameBody::Heartbeat(now) }
    }

    fn acknowledge(&self, acknowledged: &Cell<Option<Offset>>) {
        if let Some(next) = acknowledged.take() {
            // A closed channel means that the process has ended.
            let _closed = self.commands.send(Command::Acknowledge { key: self.key, next });
        }
    }
}

/// Sends one frame and notes, once it is acknowledged, up to where the router has the answer.
fn push(
    sink: &frame_sink::Client,
    frame: &Frame,
    acknowledged: Rc<Cell<Option<Offset>>>,
) -> impl Future<Output = Result<(), capnp::Error>> + use<> {
    let mut request = sink.push_request();
    frame.write(request.get().init_frame());
    let next = match frame.body {
        FrameBody::Heartbeat(_) => None,
        FrameBody::Data(_) | FrameBody::End(_) => Some(Offset(frame.offset.0 + 1)),
    };
    let promise = request.send().promise;
    async move {
        promise.await?;
        if next.is_some() {
            acknowledged.set(next);
        }
        Ok(())
    }
}
