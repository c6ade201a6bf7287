//! Tokens a second through one router and through one sidecar.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use persimmon_records::{
    Endpoint, EndpointBuilder, Generation, Limits, PerClass, Policy, RecordSet, Serves,
    WorkspaceBuilder,
};
use persimmon_standins::Platform;
use persimmon_standins::fleet::{
    Caller, ChatRequest, Daemons, FleetError, IN_FORCE_DEADLINE, RECORDS_KEY, StandIn,
};
use serde::Serialize;

use crate::{MeasureError, ProcessUse, Programs, load_average};

const MODEL: &str = "chat-large";
const KEY: &str = "wk-measure";

/// Slots of each engine; a sidecar keeps a share of them for quick requests.
const SLOTS: u32 = 48;

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 512;

/// How many processes of each role carry the streams.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Shape {
    /// Routers.
    pub routers: usize,
    /// Sidecars, each with an engine of its own.
    pub sidecars: usize,
}

/// How a run of throughput is done.
#[derive(Debug, Clone, Copy)]
pub struct ThroughputSettings {
    /// Processes.
    pub shape: Shape,
    /// Streams at once.
    pub streams: usize,
    /// Time before the window.
    pub warm_up: Duration,
    /// Time that is measured.
    pub window: Duration,
}

/// What carried how many tokens.
#[derive(Debug, Clone, Serialize)]
pub struct ThroughputFigures {
    /// Processes.
    pub shape: Shape,
    /// Streams at once.
    pub streams: usize,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Tokens a second that reached the callers.
    pub tokens_per_s: f64,
    /// Requests that were refused or cut in the whole run.
    pub failed: u64,
    /// Processor time of all routers for a token, in microseconds.
    pub router_us_per_token: f64,
    /// Processor time of all sidecars for a token, in microseconds.
    pub sidecar_us_per_token: f64,
    /// Cores that all routers used.
    pub router_cores: f64,
    /// Cores that all sidecars used.
    pub sidecar_cores: f64,
    /// Cores that all engine stand-ins used.
    pub engine_cores: f64,
    /// Cores that the callers of the measuring process used.
    pub caller_cores: f64,
    /// Resident memory of the largest router, in KiB.
    pub router_kib: u64,
    /// Resident memory of the largest sidecar, in KiB.
    pub sidecar_kib: u64,
    /// The machine's load average when the window ended.
    pub load_average: Option<f64>,
}

impl fmt::Display for ThroughputFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shape { routers, sidecars } = self.shape;
        let load = self.load_average.unwrap_or(-1.0);
        writeln!(
            f,
            "{routers} router(s), {sidecars} sidecar(s), {} streams, window {:.1} s, load average {load:.1}",
            self.streams, self.window_s
        )?;
        writeln!(f, "{:<36} {:>10.0}", "tokens a second", self.tokens_per_s)?;
        writeln!(f, "{:<36} {:>10}", "requests refused or cut", self.failed)?;
        let rows = [
            ("router, us of processor a token", self.router_us_per_token),
            ("sidecar, us of processor a token", self.sidecar_us_per_token),
            ("routers, cores", self.router_cores),
            ("sidecars, cores", self.sidecar_cores),
            ("engine stand-ins, cores", self.engine_cores),
            ("callers, cores", self.caller_cores),
            ("largest router, MB", self.router_kib as f64 * 1_024.0 / 1e6),
            ("largest sidecar, MB", self.sidecar_kib as f64 * 1_024.0 / 1e6),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<36} {value:>10.2}")?;
        }
        Ok(())
    }
}

/// Keeps streams open through the fleet and counts their tokens.
///
/// # Errors
///
/// A process can't be started or its figures can't be read.
pub fn measure_throughput(
    programs: &Programs,
    settings: ThroughputSettings,
) -> Result<ThroughputFigures, MeasureError> {
    let stage = Stage::start(programs, settings.shape)?;
    let callers = Callers::start(&stage, settings)?;
    thread::sleep(settings.warm_up);
    let before = stage.usage()?;
    let (tokens_before, started_at) = (callers.tokens.load(Ordering::Relaxed), Instant::now());
    thread::sleep(settings.window);
    let tokens = callers.tokens.load(Ordering::Relaxed) - tokens_before;
    let window_s = started_at.elapsed().as_secs_f64();
    let after = stage.usage()?;
    let load_average = load_average();
    let failed = callers.close();
    let cores = |after: &[ProcessUse], before: &[ProcessUse]| {
        let spent = cpu_ns(after).saturating_sub(cpu_ns(before));
        spent as f64 / 1e9 / window_s
    };
    let router_cores = cores(&after.routers, &before.routers);
    let sidecar_cores = cores(&after.sidecars, &before.sidecars);
    let tokens_per_s = tokens as f64 / window_s;
    Ok(ThroughputFigures {
        shape: settings.shape,
        streams: settings.streams,
        window_s,
        tokens_per_s,
        failed,
        router_us_per_token: router_cores * 1e6 / tokens_per_s,
        sidecar_us_per_token: sidecar_cores * 1e6 / tokens_per_s,
        router_cores,
        sidecar_cores,
        engine_cores: cores(&after.engines, &before.engines),
        caller_cores: cores(&after.own, &before.own),
        router_kib: most_resident_kib(&after.routers),
        sidecar_kib: most_resident_kib(&after.sidecars),
        load_average,
    })
}

fn cpu_ns(uses: &[ProcessUse]) -> u64 {
    uses.iter().map(|one| one.cpu_ns).sum()
}

