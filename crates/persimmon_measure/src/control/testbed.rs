//! The fleet of the control measurement.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmon_records::{
    Endpoint, EndpointBuilder, Generation, Limits, PerClass, Policy, RecordSet, Serves, Workspace,
    WorkspaceBuilder,
};
use persimmon_standins::fleet::{
    Caller, ChatRequest, Daemons, FleetError, RECORDS_KEY, wait_until,
};
use persimmon_standins::{Engine, Platform};

use super::Growth;
use crate::vms::list_vms;
use crate::{MeasureError, Programs};

/// Name of the measured router.
pub(super) const ROUTER: &str = "router-1";

/// Name of the measured sidecar.
pub(super) const SIDECAR: &str = "engine-1";

const MODELS: usize = 35;
const ZONES: usize = 15;

/// Number of processes per router. The planned production fleet has 3,700 workers and 350 routers.
const PROCESSES_PER_ROUTER: usize = 11;

/// Slots of each endpoint. All sidecars share one engine, which has this many slots for each.
const SLOTS: usize = 64;

/// Number of the workspace that may use only the measured sidecar.
const SIDECAR_WORKSPACE: usize = 1;

/// Short chats for each pair of router and sidecar, so that nearly every traffic thread of the
/// router handles one.
const CHATS_PER_LINK: usize = 8;

/// Number of tokens in a long stream, which lasts until after the measured window.
const LONG_STREAM_TOKENS: u32 = 4_096;

/// Time between two tokens of a stream. It is long, so that the usage of traffic doesn't hide that
/// of control.
const TOKEN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Generation of the measured records. An empty set is published first.
const GENERATION: u64 = 2;

/// Time within which processes adopt a large record set.
const ADOPT_DEADLINE: Duration = Duration::from_secs(20);

/// Pause before opening each stream. If many connections arrive at once, the stand-in may leave
/// some of them without a thread.
const STREAM_PAUSE: Duration = Duration::from_millis(20);

/// Time within which all streams receive their first token.
const STREAMS_DEADLINE: Duration = Duration::from_secs(10);

/// Sizes of the fleet and its records.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sizes {
    routers: usize,
    sidecars: usize,
    workspaces: usize,
    endpoints: usize,
    chats: usize,
    links: bool,
}

impl Sizes {
    /// Returns the minimum sizes, except for the quantity that is varied.
    pub(super) fn of(growth: Growth, size: usize) -> Self {
        let minimum =
            Self { routers: 1, sidecars: 3, workspaces: 10, endpoints: 20, chats: 0, links: false };
        match growth {
            Growth::Peers => {
                let routers = (size / PROCESSES_PER_ROUTER).max(1);
                Self { routers, sidecars: size - routers, endpoints: 0, ..minimum }
            }
            Growth::Workspaces => Self { workspaces: size, ..minimum },
            Growth::Endpoints => Self { endpoints: size, ..minimum },
            Growth::Chats => Self { sidecars: 8, endpoints: 0, chats: size, ..minimum },
            Growth::Links => {
                Self { routers: size, sidecars: size, endpoints: 0, links: true, ..minimum }
            }
        }
    }
}

/// The running processes and stand-ins.
pub(super) struct Testbed {
    daemons: Daemons,
    platform: Platform,
    engine: Engine,
    records_bytes: usize,
    late: usize,
}

