//! Tests of a gateway's memory while a crowd of callers sends bodies that stop just short of their end.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Caller, Deployment, EndpointStandin, REQUEST_ID, RouteSpec, wait_until,
};
use rstest::rstest;

/// Memory that the gateway may use, in megabytes.
const MEMORY_MB: u64 = 48;
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of callers in the crowd, and how many of them there are for each that ends its body.
const CROWD: usize = 48;
const CALLERS_PER_ENDED: usize = 8;
/// Descriptors for everything but the crowd's connections: sockets that listen, connections to the store
/// and the endpoint, files.
const OWN_DESCRIPTORS: usize = 64;
/// Timeout of the routes, in milliseconds, which is longer than a test.
const TIMEOUT_MS: u64 = 120_000;
/// Time within which the gateway must have read what the crowd sent; far more than a busy machine needs.
const READ_LIMIT: Duration = Duration::from_secs(90);
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";
const KEY: &str = "key-1";

/// One test at a time, since each measures a process under load.
static RUNNING: Mutex<()> = Mutex::new(());

/// How a caller of the crowd states the length of its body, and how it sends it.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// In chunks of this many bytes.
    Chunks { chunk_bytes: usize, body_bytes: usize },
    /// With a stated length.
    Length { body_bytes: usize },
    /// It sends only a part of the request's head.
    PartialHead { head_bytes: usize },
}

const LARGE_CHUNKS: Sending = Sending::Chunks { chunk_bytes: 64 * 1024, body_bytes: 3_900_000 };
const SMALL_CHUNKS: Sending = Sending::Chunks { chunk_bytes: 1_024, body_bytes: 3_900_000 };
const TINY_CHUNKS: Sending = Sending::Chunks { chunk_bytes: 8, body_bytes: 24_000 };
const LENGTH: Sending = Sending::Length { body_bytes: 3_900_000 };
const PARTIAL_HEAD: Sending = Sending::PartialHead { head_bytes: 12_000 };

impl Sending {
    /// Returns the bytes of a request up to just short of its end, and those of its end.
    fn message(self, path: &str, id: &str) -> (Vec<u8>, Vec<u8>) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer {KEY}\r\n\
             {REQUEST_ID}: {id}\r\n"
        );
        match self {
            Self::Chunks { chunk_bytes, body_bytes } => {
                let mut message = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                for _ in 0..body_bytes.div_ceil(chunk_bytes) {
                    message.extend_from_slice(&chunk(chunk_bytes));
                }
                (message, b"0\r\n\r\n".to_vec())
            }
            Self::Length { body_bytes } => {
                let head = format!("{head}Content-Length: {body_bytes}\r\n\r\n");
                ([head.as_bytes(), &vec![b'x'; body_bytes - 1]].concat(), b"x".to_vec())
            }
            Self::PartialHead { head_bytes } => {
                let value = "x".repeat(head_bytes);
                (format!("{head}X-Long: {value}").into_bytes(), b"\r\n\r\n".to_vec())
            }
        }
    }
}

fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &vec![b'x'; bytes], b"\r\n"].concat()
}

/// A gateway with little memory, and one endpoint.
struct Play {
    deployment: Deployment,
    endpoint: EndpointStandin,
}

impl Play {
    fn start() -> Self {
        let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
        deployment.set_memory_mb(MEMORY_MB);
        deployment.set_max_body_bytes(MAX_BODY_BYTES as u64);
        let endpoint = EndpointStandin::start("one", Behaviour::ok()).unwrap();
        deployment.publish_endpoint(&endpoint, false);
        let routes = [RouteSpec::once("commit"), RouteSpec::stream("chat", false)];
        let routes = routes.map(|it| it.with_timeout_ms(TIMEOUT_MS));
        deployment.publish_routes(&routes, &[KEY]);
        deployment.start_all().unwrap();
        assert!(wait_until(|| deployment.knows(0, "one")));
        Self { deployment, endpoint }
    }

    /// Sends a request of the crowd. Returns its connection, which is open unless the gateway closed it.
    fn send(&self, sending: Sending, path: &str, number: usize) -> Option<Caller> {
        let mut caller = self.deployment.caller(0).ok()?;
        let (message, end) = sending.message(path, &format!("crowd-{number}"));
        let ends = number.is_multiple_of(CALLERS_PER_ENDED);
        let sent = caller.send_raw(&message).and_then(|()| match ends {
            true => caller.send_raw(&end),
            false => Ok(()),
        });
        // The gateway may refuse the request, and close its connection, while it is being sent.
        sent.is_ok().then_some(caller)
    }

    /// Waits until the gateway has read what its callers sent, so that its memory shows all of it.
    fn wait_read(&self) {
        let address = proc_address(self.deployment.callers_address(0));
        let until = Instant::now() + READ_LIMIT;
        while queued_bytes(&address) > 0 {
            assert!(Instant::now() < until, "{} bytes are unread", queued_bytes(&address));
            thread::sleep(READ_INTERVAL);
        }
    }

    /// Sends an ordinary request, and checks that it is served.
    fn assert_serves(&self) {
        let caller = self.deployment.caller(0).unwrap().request("POST", "/commit/x", "honest");
        let answer = caller.with_key(KEY).call("the body").unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "done"), "{answer:?}");
    }

    /// Checks the process, and that no request has run whose caller didn't end it.
    fn check(mut self) {
        assert!(!self.deployment.has_ended(0), "the gateway has ended");
        let process = self.deployment.id(0);
        let (peak, now) = (status_kb(process, "VmHWM:"), status_kb(process, "VmRSS:"));
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).unwrap().count();
        println!("peak {peak} kB, now {now} kB, {descriptors} descriptors");
        for request in self.endpoint.received() {
            let number = request.id.strip_prefix("crowd-").map(|it| it.parse::<usize>().unwrap());
            let ends = number.is_none_or(|it| it.is_multiple_of(CALLERS_PER_ENDED));
            assert!(ends, "{} ran without its end", request.id);
        }
        assert!(descriptors <= CROWD + OWN_DESCRIPTORS, "{descriptors} descriptors");
        assert!(peak <= MEMORY_MB * 1024, "{peak} kB");
        self.deployment.close();
    }
}

