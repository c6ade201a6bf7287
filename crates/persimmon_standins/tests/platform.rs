//! Tests of the platform and service stand-ins over their HTTP interfaces, and of the relay.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use persimmon_records::{Vm, VmRole, VmState};
use persimmon_standins::{Direction, Platform, PlatformSwitch, Relay, Service, ServiceSwitch};
use rstest::rstest;
use serde_json::{Value, json};

const DEADLINE: Duration = Duration::from_secs(10);

fn read(platform: &Platform, path: &str) -> minreq::Response {
    let request = minreq::get(format!("http://{}{path}", platform.address()));
    request.with_timeout(DEADLINE.as_secs()).send().unwrap()
}

#[test]
fn watch_newer_value() {
    let platform = Platform::start().unwrap();
    platform.publish("records", "one");
    let url = format!("http://{}/v1/values/records?after=1&wait_ms=10000", platform.address());
    let watch = thread::spawn(move || minreq::get(url).send().unwrap().into_bytes());
    let deadline = Instant::now() + DEADLINE;
    while platform.counts().values == 0 {
        assert!(Instant::now() < deadline);
        thread::sleep(Duration::from_millis(2));
    }
    platform.publish("records", "two");
    let seen: Value = serde_json::from_slice(&watch.join().unwrap()).unwrap();
    assert_eq!(seen, json!({"version": 2, "value": "two"}));
    assert_eq!(platform.counts().reads, 1);
    platform.close();
}

#[rstest]
#[case::newest("/v1/values/records", 200, "two")]
#[case::nothing_newer("/v1/values/records?after=2&wait_ms=10", 204, "")]
#[case::unknown("/v1/values/other", 404, "")]
fn read_value(#[case] path: &str, #[case] status: u16, #[case] part: &str) {
    let platform = Platform::start().unwrap();
    platform.publish("records", "one");
    platform.publish("records", "two");
    let reply = read(&platform, path);
    assert_eq!(reply.status_code, status);
    assert!(reply.as_str().unwrap().contains(part));
    platform.close();
}

#[test]
fn switch_stale_and_down() {
    let platform = Platform::start().unwrap();
    platform.publish("records", "one");
    platform.publish("records", "two");
    platform.switch(PlatformSwitch::Stale { versions_behind: 1 }).unwrap();
    assert!(read(&platform, "/v1/values/records").as_str().unwrap().contains("one"));
    platform.switch(PlatformSwitch::Down).unwrap();
    let url = format!("http://{}/v1/values/records", platform.address());
    assert!(minreq::get(url).send().is_err());
    platform.switch(PlatformSwitch::Up).unwrap();
    assert!(read(&platform, "/v1/values/records").as_str().unwrap().contains("two"));
    platform.close();
}

#[test]
fn vms_lag() {
    let platform = Platform::builder().with_vm_lag(Duration::from_millis(200)).start().unwrap();
    let vm = Vm {
        name: "engine-1".into(),
        role: VmRole::Endpoint,
        peer: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".into(),
        state: VmState::Leaving,
    };
    let set_at = Instant::now();
    platform.set_vms(vec![vm]);
    let reply = read(&platform, "/v1/vms?after=0&wait_ms=10000");
    assert!(set_at.elapsed() >= Duration::from_millis(200));
    assert!(reply.as_str().unwrap().contains("leaving"));
    platform.close();
}

#[test]
fn weights_over_rate() {
    let platform = Platform::builder().with_weights_per_second(0).start().unwrap();
    let reply = read(&platform, "/v1/weights/m");
    assert_eq!((reply.status_code, reply.header("Retry-After")), (429, Some("1")));
    assert_eq!(platform.counts().weights_refused, 1);
    platform.close();
}

#[test]
fn service_counts_runs() {
    let service = Service::start().unwrap();
    let url = format!("http://{}/v1/calls", service.address());
    let call = || minreq::post(&url).with_body(r#"{"key":"k","operation":"book","body":{}}"#);
    let first = call().send().unwrap();
    assert_eq!(first.as_str().unwrap(), r#"{"confirmation":"confirmed-k-1","runs":1}"#);
    service.switch(ServiceSwitch::Fail);
    assert_eq!(call().send().unwrap().status_code, 500);
    assert_eq!(service.counts().runs["k"], 1);
    service.close();
}

#[test]
fn relay_silences_open_connections_only() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(target.local_addr().unwrap()).unwrap();
    let connect = || {
        let client = TcpStream::connect(relay.address()).unwrap();
        client.set_read_timeout(Some(DEADLINE)).unwrap();
        (client, target.accept().unwrap().0)
    };
    let (mut client, mut served) = connect();
    let mut buf = [0; 1];
    served.write_all(b"a").unwrap();
    client.read_exact(&mut buf).unwrap();
    relay.silence_open(Direction::FromTarget);
    served.write_all(b"b").unwrap();
    client.write_all(b"c").unwrap();
    served.read_exact(&mut buf).unwrap();
    let (mut second, mut served_second) = connect();
    served_second.write_all(b"d").unwrap();
    second.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"d");
    client.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(client.read_exact(&mut buf).is_err());
    relay.cut();
    assert_eq!(second.read(&mut buf).unwrap_or(0), 0);
    relay.close();
}
