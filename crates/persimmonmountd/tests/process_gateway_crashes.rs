//! Tests of several gateways before endpoints that crash on some requests.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    BodyFraming, Caller, CrashExit, CrashMoment, CrashPlan, CrashingEndpoint, Deployment,
    RouteSpec, wait_until,
};
use rstest::rstest;

const KEY: &str = "key-1";
const GATEWAYS: usize = 3;
const ENDPOINTS: [&str; 8] = ["one", "two", "three", "four", "five", "six", "seven", "eight"];
/// Endpoints of a larger service, of which one request can silence one after the other.
const MANY_ENDPOINTS: [&str; 14] = [
    "one", "two", "three", "four", "five", "six", "seven", "eight", "nine", "ten", "eleven",
    "twelve", "thirteen", "fourteen",
];
const TARGET_MS: u64 = 200;
const MARKER: &str = "bad00bad";
/// Prompt parts that all requests share, before and after one that differs.
const SHARED_PARTS: [(&str, u32); 2] = [("aaaa01", 700), ("aaaa02", 90)];
const SOUND_PART: &str = "50004d";
const DEADLINE_MS: u64 = 2_000;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause between two requests that crash endpoints; an endpoint answers or crashes in less.
const BAD_PAUSE: Duration = Duration::from_millis(80);
/// Time for which requests that crash endpoints are sent; longer where the endpoints are silent for
/// long.
const BAD_TIME: Duration = Duration::from_millis(6_500);
const LONG_BAD_TIME: Duration = Duration::from_millis(12_800);
/// Time that gateways have to tell each other of crashes, from the specification.
const CONTACT: Duration = Duration::from_secs(3);
/// Maximum number of requests that may reach endpoints after that, from the specification.
const MAX_LATE_ARRIVALS: usize = 3;
/// Share of sound requests served once the silent endpoints are back.
const MIN_SERVED_AFTERWARDS: f64 = 0.9;
/// Number of crashes after which a repeated request is to be refused, from the specification.
const REPEATED_CRASHES: usize = 3;
/// Number of crashes after which requests with a part in common are to be refused, from the
/// specification.
const PART_CRASHES: usize = 5;

/// A request as its caller sends it.
#[derive(Debug)]
struct Request {
    id: String,
    /// The prompt part that differs, with the request's own part.
    parts: (&'static str, String),
    body: String,
}

impl Request {
    /// Returns a sound request. Every other one is unlike all others.
    fn sound(gateway: usize, number: usize) -> Self {
        let id = format!("sound-{gateway}-{number}");
        let body = if number.is_multiple_of(2) { "sound".to_owned() } else { id.clone() };
        Self { parts: (SOUND_PART, format!("50{gateway}{number:x}")), body, id }
    }

    /// Returns one repetition of a request that crashes endpoints.
    fn repeated(number: usize) -> Self {
        let parts = (SOUND_PART, "bad1".to_owned());
        Self { id: format!("bad-{number}"), parts, body: MARKER.to_owned() }
    }

    /// Returns a request with a prompt part that crashes endpoints; no two are alike.
    fn with_bad_part(number: usize) -> Self {
        let id = format!("bad-{number}");
        Self { parts: (MARKER, format!("bad2{number:x}")), body: id.clone(), id }
    }

    /// Sends the request through a gateway, without waiting for an answer.
    fn send(&self, deployment: &Deployment, gateway: usize, path: &str) -> io::Result<Caller> {
        let [first, last] = SHARED_PARTS;
        let (part, own) = &self.parts;
        let mut caller = deployment
            .caller(gateway)?
            .request("POST", path, &self.id)
            .with_key(KEY)
            .with_deadline_ms(DEADLINE_MS)
            .with_prompt(&[first, (part, 50), last, (own, 20)]);
        caller.send(&self.body)?;
        Ok(caller)
    }
}

/// Sound requests sent and served, first attempts only.
#[derive(Debug, Default)]
struct Served {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Served {
    fn record(&self, is_served: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.served.fetch_add(usize::from(is_served), Ordering::Relaxed);
    }

    fn share(&self) -> f64 {
        let count = |it: &AtomicUsize| it.load(Ordering::Relaxed) as f64;
        count(&self.served) / count(&self.sent)
    }
}

/// Gateways before endpoints of which each crashes on marked requests.
struct Fixture {
    deployment: Deployment,
    endpoints: Vec<CrashingEndpoint>,
}

impl Fixture {
    fn start(plan: CrashPlan) -> Self {
        Self::start_with(plan, &ENDPOINTS, TARGET_MS)
    }

