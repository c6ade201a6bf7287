//! Tests of the bytes that a gateway has received and not read, which count towards the memory of its VM.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, REQUEST_ID, RouteSpec, wait_until,
};
use persimmon_standins::{Crowd, CrowdMessage, ProcessUsage, SocketBytes};
use rstest::rstest;

/// Memory that the gateway may use, in megabytes.
const MEMORY_MB: u64 = 48;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Number of callers in the crowd.
const CROWD: usize = 400;
/// Number of endpoints, each with eight slots.
const ENDPOINTS: usize = 50;
/// Bytes that a caller sends behind its request.
const BYTES_BEHIND: usize = 4 * 1024 * 1024;
/// Descriptors for everything but the crowd's connections and those to endpoints.
const OWN_DESCRIPTORS: usize = 64;
/// Timeout of the routes, in milliseconds, which is longer than a test.
const TIMEOUT_MS: u64 = 120_000;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const KEY: &str = "key-1";
const UNKNOWN_KEY: &str = "key-2";

/// One test at a time, since each measures a process under load.
static RUNNING: Mutex<()> = Mutex::new(());

/// What a caller sends before the bytes that the gateway doesn't read.
#[derive(Debug, Clone, Copy)]
enum Request {
    /// A whole request.
    Whole,
    /// A request that is refused, whose body the other bytes belong to.
    Refused,
}

fn messages(request: Request, path: &str) -> Vec<CrowdMessage> {
    let rest: Arc<[u8]> = vec![b'x'; BYTES_BEHIND].into();
    let (key, length) = match request {
        Request::Whole => (KEY, 0),
        Request::Refused => (UNKNOWN_KEY, BYTES_BEHIND),
    };
    let message = |number| {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer {key}\r\n\
             {REQUEST_ID}: crowd-{number}\r\nContent-Length: {length}\r\n\r\n"
        );
        CrowdMessage { head: head.into_bytes(), rest: rest.clone(), from: None }
    };
    (0..CROWD).map(message).collect()
}

/// Guards against memory that callers take without the process's doing: bytes that it hasn't read yet.
#[rstest]
fn unread_bytes_fit_the_memory(
    #[values(Request::Whole, Request::Refused)] request: Request,
    #[values("/commit/x", "/chat/x")] path: &str,
) {
    let _one = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut deployment = Deployment::new(env!("CARGO_BIN_EXE_persimmonmountd"), 1).unwrap();
    deployment.set_memory_mb(MEMORY_MB);
    let start = |number: usize| {
        let ip = deployment.endpoint_ip(number);
        EndpointStandin::start_at(&format!("endpoint-{number}"), ip, Behaviour::ok()).unwrap()
    };
    let endpoints: Vec<_> = (0..ENDPOINTS).map(start).collect();
    for endpoint in &endpoints {
        endpoint.hold_answers(true);
        deployment.publish_endpoint(endpoint, false);
    }
    let sound = EndpointStandin::start("sound", Behaviour::ok()).unwrap();
    deployment.publish_unrelated_endpoint(&sound);
    let routes = [
        RouteSpec::once("commit"),
        RouteSpec::stream("chat", false),
        RouteSpec::once("sound").with_only_unrelated_service(),
    ];
    let routes = routes.map(|it| it.with_timeout_ms(TIMEOUT_MS).with_target_ms(TIMEOUT_MS / 4));
    deployment.publish_routes(&routes, &[KEY]);
    deployment.start_all().unwrap();
    let is_known = |id: &str| deployment.knows(0, id);
    assert!(wait_until(|| is_known("sound") && endpoints.iter().all(|it| is_known(it.id()))));

    let address = deployment.callers_address(0);
    let process = deployment.id(0);
    let is_over = Arc::new(AtomicBool::new(false));
    let sampling = thread::spawn({
        let is_over = is_over.clone();
        move || {
            let mut peak = 0;
            while !is_over.load(Ordering::Relaxed) {
                let resident = ProcessUsage::of(process).unwrap().resident_bytes;
                peak = peak.max(resident + SocketBytes::at(address).unwrap().unread);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        }
    });
    let crowd = Crowd::send_without_reading(address, messages(request, path));
    let ordinary = deployment.caller(0).unwrap().request("POST", "/sound/x", "ordinary");
    let answer = ordinary.with_key(KEY).call("the body").unwrap();
    assert_eq!((answer.status, &*answer.body), (200, "done"), "{answer:?}");
    is_over.store(true, Ordering::Relaxed);
    let peak = sampling.join().unwrap();
    let usage = ProcessUsage::of(process).unwrap();
    println!("{peak} bytes with unread ones, {usage:?}, {} open", crowd.open());
    assert!(!deployment.has_ended(0), "the gateway has ended");
    assert!(peak <= MEMORY_MB * BYTES_PER_MB, "{peak} bytes, {usage:?}");
    assert!(usage.descriptors <= 2 * CROWD + OWN_DESCRIPTORS, "{usage:?}");
    crowd.close();
    deployment.close();
}