fn most_resident_kib(uses: &[ProcessUse]) -> u64 {
    uses.iter().map(|one| one.resident_kib).max().unwrap_or(0)
}

/// What every process used so far.
struct Usage {
    routers: Vec<ProcessUse>,
    sidecars: Vec<ProcessUse>,
    engines: Vec<ProcessUse>,
    own: Vec<ProcessUse>,
}

/// The running processes.
struct Stage {
    daemons: Daemons,
    routers: Vec<String>,
    sidecars: Vec<String>,
    engines: Vec<StandIn>,
    _platform: Platform,
}

impl Stage {
    fn start(programs: &Programs, shape: Shape) -> Result<Self, MeasureError> {
        let platform = Platform::start()?;
        let mut daemons = Daemons::new(&programs.daemon, platform.address());
        daemons.set_variable("PERSIMMON_LOG", "warn");
        let slots = SLOTS.to_string();
        let args = ["engine", "--model", MODEL, "--slots", &slots, "--queue", "64"];
        let mut stage = Self {
            daemons,
            routers: Vec::new(),
            sidecars: Vec::new(),
            engines: Vec::new(),
            _platform: platform,
        };
        for number in 1..=shape.sidecars {
            let name = format!("engine-{number}");
            let engine = StandIn::start(&name, &programs.stand_in, &args)?;
            stage.daemons.start_sidecar(&name, "zone-a", engine.address())?;
            stage.engines.push(engine);
            stage.sidecars.push(name);
        }
        for number in 1..=shape.routers {
            let name = format!("router-{number}");
            stage.daemons.start_router(&name, "zone-a")?;
            stage.routers.push(name);
        }
        stage._platform.publish(RECORDS_KEY, stage.records()?.to_text());
        stage.daemons.wait_in_force(1, IN_FORCE_DEADLINE)?;
        Ok(stage)
    }

    fn records(&self) -> Result<RecordSet, FleetError> {
        let limits = PerClass::all(Limits { requests_per_second: 100_000, in_progress: 10_000 });
        let workspace =
            WorkspaceBuilder::new("measure").with_key(KEY).with_model(MODEL).with_limits(limits);
        let endpoint = |name: &String| -> Result<Endpoint, FleetError> {
            let builder = EndpointBuilder::new(name.as_str(), self.daemons.peer(name)?);
            Ok(builder
                .with_zone("zone-a")
                .with_serves(Serves::Model(MODEL.into()))
                .with_slots(SLOTS)
                .build())
        };
        Ok(RecordSet {
            generation: Generation(1),
            // The streams are to be spread evenly and none refused.
            policy: Policy { load_floor: 1_000, ..Policy::default() },
            workspaces: vec![workspace.build()],
            endpoints: self.sidecars.iter().map(endpoint).collect::<Result<_, _>>()?,
            ..RecordSet::empty()
        })
    }

    fn usage(&self) -> Result<Usage, MeasureError> {
        let of = |names: &[String]| -> Result<Vec<ProcessUse>, MeasureError> {
            names.iter().map(|name| ProcessUse::of(self.daemons.id(name)?)).collect()
        };
        let engines = self.engines.iter().map(|engine| ProcessUse::of(engine.id()));
        Ok(Usage {
            routers: of(&self.routers)?,
            sidecars: of(&self.sidecars)?,
            engines: engines.collect::<Result<_, _>>()?,
            own: vec![ProcessUse::of(std::process::id())?],
        })
    }
}

/// Threads that each keep one stream open until they are told to end.
struct Callers {
    tokens: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl Callers {
    fn start(stage: &Stage, settings: ThroughputSettings) -> Result<Self, MeasureError> {
        let tokens = Arc::new(AtomicU64::new(0));
        let ends = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for number in 0..settings.streams {
            let router = &stage.routers[number % stage.routers.len()];
            let caller = Caller::new(stage.daemons.listen(router)?, KEY);
            let (tokens, ends) = (tokens.clone(), ends.clone());
            threads.push(thread::spawn(move || keep_streaming(&caller, number, &tokens, &ends)));
        }
        Ok(Self { tokens, ends, threads })
    }

    /// Ends the streams and returns how many requests failed.
    fn close(self) -> u64 {
        self.ends.store(true, Ordering::Relaxed);
        self.threads.into_iter().filter_map(|thread| thread.join().ok()).sum()
    }
}

/// Pause after a request that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

fn keep_streaming(caller: &Caller, number: usize, tokens: &AtomicU64, ends: &AtomicBool) -> u64 {
    let mut failed = 0;
    let mut round = 0;
    while !ends.load(Ordering::Relaxed) {
        round += 1;
        let content = format!("stream {number} round {round}");
        let request = ChatRequest::new(MODEL, &content).with_max_tokens(ANSWER_TOKENS);
        if !stream_once(caller, &request, tokens, ends) {
            failed += 1;
            thread::sleep(FAILURE_PAUSE);
        }
    }
    failed
}

/// Reads one stream and returns whether it was whole, or left early because the run ends.
fn stream_once(
    caller: &Caller,
    request: &ChatRequest,
    tokens: &AtomicU64,
    ends: &AtomicBool,
) -> bool {
    let Ok(mut stream) = caller.stream(request) else {
        return false;
    };
    if stream.status() != 200 {
        return false;
    }
    while let Ok(Some(event)) = stream.next_event() {
        if event.is_done() || ends.load(Ordering::Relaxed) {
            return true;
        }
        // The callers share the machine with what is measured, so they don't read the JSON.
        if event.data.contains("\"content\"") {
            tokens.fetch_add(1, Ordering::Relaxed);
        }
    }
    false
}
