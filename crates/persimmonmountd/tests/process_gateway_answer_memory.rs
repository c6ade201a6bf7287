//! Tests of a gateway's memory while hundreds of answers arrive without end, or slow callers read long
//! ones.

use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{
    Answer, Behaviour, BodyEnd, BodyFraming, Deployment, EndpointStandin, RouteSpec, wait_until,
};
use rstest::rstest;

/// Memory of the smallest VM, in megabytes.
const MEMORY_MB: u64 = 160;
/// Number of endpoints that send the long answers, and of their requests at the same time. Each has eight
/// slots.
const ENDPOINTS: usize = 50;
const ANSWERS: usize = 300;
/// Number of sound requests one after the other beside them.
const SOUND: usize = 40;
const KEY: &str = "key-1";
/// Deadline of callers, in milliseconds.
const DEADLINE_MS: u64 = 12_000;
/// Time for which a slow caller reads nothing.
const SLOW_READ: Duration = Duration::from_secs(3);
/// Interval at which the memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

const GARBAGE: Behaviour = Behaviour::Endless { start: "", unit: "garbage " };
const HEADER_LINES: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 200 x\r\n{signed}", unit: "X-More: more\r\n" };
const HEADER_VALUE: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 200 x\r\nX-Long: ", unit: "long" };
const UNTIL_CLOSE: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 200 x\r\n{signed}\r\n", unit: "more " };
const LENGTH: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Content-Length: 900000000\r\n\r\n",
    unit: "more ",
};
const CHUNKS: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Transfer-Encoding: chunked\r\n\r\n",
    unit: "100\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
           0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
           0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
           0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
};
const FAILURE: Behaviour =
    Behaviour::Endless { start: "HTTP/1.1 500 x\r\n{signed}\r\n", unit: "more " };
const EVENT: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    unit: "more ",
};
const SHORT_EVENTS: Behaviour = Behaviour::Endless {
    start: "HTTP/1.1 200 x\r\n{signed}Content-Type: text/event-stream\r\n\r\n",
    unit: "data: more\n\n",
};
/// Length of a sound answer that callers read slowly, and of a long event, in bytes.
const LONG_BODY_BYTES: usize = 900_000;
const LONG_EVENT_BYTES: usize = 200_000;

fn long_events() -> Behaviour {
    let event = format!("data: {}\n\n", "x".repeat(LONG_EVENT_BYTES));
    Behaviour::Endless {
        start: "HTTP/1.1 200 x\r\n{signed}Content-Type: text/event-stream\r\n\r\n",
        unit: event.leak(),
    }
}

fn long_body(framing: BodyFraming) -> Behaviour {
    let body = "y".repeat(LONG_BODY_BYTES);
    Behaviour::Body {
        headers: "",
        framing,
        body,
        sent_bytes: LONG_BODY_BYTES,
        end: BodyEnd::Framed,
    }
}

/// How a caller reads its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    AtOnce,
    /// It reads nothing for [`SLOW_READ`], then the whole answer.
    Late,
    /// It reads nothing for [`SLOW_READ`], then closes the connection.
    Never,
}

/// One test at a time, since each needs hundreds of threads.
static RUNNING: Mutex<()> = Mutex::new(());

/// A gateway on the smallest VM, the endpoints of the long answers, and a sound one of another service.
struct Play {
    deployment: Deployment,
    endpoints: Vec<EndpointStandin>,
}

/// The result of a play.
#[derive(Debug)]
struct Played {
    long: Vec<Option<Answer>>,
    sound: Vec<Answer>,
    /// Maximum of the process's memory and the bytes in its sockets that it hasn't read, in bytes.
    peak_bytes: u64,
}

