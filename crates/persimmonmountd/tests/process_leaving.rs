//! Tests of endpoints that leave under load, and of sidecars that are frozen and resumed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use persimmon_records::{EndpointName, Generation, RecordSet, UnixMs};
use persimmon_standins::Engine;
use persimmon_standins::fleet::{Caller, ChatRequest, Fleet, wait_until};
use rstest::rstest;

const MODEL: &str = "chat-large";
const LEAVING: &str = "engine-1";
/// Time after which a leaving endpoint receives no new requests.
const LEAVING_LIMIT_MS: u64 = 3_000;
/// Requests after the limit, all of which the other endpoint must serve.
const REQUESTS_AFTER_LIMIT: usize = 20;
const DEADLINE: Duration = Duration::from_secs(20);

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_epoch.as_millis()).unwrap()
}

fn start_fleet() -> Fleet {
    let engine = || Engine::builder(MODEL).with_slots(16);
    let fleet = Fleet::builder(env!("CARGO_BIN_EXE_persimmonmountd"))
        .with_router("router-1", "zone-a")
        .with_router("router-2", "zone-b")
        .with_engine(LEAVING, "zone-a", engine())
        .with_engine("engine-2", "zone-b", engine())
        .start()
        .unwrap();
    fleet.wait_serving().unwrap();
    fleet
}

fn change_endpoint(records: &mut RecordSet, change: impl Fn(&mut persimmon_records::Endpoint)) {
    let name = EndpointName::from(LEAVING);
    records.endpoints.iter_mut().filter(|one| one.name == name).for_each(change);
}

/// Callers that send requests through both routers until stopped. Each returns its incorrect
/// answers.
struct Load {
    stopping: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let start = |index: usize| {
            let router = if index.is_multiple_of(2) { "router-1" } else { "router-2" };
            let caller = fleet.caller(router).unwrap();
            let stopping = Arc::clone(&stopping);
            thread::spawn(move || send_until_stopped(&caller, index, &stopping))
        };
        let callers = (0..4).map(start).collect();
        Self { stopping, callers }
    }

    fn stop(self) -> Vec<String> {
        self.stopping.store(true, Ordering::SeqCst);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }
}

fn send_until_stopped(caller: &Caller, index: usize, stopping: &AtomicBool) -> Vec<String> {
    let mut incorrect = Vec::new();
    for turn in 0_u64.. {
        if stopping.load(Ordering::SeqCst) {
            break;
        }
        let request = ChatRequest::new(MODEL, &format!("{index} asks {turn}")).with_max_tokens(8);
        match caller.chat(&request) {
            Ok(reply) if reply.text() == request.expected_answer() => {}
            Ok(reply) if reply.failure().is_some_and(|failure| failure.outcome == "not-run") => {}
            Ok(reply) => incorrect.push(format!("{} {}", reply.status, reply.body)),
            Err(err) => incorrect.push(err.to_string()),
        }
    }
    incorrect
}

fn admitted_after(fleet: &Fleet, engine: &str, unix_ms: u64) -> usize {
    let admissions = fleet.engine(engine).counts().admissions;
    admissions.iter().filter(|admission| admission.at_unix_ms > unix_ms).count()
}

#[rstest]
#[case::listed(|fleet: &mut Fleet| fleet.list_as_leaving(LEAVING).unwrap())]
#[case::drained(|fleet: &mut Fleet| {
    fleet.publish_drain(LEAVING);
})]
#[case::loan_ends(|fleet: &mut Fleet| {
    let ends_at = UnixMs(unix_ms() + 2_000);
    fleet.publish_change(|records| {
        change_endpoint(records, |endpoint| endpoint.loan_ends_at = Some(ends_at));
    });
})]
#[case::signalled(|fleet: &mut Fleet| fleet.daemons.terminate(LEAVING).unwrap())]
fn leaving_endpoint_gets_no_new_requests_and_cuts_none(#[case] leave: impl Fn(&mut Fleet)) {
    let mut fleet = start_fleet();
    let load = Load::start(&fleet);
    let long = ChatRequest::new(MODEL, "a very long dossier").with_max_tokens(600);
    let streams: Vec<_> = ["router-1", "router-2"]
        .map(|router| fleet.caller(router).unwrap())
        .iter()
        .map(|caller| caller.stream(&long).unwrap())
        .collect();
    let left_at = unix_ms();
    leave(&mut fleet);
    let answers: Vec<_> =
        streams.into_iter().map(|stream| thread::spawn(move || stream.read_rest())).collect();
    let limit = left_at + LEAVING_LIMIT_MS;
    let is_served = wait_until(DEADLINE, || {
        unix_ms() > limit && admitted_after(&fleet, "engine-2", limit) >= REQUESTS_AFTER_LIMIT
    });
    let incorrect = load.stop();
    assert!(is_served, "the other endpoint served too few requests");
    assert_eq!(admitted_after(&fleet, LEAVING, limit), 0, "requests admitted after the limit");
    for answer in answers {
        let answer = answer.join().unwrap();
        assert!(answer.done, "an answer in progress was cut");
        assert_eq!(answer.text, long.expected_answer());
    }
    assert_eq!(incorrect, Vec::<String>::new());
    fleet.close();
}

