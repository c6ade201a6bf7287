//! Demo steps that shut down a process while a stream passes through it.

use std::error::Error;
use std::thread;
use std::time::Duration;

use persimmon_standins::fleet::{ChatRequest, ChatStream};

use crate::demo_fleet::{DemoFleet, MODEL};
use crate::report::{Observation, StepResult};
use crate::steps::{first_token, request_id};

/// Number of tokens of the stream during which a process is shut down.
const TOKENS: u32 = 200;

/// Time within which a process must exit after SIGTERM, including the rest of its stream.
const END_DEADLINE: Duration = Duration::from_secs(20);

/// Shuts down the second router while a stream passes through it.
pub(crate) fn router_under_stream(fleet: &mut DemoFleet) -> StepResult {
    let (request, stream, text) = begin(fleet, "router-2", "stream during a router shutdown")?;
    shut_down(fleet, "router-2", &request, stream, text)
}

/// Shuts down a sidecar while a stream passes through it.
pub(crate) fn sidecar_under_stream(fleet: &mut DemoFleet) -> StepResult {
    let (request, stream, text) = begin(fleet, "router-1", "stream during a sidecar shutdown")?;
    let engine = fleet.engine_of(&request_id(&stream)?)?;
    shut_down(fleet, &engine, &request, stream, text)
}

/// Starts a stream and reads its first token.
fn begin(
    fleet: &DemoFleet,
    router: &str,
    content: &str,
) -> Result<(ChatRequest, ChatStream, String), Box<dyn Error>> {
    let request = ChatRequest::new(MODEL, content).with_max_tokens(TOKENS);
    let mut stream = fleet.caller(router)?.stream(&request)?;
    let text = first_token(&mut stream)?;
    Ok((request, stream, text))
}

/// Shuts down the daemon `name` and checks that the rest of the stream still arrives.
fn shut_down(
    fleet: &mut DemoFleet,
    name: &str,
    request: &ChatRequest,
    stream: ChatStream,
    mut text: String,
) -> StepResult {
    fleet.daemons.terminate(name)?;
    let rest = thread::spawn(move || stream.read_rest());
    let status = fleet.daemons.wait_ended(name, END_DEADLINE)?;
    let rest = rest.join().map_err(|_| "the reader's thread panicked")?;
    text.push_str(&rest.text);
    let is_complete = rest.done && text == request.expected_answer();
    let observed =
        format!("{name} exited with {status}, the streamed answer complete: {is_complete}");
    Ok(Observation::new(observed, is_complete && status.success()))
}