impl Play {
    fn start(behaviour: &Behaviour) -> Self {
        let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
        deployment.set_memory_mb(MEMORY_MB);
        let start = |name: String, number| {
            let ip = deployment.endpoint_ip(number);
            EndpointStandin::start_at(&name, ip, Behaviour::ok()).unwrap()
        };
        let endpoints: Vec<_> =
            (0..ENDPOINTS).map(|number| start(format!("long-{number}"), number)).collect();
        for endpoint in &endpoints {
            endpoint.set_behaviour(behaviour.clone());
            endpoint.hold_answers(true);
            deployment.publish_endpoint(endpoint, false);
        }
        deployment.publish_unrelated_endpoint(&start("sound".to_owned(), ENDPOINTS));
        let routes = [
            RouteSpec::once("commit"),
            RouteSpec::repeatable("lookup"),
            RouteSpec::stream("draft", true),
            RouteSpec::stream("chat", false),
            RouteSpec::once("sound").with_only_unrelated_service(),
        ]
        .map(|it| it.with_timeout_ms(DEADLINE_MS).with_target_ms(DEADLINE_MS / 4));
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        let is_known = |id: &str| deployment.knows(0, id);
        assert!(wait_until(|| is_known("sound") && endpoints.iter().all(|it| is_known(it.id()))));
        Self { deployment, endpoints }
    }

    fn run(&self, path: &str, reading: Reading) -> Played {
        let is_over = Arc::new(AtomicBool::new(false));
        let sampling = self.sample_memory(is_over.clone());
        let (long, sound) = thread::scope(|scope| {
            let call = |number| scope.spawn(move || self.call(path, number, reading));
            let calls: Vec<_> = (0..ANSWERS).map(call).collect();
            let received = || self.endpoints.iter().map(|it| it.received().len()).sum::<usize>();
            assert!(wait_until(|| received() >= ANSWERS), "{} arrived", received());
            self.endpoints.iter().for_each(|it| it.hold_answers(false));
            let sound = (0..SOUND).map(|number| self.call_sound(number)).collect();
            (calls.into_iter().map(|it| it.join().unwrap()).collect(), sound)
        });
        is_over.store(true, Ordering::SeqCst);
        Played { long, sound, peak_bytes: sampling.join().unwrap() }
    }

    /// Returns the answer; none if the connection broke.
    fn call(&self, path: &str, number: usize, reading: Reading) -> Option<Answer> {
        let caller = self.deployment.caller(0).ok()?;
        let caller = caller.request("POST", path, &format!("long-{number}"));
        let mut caller = caller.with_key(KEY).with_deadline_ms(DEADLINE_MS);
        caller.send("the body").ok()?;
        if reading != Reading::AtOnce {
            thread::sleep(SLOW_READ);
        }
        match reading {
            Reading::AtOnce | Reading::Late => caller.receive().ok().flatten(),
            Reading::Never => None,
        }
    }

    fn call_sound(&self, number: usize) -> Answer {
        let caller = self.deployment.caller(0).unwrap();
        let caller = caller.request("POST", "/sound/x", &format!("sound-{number}"));
        caller.with_key(KEY).with_deadline_ms(DEADLINE_MS).call("a").unwrap()
    }

    /// Samples the gateway's memory until `is_over`, and returns the maximum in bytes.
    fn sample_memory(&self, is_over: Arc<AtomicBool>) -> thread::JoinHandle<u64> {
        let process = self.deployment.id(0);
        let peers: HashSet<_> =
            self.endpoints.iter().map(|it| proc_address(it.address())).collect();
        thread::spawn(move || {
            let mut unread_peak = 0;
            let mut peak = 0;
            while !is_over.load(Ordering::SeqCst) {
                let unread = unread_bytes(&peers);
                unread_peak = unread.max(unread_peak);
                peak = (status_bytes(process, "VmRSS:") + unread).max(peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
            let resident = status_bytes(process, "VmHWM:");
            println!("resident {resident} unread {unread_peak} sum {peak}");
            peak.max(resident)
        })
    }

    /// Checks that the process lives in the memory of its VM, serves sound callers and delivers no answer
    /// as complete that isn't `whole`. Returns the number of those that are.
    fn check(mut self, played: &Played, whole: Option<&str>) -> usize {
        assert!(!self.deployment.has_ended(0), "the gateway has ended");
        let sound = |it: &Answer| it.status == 200 && it.is_complete && it.body == "done";
        assert!(played.sound.iter().all(sound), "{:?}", played.sound);
        let looks_complete = |it: &&Answer| it.status == 200 && it.is_complete;
        let complete: Vec<_> = played.long.iter().flatten().filter(looks_complete).collect();
        let is_whole = |it: &&Answer| whole == Some(&it.body);
        assert!(complete.iter().all(is_whole), "a part of an answer looks complete");
        // A request that may have run isn't answered with a promise that it hasn't.
        let is_promise = |it: &&Answer| [408, 421, 429, 503].contains(&it.status);
        assert!(!played.long.iter().flatten().any(|it| is_promise(&it)), "a false promise");
        let peak_mb = played.peak_bytes / (1024 * 1024);
        assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
        self.deployment.close();
        complete.len()
    }
}

/// Returns an address as the kernel lists it.
fn proc_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("not an IPv4 address") };
    let [a, b, c, d] = address.ip().octets();
    format!("{d:02X}{c:02X}{b:02X}{a:02X}:{:04X}", address.port())
}

