//! A model of answers that sidecars send to routers over connections that lose, duplicate, delay
//! and misroute frames, driven by a generated schedule.

use std::sync::Arc;

use persimmon_decide::outcome::{
    Assembly, Body, Frame, FrameId, OutputLimits, PushError, ResumeError, RetainedOutput, StreamEnd,
};
use persimmon_decide::{Attempt, Incarnation, MonoMs, Offset, RequestId};
use proptest::collection::vec;
use proptest::prelude::*;

const REQUESTS: usize = 2;
const FRAMES_PER_ANSWER: u64 = 7;
const MAX_FRAMES_IN_FLIGHT: usize = 48;
const MAX_RETAINED_FRAMES: usize = 3;
/// The rounds within which all answers must end once no more faults occur.
const ROUNDS_TO_END: usize = 40;

/// A rule that the model breaks on purpose, to show that the search detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// The router accepts all frames as frames of the expected answer.
    IdsUnchecked,
    /// The router accepts frames of the sidecar's earlier incarnations.
    IncarnationUnchecked,
    /// The router accepts the end frame at any offset.
    EndOffsetUnchecked,
    /// The router continues the answer with another run after part of it was delivered.
    RestartAfterDelivery,
}

/// One step; indices are taken modulo the number of elements.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Op {
    Produce { request: usize },
    Send { request: usize },
    Deliver { pick: usize, twice: bool },
    Lose { pick: usize },
    Acknowledge { request: usize },
    Restart { request: usize },
}

pub(crate) fn schedule() -> impl Strategy<Value = Vec<Op>> {
    let request = 0..REQUESTS;
    let pick = 0..1_000_usize;
    let op = prop_oneof![
        6 => request.clone().prop_map(|request| Op::Produce { request }),
        4 => request.clone().prop_map(|request| Op::Send { request }),
        12 => (pick.clone(), prop::bool::weighted(0.25))
            .prop_map(|(pick, twice)| Op::Deliver { pick, twice }),
        2 => pick.prop_map(|pick| Op::Lose { pick }),
        4 => request.clone().prop_map(|request| Op::Acknowledge { request }),
        1 => request.prop_map(|request| Op::Restart { request }),
    ];
    vec(op, 1..80)
}

/// One answer: the output at the sidecar and the assembly at the router.
#[derive(Debug)]
struct Answer {
    incarnation: u64,
    output: RetainedOutput,
    assembly: Assembly,
    attempt: u32,
    received: u64,
    /// The run that the first frame came from; all others must come from the same run.
    run: Option<u64>,
    failed: bool,
}

#[derive(Debug)]
pub(crate) struct Model {
    defect: Defect,
    answers: Vec<Answer>,
    in_flight: Vec<Frame>,
}

impl Model {
    pub(crate) fn new(defect: Defect) -> Self {
        let answer = |request| Answer {
            incarnation: 1,
            output: output(),
            assembly: Assembly::new(frame_id(request, 1, 1)),
            attempt: 1,
            received: 0,
            run: None,
            failed: false,
        };
        let answers = (0..REQUESTS).map(answer).collect();
        Self { defect, answers, in_flight: Vec::new() }
    }

    /// Runs a schedule, then lets all answers end without further faults.
    pub(crate) fn play(mut self, ops: &[Op]) -> Result<(), String> {
        for op in ops {
            self.step(*op)?;
        }
        for _ in 0..ROUNDS_TO_END {
            for request in 0..REQUESTS {
                self.produce(request);
                self.send(request);
                while !self.in_flight.is_empty() {
                    self.deliver(0, false)?;
                }
                self.acknowledge(request);
            }
        }
        let is_over = |answer: &Answer| answer.failed || answer.assembly.is_complete();
        if self.answers.iter().all(is_over) { Ok(()) } else { Err("an answer never ends".into()) }
    }

    fn step(&mut self, op: Op) -> Result<(), String> {
        match op {
            Op::Produce { request } => self.produce(request),
            Op::Send { request } => self.send(request),
            Op::Deliver { pick, twice } => return self.deliver(pick, twice),
            Op::Lose { pick } => drop(self.take_frame(pick)),
            Op::Acknowledge { request } => self.acknowledge(request),
            Op::Restart { request } => self.restart(request),
        }
        Ok(())
    }