impl Testbed {
    /// Starts the processes, publishes the records and opens the streams.
    pub(super) fn start(programs: &Programs, sizes: Sizes) -> Result<Self, MeasureError> {
        let platform = Platform::start()?;
        let engine = Engine::builder(model(0)).with_slots(SLOTS * sizes.sidecars);
        let engine = engine.with_token_interval(TOKEN_INTERVAL).start()?;
        let mut daemons = Daemons::new(&programs.daemon, platform.address());
        // Publishes an empty set first. A process that finds no records reads them again only after
        // an increasing back-off.
        let first = RecordSet { generation: Generation(1), ..RecordSet::empty() };
        platform.publish(RECORDS_KEY, first.to_text());
        daemons.set_variable("PERSIMMON_LOG", "warn");
        for number in 1..=sizes.routers {
            daemons.start_router(&format!("router-{number}"), &zone(number))?;
            list_vms(&daemons, &platform)?;
        }
        for number in 1..=sizes.sidecars {
            daemons.start_sidecar(&format!("engine-{number}"), &zone(number), engine.address())?;
            list_vms(&daemons, &platform)?;
        }
        daemons.wait_in_force(1, ADOPT_DEADLINE)?;
        let text = records(&daemons, sizes)?.to_text();
        let records_bytes = text.len();
        platform.publish(RECORDS_KEY, text);
        let late = wait_adopted(&daemons)?;
        open_streams(daemons.listen(ROUTER)?, sizes.chats)?;
        if sizes.links {
            open_links(&daemons, sizes)?;
        }
        Ok(Self { daemons, platform, engine, records_bytes, late })
    }

    pub(super) fn daemons(&self) -> &Daemons {
        &self.daemons
    }

    /// Returns the size of the published records, in bytes.
    pub(super) fn records_bytes(&self) -> usize {
        self.records_bytes
    }

    /// Returns the number of processes that hadn't adopted the records in time.
    pub(super) fn late(&self) -> usize {
        self.late
    }

    /// Stops the processes and stand-ins.
    pub(super) fn close(self) {
        drop(self.daemons);
        self.engine.close();
        self.platform.close();
    }
}