/// Returns the bytes from these peers that no process has read.
fn unread_bytes(peers: &HashSet<String>) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(2);
        let is_peer = peers.contains(fields.next()?);
        let queues = fields.nth(1)?;
        is_peer.then(|| u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()).flatten()
    };
    table.lines().filter_map(unread).sum()
}

/// Returns a value of the process's status, in bytes.
fn status_bytes(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}

/// Plays answers without end, of which none may look complete.
fn play_endless(behaviour: &Behaviour, path: &str, reading: Reading) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start(behaviour);
    let played = play.run(path, reading);
    assert_eq!(play.check(&played, None), 0);
}

#[rstest]
#[case::garbage(GARBAGE)]
#[case::header_lines(HEADER_LINES)]
#[case::header_value(HEADER_VALUE)]
#[case::until_close(UNTIL_CLOSE)]
#[case::length(LENGTH)]
#[case::chunks(CHUNKS)]
#[case::failure(FAILURE)]
fn hundreds_of_endless_answers_to_calls_fit_the_memory(
    #[case] behaviour: Behaviour,
    #[values("/commit/x", "/lookup/x")] path: &str,
) {
    play_endless(&behaviour, path, Reading::AtOnce);
}

#[rstest]
#[case::garbage(GARBAGE)]
#[case::header_value(HEADER_VALUE)]
#[case::event(EVENT)]
fn hundreds_of_endless_streams_fit_the_memory(
    #[case] behaviour: Behaviour,
    #[values("/draft/x", "/chat/x")] path: &str,
) {
    play_endless(&behaviour, path, Reading::AtOnce);
}

#[rstest]
#[case::short_events(SHORT_EVENTS)]
#[case::long_events(long_events())]
#[case::no_events(CHUNKS)]
fn hundreds_of_slowly_read_streams_fit_the_memory(#[case] behaviour: Behaviour) {
    play_endless(&behaviour, "/chat/x", Reading::Never);
}

#[rstest]
#[case::length(BodyFraming::Length)]
#[case::chunked(BodyFraming::Chunked)]
#[case::until_close(BodyFraming::UntilClose)]
fn hundreds_of_slowly_read_long_answers_fit_the_memory(#[case] framing: BodyFraming) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let body = "y".repeat(LONG_BODY_BYTES);
    let play = Play::start(&long_body(framing));
    let played = play.run("/commit/x", Reading::Late);
    let whole = play.check(&played, Some(&body));
    assert_eq!(whole, ANSWERS);
}

/// Failures aren't passed on before they are complete. Guards against pieces that keep whole answers in memory.
#[rstest]
#[case::late(Reading::Late)]
#[case::never(Reading::Never)]
fn hundreds_of_slowly_read_failures_fit_the_memory(#[case] reading: Reading) {
    let body = "y".repeat(LONG_BODY_BYTES);
    play_endless(&Behaviour::Answer { status: 500, body }, "/commit/x", reading);
}
