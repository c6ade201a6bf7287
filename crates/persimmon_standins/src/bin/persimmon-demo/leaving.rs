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

/// Callers that send requests concurrently.
const CALLERS: usize = 6;

/// Tokens of each answer under load.
const TOKENS: u32 = 40;

/// Tokens of the answer that is in progress when the endpoint leaves.
const LONG_TOKENS: u32 = 500;

/// Time during which a leaving endpoint may still receive new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Duration of the load after [`LEAVING_LIMIT`].
const LOAD_AFTER_LIMIT: Duration = Duration::from_secs(3);

/// Number of requests of the load by result.
#[derive(Debug, Default, Clone, Copy)]
struct LoadCounts {
    whole: usize,
    refused: usize,
    broken: usize,
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
        load.whole += counts.whole;
        load.refused += counts.refused;
        load.broken += counts.broken;
    }
    let left = observed?;
    let cut: u64 = fleet.engine_counts()?.values().map(|counts| counts.cut).sum();
    let observed = format!(
        "{} left: {} new requests after {} s ({} on others), its long answer complete: {}; \
         load: {} complete, {} refused as not run, {} failed, {cut} cut",
        left.engine,
        left.late_here,
        LEAVING_LIMIT.as_secs(),
        left.late_elsewhere,
        left.long_whole,
        load.whole,
        load.refused,
        load.broken
    );
    let is_right = left.late_here == 0
        && left.late_elsewhere > 0
        && left.long_whole
        && load.whole > 0
        && load.broken == 0
        && cut == 0;
    Ok(Observation::new(observed, is_right))
}

/// Observations of the endpoint that left.
struct LeavingResult {
    engine: String,
    late_here: usize,
    late_elsewhere: usize,
    long_whole: bool,
}

fn leave(fleet: &DemoFleet) -> Result<LeavingResult, Box<dyn Error>> {
    let request = ChatRequest::new(MODEL, "a very long dossier").with_max_tokens(LONG_TOKENS);
    let mut stream = fleet.caller("router-1")?.stream(&request)?;
    let mut text = first_token(&mut stream)?;
    let engine = fleet.engine_of(&request_id(&stream)?)?;
    let left_at = unix_ms();
    fleet.list_vms(Some(&engine))?;
    let rest = thread::spawn(move || stream.read_rest());
    thread::sleep(LEAVING_LIMIT + LOAD_AFTER_LIMIT);
    let rest = rest.join().map_err(|_| "the reader's thread panicked")?;
    text.push_str(&rest.text);
    let limit_ms = left_at + u64::try_from(LEAVING_LIMIT.as_millis())?;
    let late = |counts: &EngineCounts| {
        counts.admissions.iter().filter(|one| one.at_unix_ms > limit_ms).count()
    };
    let counts = fleet.engine_counts()?;
    let late_here = counts.get(&engine).map_or(0, late);
    let late_everywhere: usize = counts.values().map(late).sum();
    Ok(LeavingResult {
        engine,
        late_here,
        late_elsewhere: late_everywhere - late_here,
        long_whole: rest.done && text == request.expected_answer(),
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
            counts.broken += 1;
            continue;
        };
        if reply.text() == request.expected_answer() {
            counts.whole += 1;
        } else if reply.failure().is_some_and(|failure| failure.outcome == "not-run") {
            counts.refused += 1;
        } else {
            counts.broken += 1;
        }
    }
    counts
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