fn model(number: usize) -> String {
    format!("model-{}", number % MODELS)
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn key(number: usize) -> String {
    format!("wk-{number}")
}

fn records(daemons: &Daemons, sizes: Sizes) -> Result<RecordSet, FleetError> {
    let mut endpoints = Vec::new();
    for name in daemons.names().iter().filter(|name| name.starts_with("engine-")) {
        let (_, zone) = daemons.role_and_zone(name)?;
        endpoints.push(endpoint(name, daemons.peer(name)?, zone, 0));
    }
    // The remaining endpoints don't run.
    for number in endpoints.len()..sizes.endpoints {
        let address = ([10, 1, (number / 250) as u8, (number % 250) as u8 + 1], 7_000).into();
        let name = format!("absent-{number:04}");
        endpoints.push(endpoint(&name, address, &zone(number), number + 1));
    }
    Ok(RecordSet {
        generation: Generation(GENERATION),
        // A high load floor, so that sidecars refuse no stream and streams spread evenly.
        policy: Policy { load_floor: 1_000, ..Policy::default() },
        workspaces: (0..sizes.workspaces).map(|number| workspace(number, sizes.links)).collect(),
        endpoints,
        ..RecordSet::empty()
    })
}

fn endpoint(name: &str, address: SocketAddr, zone: &str, model_number: usize) -> Endpoint {
    EndpointBuilder::new(name, address)
        .with_zone(zone)
        .with_serves(Serves::Model(model(model_number).as_str().into()))
        .with_slots(SLOTS as u32)
        .with_lender("lender-1")
        .build()
}

fn workspace(number: usize, links: bool) -> Workspace {
    let limits = PerClass::all(Limits { requests_per_second: 10_000, in_progress: 1_000 });
    let builder = WorkspaceBuilder::new(format!("workspace-{number:04}").as_str())
        .with_key(&key(number))
        .with_model(model(0).as_str())
        .with_limits(limits);
    if links && number == SIDECAR_WORKSPACE {
        return builder.with_endpoint(SIDECAR).build();
    }
    builder.build()
}

/// Waits until every process has adopted the records, and returns the number of processes that
/// haven't in time. Returns an error if one of these is a measured process.
fn wait_adopted(daemons: &Daemons) -> Result<usize, MeasureError> {
    let mut pending = daemons.names();
    let all_adopted = wait_until(ADOPT_DEADLINE, || {
        pending.retain(|name| !has_adopted(daemons, name));
        pending.is_empty()
    });
    let is_measured = |name: &&String| *name == ROUTER || *name == SIDECAR;
    if let Some(name) = pending.iter().find(is_measured) {
        return Err(MeasureError::RecordsNotAdopted(name.clone()));
    }
    Ok(if all_adopted { 0 } else { pending.len() })
}

fn has_adopted(daemons: &Daemons, name: &str) -> bool {
    let status = daemons.status(name).unwrap_or_default();
    let is_ready = daemons.read_ops(name, "/readyz").is_ok_and(|page| page == "ready\n");
    status["generation"].as_u64() >= Some(GENERATION) && is_ready
}

/// Sends short chats to open connections from the measured router to every sidecar, and from every
/// router to the measured sidecar, on nearly all traffic threads.
fn open_links(daemons: &Daemons, sizes: Sizes) -> Result<(), MeasureError> {
    let caller = Caller::new(daemons.listen(ROUTER)?, &key(0));
    for number in 0..CHATS_PER_LINK * sizes.sidecars {
        send_chat(&caller, &format!("any sidecar {number}"))?;
    }
    for number in 1..=sizes.routers {
        let router = daemons.listen(&format!("router-{number}"))?;
        let caller = Caller::new(router, &key(SIDECAR_WORKSPACE));
        for round in 0..CHATS_PER_LINK {
            // A router that hasn't adopted the records refuses the chat and opens no connection.
            // This is fine, since the figures are related to the number of open sockets.
            let _late = send_chat(&caller, &format!("one sidecar {number} {round}"));
        }
    }
    Ok(())
}

fn send_chat(caller: &Caller, content: &str) -> Result<(), MeasureError> {
    let request = ChatRequest::new(&model(0), content).with_max_tokens(1);
    let reply = caller.chat(&request)?;
    match reply.status {
        200 => Ok(()),
        status => Err(MeasureError::Refused { status, body: reply.body }),
    }
}

/// Opens streams that last until after the measured window. A thread reads each one until the
/// router stops.
fn open_streams(router: SocketAddr, wanted: usize) -> Result<(), MeasureError> {
    let started = Arc::new(AtomicUsize::new(0));
    let failures = Arc::new(Mutex::new(Vec::new()));
    for number in 0..wanted {
        let (started, failures) = (started.clone(), failures.clone());
        let caller = Caller::new(router, &key(number % 10));
        thread::sleep(STREAM_PAUSE);
        thread::spawn(move || {
            if let Err(err) = read_long_stream(&caller, number, &started) {
                let mut failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
                failures.push(err.to_string());
            }
        });
    }
    if wait_until(STREAMS_DEADLINE, || started.load(Ordering::Relaxed) == wanted) {
        return Ok(());
    }
    let failures = failures.lock().unwrap_or_else(PoisonError::into_inner);
    Err(MeasureError::StreamsNotStarted {
        started: started.load(Ordering::Relaxed),
        wanted,
        failed: failures.len(),
        reason: failures.first().cloned().unwrap_or_else(|| "none".to_owned()),
    })
}

/// Reads a stream to its end, and increments `started` at its first token.
fn read_long_stream(
    caller: &Caller,
    number: usize,
    started: &AtomicUsize,
) -> Result<(), MeasureError> {
    let request = ChatRequest::new(&model(0), &format!("chat {number}"));
    let mut stream = caller.stream(&request.with_max_tokens(LONG_STREAM_TOKENS))?;
    if stream.status() != 200 {
        let reply = stream.into_reply()?;
        return Err(MeasureError::Refused { status: reply.status, body: reply.body });
    }
    let mut found = 0;
    while let Some(event) = stream.next_event()? {
        if event.text().is_empty() {
            continue;
        }
        found += 1;
        if found == 1 {
            started.fetch_add(1, Ordering::Relaxed);
        }
    }
    Err(MeasureError::StreamCutOff { found, wanted: LONG_STREAM_TOKENS as usize })
}