    /// Starts gateways before endpoints with these names. Routes have a target latency of
    /// `target_ms`, which determines when a silent endpoint is given up.
    fn start_with(plan: CrashPlan, names: &[&'static str], target_ms: u64) -> Self {
        let program = env!("CARGO_BIN_EXE_persimmonmountd");
        let mut deployment = Deployment::new(program, GATEWAYS as u8).unwrap();
        let start =
            |name: &&'static str| CrashingEndpoint::start(name, plan, &deployment.store).unwrap();
        let endpoints: Vec<_> = names.iter().map(start).collect();
        let routes = [
            RouteSpec::once("commit"),
            RouteSpec::repeatable("lookup"),
            RouteSpec::stream("draft", true),
            RouteSpec::stream("chat", false),
        ];
        let routes = routes.map(|it| it.with_prompts().with_target_ms(target_ms));
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        let knows_all = |gateway| names.iter().all(|id| deployment.knows(gateway, id));
        let is_known = wait_until(|| (0..GATEWAYS).all(knows_all));
        let logs = || (0..GATEWAYS).map(|it| deployment.log(it)).collect::<Vec<_>>();
        assert!(is_known, "an endpoint isn't known everywhere: {:#?}", logs());
        Self { deployment, endpoints }
    }

    /// Sends sound requests through a gateway while `is_over` is false. Those sent once `is_late`
    /// is true are counted apart.
    fn call_soundly(&self, gateway: usize, day: &Day<'_>) {
        let mut number = 0;
        while !day.is_over.load(Ordering::Relaxed) {
            number += 1;
            let request = Request::sound(gateway, number);
            let answer = request
                .send(&self.deployment, gateway, day.path)
                .and_then(|mut caller| caller.receive());
            let is_served =
                answer.is_ok_and(|it| it.is_some_and(|it| it.status == 200 && it.is_complete));
            let served = match day.is_late.load(Ordering::Relaxed) {
                true => &day.late,
                false => &day.early,
            };
            served.record(is_served);
            thread::sleep(PAUSE);
        }
    }

    /// Sends marked requests through all gateways in turn, without waiting for answers.
    fn call_badly(&self, path: &str, request: fn(usize) -> Request, lasting: Duration) {
        let until = Instant::now() + lasting;
        let mut callers = Vec::new();
        while Instant::now() < until {
            let number = callers.len();
            let caller = request(number).send(&self.deployment, number % GATEWAYS, path);
            callers.push(caller.unwrap());
            thread::sleep(BAD_PAUSE);
        }
    }

    /// Returns the time of the crash with this number, counted from 1.
    fn crash(&self, number: usize) -> Option<Instant> {
        let mut crashes: Vec<_> =
            self.endpoints.iter().flat_map(CrashingEndpoint::crashes).collect();
        crashes.sort();
        crashes.get(number - 1).copied()
    }

    fn arrivals_after(&self, time: Instant) -> usize {
        let arrivals = self.endpoints.iter().flat_map(CrashingEndpoint::marked_arrivals);
        arrivals.filter(|at| *at > time).count()
    }

    /// Checks that endpoints got few marked requests once the gateways had time to refuse them, and
    /// that sound requests were served all the same.
    fn check(&self, crashes: usize, late: &Served) {
        assert!(self.crash(1).is_some(), "no marked request ran");
        if let Some(last) = self.crash(crashes) {
            let arrivals = self.arrivals_after(last + CONTACT);
            assert!(
                arrivals <= MAX_LATE_ARRIVALS,
                "{arrivals} requests reached endpoints; {:#?}",
                self.quarantines()
            );
        }
        assert!(late.share() >= 0.5, "{late:?}; {:#?}", self.quarantines());
    }

    /// Returns what the gateways logged of requests that they refuse, and of those that they try again.
    fn quarantines(&self) -> Vec<String> {
        let lines = (0..GATEWAYS).flat_map(|gateway| self.deployment.log(gateway));
        let is_of_refusal = |line: &String| {
            line.contains("requests are refused") || line.contains("refused as crashing")
        };
        lines.filter(is_of_refusal).collect()
    }

    fn close(self) {
        self.deployment.close();
    }
}

/// What is sent in a test, and what came of the sound requests.
struct Day<'a> {
    path: &'a str,
    is_late: AtomicBool,
    is_over: AtomicBool,
    early: Served,
    late: Served,
}

/// Plays marked requests beside sound ones. Sound requests count as late once the gateways have had
/// the time to refuse the marked ones.
fn play(
    fixture: &Fixture,
    path: &str,
    bad_request: fn(usize) -> Request,
    lasting: Duration,
) -> Served {
    let day = Day {
        path,
        is_late: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
        early: Served::default(),
        late: Served::default(),
    };
    thread::scope(|scope| {
        for gateway in 0..GATEWAYS {
            let day = &day;
            scope.spawn(move || fixture.call_soundly(gateway, day));
        }
        let bad = scope.spawn(|| fixture.call_badly(path, bad_request, lasting));
        thread::sleep(lasting / 2);
        day.is_late.store(true, Ordering::Relaxed);
        bad.join().unwrap();
        day.is_over.store(true, Ordering::Relaxed);
    });
    day.late
}

/// A caller sends a request that crashes each endpoint that runs it to all gateways in turn, whatever
/// they tell it, beside sound requests of the same caller on the same route.
#[rstest]
fn request_that_crashes_endpoints_is_refused_beside_sound_ones(
    #[values("/commit/x", "/lookup/x", "/draft/x", "/chat/x")] path: &str,
    #[values(
        CrashMoment::BeforeHead,
        CrashMoment::InBody(BodyFraming::Chunked),
        CrashMoment::InBody(BodyFraming::UntilClose)
    )]
    moment: CrashMoment,
    #[values(
        CrashExit::Refusing,
        CrashExit::Silent,
        CrashExit::BackAtOnce,
        CrashExit::BackRenamed
    )]
    exit: CrashExit,
) {
    let fixture = Fixture::start(CrashPlan { marker: MARKER, moment, exit });
    let late = play(&fixture, path, Request::repeated, BAD_TIME);
    fixture.check(REPEATED_CRASHES, &late);
    fixture.close();
}