/// Returns an address as the kernel lists it.
fn proc_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("not an IPv4 address") };
    let [a, b, c, d] = address.ip().octets();
    format!("{d:02X}{c:02X}{b:02X}{a:02X}:{:04X}", address.port())
}

/// Returns the bytes on their way to a process that listens at the address.
fn queued_bytes(address: &str) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let queued = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let (sent, unread) = fields.get(4)?.split_once(':')?;
        let queue = match address {
            _ if fields[3] == LISTENING => return None,
            own if fields[1] == own => unread,
            own if fields[2] == own => sent,
            _ => return None,
        };
        u64::from_str_radix(queue, 16).ok()
    };
    table.lines().filter_map(queued).sum()
}

/// Returns a value of the process's status, in kilobytes.
fn status_kb(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against bodies and heads that take more memory than the settings allow: the process is killed
/// then, and all requests in progress are lost.
#[rstest]
#[case::large_chunks(LARGE_CHUNKS)]
#[case::small_chunks(SMALL_CHUNKS)]
#[case::tiny_chunks(TINY_CHUNKS)]
#[case::length(LENGTH)]
#[case::partial_head(PARTIAL_HEAD)]
fn bodies_that_stop_short_of_their_end_fit_the_memory(
    #[case] sending: Sending,
    #[values("/commit/x", "/chat/x")] path: &str,
) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    let open: Vec<_> = thread::scope(|scope| {
        let send = |number| {
            let play = &play;
            scope.spawn(move || play.send(sending, path, number))
        };
        let senders: Vec<_> = (0..CROWD).map(send).collect();
        senders.into_iter().map(|it| it.join().unwrap()).collect()
    });
    play.wait_read();
    play.assert_serves();
    open.into_iter().flatten().for_each(Caller::close);
    play.check();
}

/// Guards against limits that refuse a single body of the maximum size.
#[rstest]
#[case::large_chunks(64 * 1024, Duration::from_millis(5))]
#[case::small_chunks(1_024, Duration::ZERO)]
fn largest_body_in_chunks_is_served(#[case] chunk_bytes: usize, #[case] pause: Duration) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    let mut caller = play.deployment.caller(0).unwrap();
    caller = caller.request("POST", "/commit/x", "largest").with_key(KEY);
    let chunk = "x".repeat(chunk_bytes);
    caller.send_chunks(&vec![&*chunk; MAX_BODY_BYTES / chunk_bytes], pause).unwrap();
    let answer = caller.receive().unwrap().unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "done"), "{answer:?}");
    let received = play.endpoint.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].body.len(), MAX_BODY_BYTES);
    play.check();
}

/// Guards against callers that stop and keep others out, and against false promises to them: a request that was
/// given up hasn't run.
#[test]
fn stalled_body_gives_way_to_a_sound_one() {
    /// Longer than the time from which a body counts as stalled.
    const PAUSE: Duration = Duration::from_millis(2_500);
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    // Three of these bodies fit into the memory.
    let mut stalled: Vec<_> = (1..4)
        .map(|number| {
            let caller = play.send(LARGE_CHUNKS, "/commit/x", number).unwrap();
            play.wait_read();
            caller
        })
        .collect();
    thread::sleep(PAUSE);
    let mut sound = play.send(LENGTH, "/commit/x", CALLERS_PER_ENDED).unwrap();
    let answer = sound.receive().unwrap().unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "done"), "{answer:?}");
    let answer = stalled[0].receive().unwrap().unwrap();
    assert_eq!((answer.status, answer.closes, answer.is_signed), (408, true, false), "{answer:?}");
    assert!(stalled[0].is_closed());
    let metrics = play.deployment.metrics(0).unwrap();
    assert!(metrics.contains("requests_total{outcome=\"body_stalled\"} 1"), "{metrics}");
    let is_logged = || play.deployment.log(0).iter().any(|it| it.contains("memory is short"));
    assert!(wait_until(is_logged));
    play.check();
}

/// Guards against refusals that don't state when to return, or that leave the rest of a body on the connection.
#[test]
fn body_that_doesnt_fit_is_refused() {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let play = Play::start();
    let head = |number: usize| {
        let (message, _) = Sending::Length { body_bytes: MAX_BODY_BYTES }
            .message("/commit/x", &format!("crowd-{number}"));
        message[..1_000].to_vec()
    };
    let mut open: Vec<_> = (1..6)
        .map(|number| {
            let mut caller = play.deployment.caller(0).unwrap();
            caller.send_raw(&head(number)).unwrap();
            caller
        })
        .collect();
    // Three of them fit. On a busy machine, earlier ones may have stalled instead of the last.
    let is_refused = |caller: &mut Caller| {
        let answer = caller.receive().ok().flatten()?;
        assert!(answer.closes, "{answer:?}");
        let promises = answer.status == 503 && answer.retry_after_s.is_some_and(|it| it > 0.0);
        assert!(promises || answer.status == 408, "{answer:?}");
        Some(answer)
    };
    let refused = open.iter_mut().rev().filter_map(is_refused).take(2).count();
    assert_eq!(refused, 2);
    play.assert_serves();
    play.check();
}
