//! Demo step in which an endpoint leaves under load.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use persimmon_standins::EngineCounts;
use persimmon_standins::fleet::{Caller, ChatRequest};

use crate::demo_fleet::{DemoFleet, MODEL};
use crate::report::{Observation, StepResult};
use crate::steps::{first_token, request_id};

/// Number of callers that send requests concurrently.
const CALLERS: usize = 6;

/// Number of tokens of each answer under load.
const TOKENS: u32 = 40;

/// Number of tokens of the answer that is in progress when the endpoint leaves.
const LONG_TOKENS: u32 = 500;

/// Time during which a leaving endpoint may still receive new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Duration of the load after [`LEAVING_LIMIT`].
const LOAD_AFTER_LIMIT: Duration = Duration::from_secs(3);

/// Number of requests sent under load, by result.
#[derive(Debug, Default, Clone, Copy)]
struct LoadCounts {
    complete: usize,
    refused: usize,
    failed: usize,
}

/// Lists an endpoint's VM as leaving while callers send requests and the endpoint streams a long
/// answer. Checks that the answer is complete and that new requests go to other endpoints.
pub(crate) fn leaving_under_load(fleet: &DemoFleet) -> StepResult {
    let should_stop = Arc::new(AtomicBool::new(false));
    let callers = start_load(fleet, &should_stop)?;
    let observed = leave(fleet);
    should_stop.store(true, Ordering::SeqCst);
    let mut load = LoadCounts::default();
    for caller in callers {
        let counts = caller.join().map_err(|_| "a caller's thread panicked")?;
        load.complete += counts.complete;
        load.refused += counts.refused;
        load.failed += counts.failed;
    }
    let result = observed?;
    let cut: u64 = fleet.engine_counts()?.values().map(|counts| counts.cut).sum();
    let observed = format!(
        "{} left: {} new requests after {} s ({} on others), its long answer complete: {}; \
         load: {} complete, {} refused as not run, {} failed, {cut} cut",
        result.engine,
        result.late_on_engine,
        LEAVING_LIMIT.as_secs(),
        result.late_on_others,
        result.is_long_complete,
        load.complete,
        load.refused,
        load.failed
    );
    let is_right = result.late_on_engine == 0
        && result.late_on_others > 0
        && result.is_long_complete
        && load.complete > 0
        && load.failed == 0
        && cut == 0;
    Ok(Observation::new(observed, is_right))
}

/// What the step observed of the endpoint that left.
struct LeavingResult {
    engine: String,
    late_on_engine: usize,
    late_on_others: usize,
    is_long_complete: bool,
}

fn leave(fleet: &DemoFleet) -> Result<LeavingResult, Box<dyn Error>> {
    let request = ChatRequest::new(MODEL, "a very long dossier").with_max_tokens(LONG_TOKENS);
    let mut stream = fleet.caller("router-1")?.stream(&request)?;
    let mut text = first_token(&mut stream)?;
    let engine = fleet.engine_of(&request_id(&stream)?)?;
    let left_at = unix_ms();
    fleet.publish_vms(Some(&engine))?;
    let rest = thread::spawn(move || stream.read_rest());
    thread::sleep(LEAVING_LIMIT + LOAD_AFTER_LIMIT);
    let rest = rest.join().map_err(|_| "the reader's thread panicked")?;
    text.push_str(&rest.text);
    let limit_ms = left_at + u64::try_from(LEAVING_LIMIT.as_millis())?;
    let late = |counts: &EngineCounts| {
        counts.admissions.iter().filter(|one| one.at_unix_ms > limit_ms).count()
    };
    let counts = fleet.engine_counts()?;
    let late_on_engine = counts.get(&engine).map_or(0, late);
    let late_in_total: usize = counts.values().map(late).sum();
    Ok(LeavingResult {
        engine,
        late_on_engine,
        late_on_others: late_in_total - late_on_engine,
        is_long_complete: rest.done && text == request.expected_answer(),
    })
}

fn start_load(
    fleet: &DemoFleet,
    should_stop: &Arc<AtomicBool>,
) -> Result<Vec<JoinHandle<LoadCounts>>, Box<dyn Error>> {
    let start = |index: usize| {
        let caller = fleet.caller(if index.is_multiple_of(2) { "router-1" } else { "router-2" })?;
        let should_stop = Arc::clone(should_stop);
        Ok(thread::spawn(move || send_until_stopped(&caller, index, &should_stop)))
    };
    (0..CALLERS).map(start).collect()
}

fn send_until_stopped(caller: &Caller, index: usize, should_stop: &AtomicBool) -> LoadCounts {
    let mut counts = LoadCounts::default();
    for turn in 0.. {
        if should_stop.load(Ordering::SeqCst) {
            break;
        }
        let content = format!("caller {index}, question {turn}");
        let request = ChatRequest::new(MODEL, &content).with_max_tokens(TOKENS);
        let Ok(reply) = caller.chat(&request) else {
            counts.failed += 1;
            continue;
        };
        if reply.text() == request.expected_answer() {
            counts.complete += 1;
        } else if reply.failure().is_some_and(|failure| failure.outcome == "not-run") {
            counts.refused += 1;
        } else {
            counts.failed += 1;
        }
    }
    counts
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
