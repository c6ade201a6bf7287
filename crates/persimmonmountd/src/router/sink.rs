//! Receives the frames of one answer, which a sidecar pushes.

use std::cell::RefCell;
use std::rc::Rc;

use flume::Sender;
use persimmon_decide::outcome::{Heartbeat, Stamp};
use persimmon_wire::fleet_capnp::frame_sink;
use persimmon_wire::{Frame, FrameBody};

use crate::common::Clock;

/// Capacity of the queue of frames to a request's task.
pub(crate) const MAX_QUEUED_FRAMES: usize = 256;

/// The state that a sink updates with each frame.
#[derive(Debug)]
pub(crate) struct SinkState {
    /// Detects a silent connection.
    pub(crate) heartbeat: Heartbeat,
    /// The stamp from the latest heartbeat.
    pub(crate) stamp: Option<Stamp>,
}

/// Receives frames from a sidecar. Heartbeats are acknowledged immediately; other frames once the
/// queue has room, so that a slow caller applies back-pressure to the sidecar.
pub(crate) struct Sink {
    pub(crate) frames: Sender<Frame>,
    pub(crate) state: Rc<RefCell<SinkState>>,
    pub(crate) clock: Clock,
}

impl frame_sink::Server for Sink {
    async fn push(
        self: Rc<Self>,
        params: frame_sink::PushParams,
        _results: frame_sink::PushResults,
    ) -> capnp::Result<()> {
        let frame = Frame::read(params.get()?.get_frame()?)?;
        {
            let mut state = self.state.borrow_mut();
            state.heartbeat.record_received(self.clock.now());
            if let FrameBody::Heartbeat(issued_at) = frame.body {
                state.stamp = Some(Stamp { incarnation: frame.id.incarnation, issued_at });
                return Ok(());
            }
        }
        let gone = |_| capnp::Error::disconnected("the request has ended".into());
        self.frames.send_async(frame).await.map_err(gone)
    }
}