/// The sidecar is frozen before its loan ends and resumes afterwards, with requests waiting in its
/// sockets.
#[test]
fn frozen_sidecar_resumed_after_its_loan_admits_nothing() {
    let mut fleet = start_fleet();
    let ends_at = unix_ms() + 8_000;
    fleet.publish_change(|records| {
        change_endpoint(records, |endpoint| endpoint.loan_ends_at = Some(UnixMs(ends_at)));
    });
    fleet.wait_in_force().unwrap();
    fleet.daemons.freeze(LEAVING).unwrap();
    let frozen_at = unix_ms();
    assert!(frozen_at < ends_at - 1_000, "the loan ended before the sidecar was frozen");
    let load = Load::start(&fleet);
    assert!(wait_until(DEADLINE, || unix_ms() > ends_at));
    fleet.daemons.thaw(LEAVING).unwrap();
    let is_served = wait_until(DEADLINE, || {
        let is_leaving =
            fleet.daemons.status(LEAVING).is_ok_and(|status| status["leaving"] == true);
        is_leaving && admitted_after(&fleet, "engine-2", ends_at) >= REQUESTS_AFTER_LIMIT
    });
    load.stop();
    assert!(is_served, "the sidecar doesn't leave, or the other endpoint served too few requests");
    assert_eq!(
        admitted_after(&fleet, LEAVING, frozen_at),
        0,
        "requests admitted after the sidecar resumed"
    );
    fleet.close();
}

/// The drained sidecar runs on for answers that callers may still resume, but admits no new
/// requests until it restarts.
#[test]
fn undone_drain_lasts_until_restart() {
    let mut fleet = start_fleet();
    let has_generation = |fleet: &Fleet, published: Generation| {
        let status = fleet.daemons.status(LEAVING).unwrap();
        status["generation"].as_u64() >= Some(published.0)
    };
    let drained = fleet.publish_drain(LEAVING);
    assert!(wait_until(DEADLINE, || has_generation(&fleet, drained)));
    let undone = fleet.publish_change(|records| {
        change_endpoint(records, |endpoint| endpoint.draining = false);
    });
    assert!(wait_until(DEADLINE, || has_generation(&fleet, undone)));
    let undone_at = unix_ms();
    let load = Load::start(&fleet);
    let is_served = wait_until(DEADLINE, || {
        admitted_after(&fleet, "engine-2", undone_at) >= REQUESTS_AFTER_LIMIT
    });
    assert_eq!(load.stop(), Vec::<String>::new());
    assert!(is_served, "the other endpoint served too few requests");
    assert_eq!(
        admitted_after(&fleet, LEAVING, undone_at),
        0,
        "the drained incarnation admitted requests"
    );

    fleet.daemons.stop(LEAVING, DEADLINE).unwrap();
    fleet.daemons.restart(LEAVING).unwrap();
    fleet.wait_serving().unwrap();
    let restarted_at = unix_ms();
    let load = Load::start(&fleet);
    let is_served = wait_until(DEADLINE, || admitted_after(&fleet, LEAVING, restarted_at) > 0);
    assert_eq!(load.stop(), Vec::<String>::new());
    assert!(is_served, "the next incarnation admits no requests");
    fleet.close();
}
