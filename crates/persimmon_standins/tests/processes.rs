//! Tests of stand-ins that run in their own processes.

use std::path::Path;
use std::process::Command;

use persimmon_standins::fleet::StandIn;
use persimmon_standins::{
    Direction, EngineCounts, EngineSwitch, PlatformCounts, PlatformSwitch, RelaySwitch,
};
use rstest::rstest;

const STAND_IN: &str = env!("CARGO_BIN_EXE_persimmon-standin");
const DEMO: &str = env!("CARGO_BIN_EXE_persimmon-demo");

fn start(args: &[&str]) -> StandIn {
    StandIn::start(args[0], Path::new(STAND_IN), args).unwrap()
}

#[test]
fn engine_process_behind_relay_process() {
    let engine = start(&["engine", "--model", "m", "--slots", "1"]);
    let target = engine.address().to_string();
    let relay = start(&["relay", "--target", &target]);
    let url = format!("http://{}/v1/health", relay.address());
    assert_eq!(minreq::get(&url).send().unwrap().status_code, 200);
    relay.switch(&RelaySwitch::SilenceNew { direction: Direction::FromTarget }).unwrap();
    assert!(minreq::get(&url).with_timeout(1).send().is_err());
    relay.switch(&RelaySwitch::Up).unwrap();
    engine.switch(&EngineSwitch::Crash).unwrap();
    assert_eq!(engine.counts::<EngineCounts>().unwrap().crashes, 1);
}

#[test]
fn platform_process_published_and_down() {
    let platform = start(&["platform", "--vm-lag-ms", "0"]);
    platform.put("/v1/values/records", "text").unwrap();
    let url = format!("http://{}/v1/values/records", platform.address());
    assert!(minreq::get(&url).send().unwrap().as_str().unwrap().contains("text"));
    platform.switch(&PlatformSwitch::Down).unwrap();
    assert!(minreq::get(&url).send().is_err());
    assert_eq!(platform.counts::<PlatformCounts>().unwrap().reads, 1);
}

#[rstest]
#[case::stand_in_unknown(STAND_IN, "unknown", 2)]
#[case::stand_in_flag(STAND_IN, "--nothing", 2)]
#[case::stand_in_help(STAND_IN, "--help", 0)]
#[case::stand_in_target_missing(STAND_IN, "relay", 1)]
#[case::demo_flag(DEMO, "--nothing", 2)]
#[case::demo_help(DEMO, "--help", 0)]
#[case::demo_version(DEMO, "--version", 0)]
fn exit_code(#[case] program: &str, #[case] arg: &str, #[case] code: i32) {
    let output = Command::new(program).arg(arg).output().unwrap();
    assert_eq!(output.status.code(), Some(code));
    let text = if code == 0 { output.stdout } else { output.stderr };
    assert!(!text.is_empty(), "{program} {arg} printed nothing");
}