    /// Adds the engine's next frame, or the end.
    fn produce(&mut self, request: usize) {
        let answer = &mut self.answers[request];
        let next = answer.output.next_offset();
        if next.0 == FRAMES_PER_ANSWER {
            return answer.output.finish(StreamEnd::Whole, MonoMs(0));
        }
        let pushed = answer.output.push(content(request, answer.incarnation, next), MonoMs(0));
        assert!(matches!(pushed, Ok(_) | Err(PushError::Full)), "{pushed:?}");
    }

    /// Resumes the answer on a new connection; earlier connections may still deliver frames.
    fn send(&mut self, request: usize) {
        let answer = &mut self.answers[request];
        let id = frame_id(request, answer.attempt, answer.incarnation);
        let frames: Vec<_> = match answer.output.read_from(answer.assembly.next_offset()) {
            Ok(kept) => kept.map(|(offset, body)| Frame { id, offset, body }).collect(),
            Err(ResumeError::Gone { .. }) => {
                answer.failed = true;
                return;
            }
            Err(ResumeError::Ahead { .. }) => return,
        };
        for frame in frames {
            self.post(frame);
        }
    }

    fn post(&mut self, frame: Frame) {
        if self.in_flight.len() < MAX_FRAMES_IN_FLIGHT {
            self.in_flight.push(frame);
        }
    }

    fn take_frame(&mut self, pick: usize) -> Option<Frame> {
        let count = self.in_flight.len();
        (count > 0).then(|| self.in_flight.remove(pick % count))
    }

    /// Delivers a frame to all answers of a router, since it may have several in progress.
    fn deliver(&mut self, pick: usize, twice: bool) -> Result<(), String> {
        let Some(frame) = self.take_frame(pick) else { return Ok(()) };
        for request in 0..REQUESTS {
            self.receive_frame(request, frame.clone())?;
        }
        if twice {
            self.post(frame);
        }
        Ok(())
    }

    fn receive_frame(&mut self, request: usize, mut frame: Frame) -> Result<(), String> {
        let defect = self.defect;
        let answer = &mut self.answers[request];
        if answer.failed {
            return Ok(());
        }
        let id = frame_id(request, answer.attempt, answer.incarnation);
        match defect {
            Defect::IdsUnchecked => frame.id = id,
            Defect::IncarnationUnchecked if frame.id.request == id.request => frame.id = id,
            Defect::EndOffsetUnchecked if matches!(frame.body, Body::End(_)) => {
                frame.offset = answer.assembly.next_offset();
            }
            _ => {}
        }
        // The assembly counts the frames that it drops.
        let _ = answer.assembly.insert(frame);
        while let Some(body) = answer.assembly.pop() {
            if let Body::Data(data) = body {
                let run = *answer.run.get_or_insert(answer.incarnation);
                if data != content(request, run, Offset(answer.received)) {
                    return Err(format!("answer {request} contains a foreign frame"));
                }
                answer.received += 1;
            }
        }
        let is_incomplete = answer.received < FRAMES_PER_ANSWER;
        if answer.assembly.is_complete() && is_incomplete {
            return Err(format!("answer {request} is truncated"));
        }
        Ok(())
    }

    fn acknowledge(&mut self, request: usize) {
        let answer = &mut self.answers[request];
        answer.output.acknowledge(answer.assembly.next_offset(), MonoMs(0));
    }

    /// Restarts the sidecar, which runs the request again; the router accepts the new run only if
    /// it has delivered nothing yet.
    fn restart(&mut self, request: usize) {
        let defect = self.defect;
        let answer = &mut self.answers[request];
        if answer.failed || answer.assembly.is_complete() {
            return;
        }
        let id = frame_id(request, answer.attempt + 1, answer.incarnation + 1);
        let next = answer.assembly.next_offset();
        if defect == Defect::RestartAfterDelivery {
            answer.assembly = Assembly::new(id).with_next_offset(next);
        } else if answer.assembly.restart(id).is_err() {
            answer.failed = true;
            return;
        }
        answer.output = output();
        answer.attempt += 1;
        answer.incarnation += 1;
    }
}

fn output() -> RetainedOutput {
    let limits = OutputLimits { max_frames: MAX_RETAINED_FRAMES, ..OutputLimits::default() };
    RetainedOutput::new(limits, MonoMs(0))
}

fn frame_id(request: usize, attempt: u32, incarnation: u64) -> FrameId {
    FrameId {
        request: RequestId(request as u128),
        attempt: Attempt(attempt),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns content that names the request, run and offset, so that a misrouted frame is detected.
fn content(request: usize, incarnation: u64, offset: Offset) -> Arc<[u8]> {
    format!("{request}/{incarnation}/{}", offset.0).into_bytes().into()
}