/// Requests of which no two are alike, but which have a prompt part in common, crash each endpoint
/// that begins to answer them. Sound ones share their caller, route and other parts.
#[rstest]
fn prompt_part_that_crashes_endpoints_is_refused_beside_sound_ones(
    #[values("/commit/x", "/lookup/x", "/draft/x", "/chat/x")] path: &str,
    #[values(
        CrashMoment::BeforeHead,
        CrashMoment::InBody(BodyFraming::Chunked),
        CrashMoment::InBody(BodyFraming::UntilClose)
    )]
    moment: CrashMoment,
    #[values(
        CrashExit::Refusing,
        CrashExit::Silent,
        CrashExit::BackAtOnce,
        CrashExit::BackRenamed
    )]
    exit: CrashExit,
) {
    let fixture = Fixture::start(CrashPlan { marker: MARKER, moment, exit });
    let late = play(&fixture, path, Request::with_bad_part, BAD_TIME);
    fixture.check(PART_CRASHES, &late);
    fixture.close();
}

/// Each endpoint that runs the request keeps its connections open and sends nothing more. The
/// platform's word comes long after the route has given the attempt up.
#[rstest]
fn request_that_silences_endpoints_is_refused_where_its_route_gives_up(
    #[values("/lookup/x", "/draft/x")] path: &str,
    #[values(150, 300, 400)] target_ms: u64,
    #[values(false, true)] is_idle: bool,
) {
    let (moment, exit) = (CrashMoment::BeforeHead, CrashExit::SilentRenamed);
    let plan = CrashPlan { marker: MARKER, moment, exit };
    let fixture = Fixture::start_with(plan, &MANY_ENDPOINTS, target_ms);
    if is_idle {
        fixture.call_badly(path, Request::repeated, LONG_BAD_TIME);
        let third = fixture.crash(REPEATED_CRASHES).expect("three endpoints fell silent");
        let arrivals = fixture.arrivals_after(third + CONTACT);
        assert!(arrivals <= MAX_LATE_ARRIVALS, "{arrivals} requests reached endpoints");
    } else {
        let late = play(&fixture, path, Request::repeated, LONG_BAD_TIME);
        fixture.check(REPEATED_CRASHES, &late);
        let quarantines = fixture.quarantines();
        assert!(late.share() >= MIN_SERVED_AFTERWARDS, "{late:?}; {quarantines:#?}");
    }
    fixture.close();
}
