//! Start-up: the requests of a new process, and when it is ready.

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::config::{NotReady, Startup, StartupSettings, StartupStep};
use persimmon_decide::membership::VmName;
use persimmon_records::{Generation, RecordSet, SetVersion};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const TICK_MS: u64 = 50;
const DEADLINE_MS: u64 = 60_000;

fn version(generation: u64) -> SetVersion {
    RecordSet { generation: Generation(generation), ..RecordSet::empty() }.version()
}

/// The generations that the platform and the peers return; `None` if the platform is down.
#[derive(Debug, Clone, Default)]
struct World {
    platform: Option<u64>,
    peers: Vec<Peer>,
    seed: u64,
}

#[derive(Debug, Clone, Copy)]
enum Peer {
    Silent,
    Knows(Option<u64>),
}

#[derive(Debug, PartialEq, Eq)]
struct Ready {
    at_ms: u64,
    generation: u64,
}

impl World {
    fn peer(&self, name: &VmName) -> Peer {
        self.peers[name.as_str().parse::<usize>().unwrap()]
    }

    fn run(&self) -> Result<Ready, NotReady> {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let mut startup = Startup::new(StartupSettings::default(), MonoMs(0), rng.random());
        startup.add_peers((0..self.peers.len()).map(|peer| VmName::new(peer.to_string())));
        let mut in_force = None;
        for at_ms in (0..DEADLINE_MS).step_by(TICK_MS as usize) {
            let now = MonoMs(at_ms);
            while let Some(step) = startup.next_step(now, rng.random()) {
                let random = rng.random();
                self.answer(step, &mut startup, (now, random), &mut in_force);
            }
            if startup.check_ready(now).is_ok() {
                return Ok(Ready { at_ms, generation: in_force.expect("ready without records") });
            }
        }
        Err(startup.check_ready(MonoMs(DEADLINE_MS)).unwrap_err())
    }

    fn answer(
        &self,
        step: StartupStep,
        startup: &mut Startup,
        (now, random): (MonoMs, u64),
        in_force: &mut Option<u64>,
    ) {
        let mut adopt = |startup: &mut Startup, generation: u64| {
            *in_force = (*in_force).max(Some(generation));
            startup.adopted(version(generation));
        };
        match step {
            StartupStep::AskPlatform => match self.platform {
                Some(generation) => {
                    adopt(startup, generation);
                    startup.platform_answered();
                }
                None => startup.platform_failed(now, random),
            },
            StartupStep::AskPeer(name) => match self.peer(&name) {
                Peer::Silent => {}
                Peer::Knows(generation) => startup.peer_answered(&name, generation.map(version)),
            },
            StartupStep::Fetch { version, .. } => adopt(startup, version.generation.0),
        }
    }
}

#[rstest]
#[case::first_process(Some(1), vec![], Ok(1))]
#[case::platform_stale(Some(1), vec![Peer::Knows(Some(2)); 3], Ok(2))]
#[case::peers_behind(Some(3), vec![Peer::Knows(Some(2)); 3], Ok(3))]
#[case::platform_down(None, vec![Peer::Knows(Some(2)), Peer::Silent], Ok(2))]
#[case::peers_start_too(Some(1), vec![Peer::Knows(None); 3], Ok(1))]
#[case::peers_silent(Some(1), vec![Peer::Silent; 3], Ok(1))]
#[case::nobody_answers(None, vec![Peer::Silent; 3], Err(NotReady::NoRecords))]
#[case::no_peer_has_records(None, vec![Peer::Knows(None); 3], Err(NotReady::NoRecords))]
fn startup_adopts_highest_version(
    #[case] platform: Option<u64>,
    #[case] peers: Vec<Peer>,
    #[case] expected: Result<u64, NotReady>,
) {
    let world = World { platform, peers, seed: 7 };
    assert_eq!(world.run().map(|ready| ready.generation), expected);
}

#[test]
fn startup_waits_for_silent_peers() {
    let world = World { platform: Some(1), peers: vec![Peer::Silent; 3], seed: 7 };
    assert!(world.run().unwrap().at_ms >= StartupSettings::default().no_peer_timeout_ms);
}

#[test]
fn add_peers_after_platform_answer_asks_new_peers() {
    let mut startup = Startup::new(StartupSettings::default(), MonoMs(0), 0);
    assert_eq!(startup.next_step(MonoMs(0), 0), Some(StartupStep::AskPlatform));
    startup.adopted(version(1));
    startup.platform_answered();
    assert_eq!(startup.check_ready(MonoMs(0)), Err(NotReady::PeersPending));
    startup.add_peers(["a".into()]);
    assert_eq!(startup.next_step(MonoMs(100), 0), Some(StartupStep::AskPeer("a".into())));
    startup.peer_answered(&"a".into(), Some(version(2)));
    assert_eq!(startup.check_ready(MonoMs(100)), Err(NotReady::Fetching));
    startup.adopted(version(2));
    assert_eq!(startup.check_ready(MonoMs(100)), Ok(()));
}

#[test]
fn failed_fetch_is_retried_at_another_peer() {
    let mut startup = Startup::new(StartupSettings::default(), MonoMs(0), 0);
    let names = ["a", "b"].map(VmName::from);
    startup.add_peers(names.clone());
    startup.platform_failed(MonoMs(0), u64::MAX);
    names.iter().for_each(|name| startup.peer_answered(name, Some(version(2))));
    let fetch = |startup: &mut Startup| match startup.next_step(MonoMs(0), 0) {
        Some(StartupStep::Fetch { from, .. }) => from,
        other => panic!("{other:?}"),
    };
    let first = fetch(&mut startup);
    startup.peer_failed(&first);
    assert_ne!(fetch(&mut startup), first);
    assert_eq!(startup.check_ready(MonoMs(0)), Err(NotReady::NoRecords));
    startup.adopted(version(1));
    assert_eq!(startup.check_ready(MonoMs(0)), Err(NotReady::Fetching));
    startup.refused(version(2));
    assert_eq!(startup.check_ready(MonoMs(0)), Ok(()));
}

/// The 270 processes of a zone start in the same millisecond. Each reads the records and the VM
/// list, which counts as two reads.
#[test]
fn zone_restart_stays_inside_platform_rate() {
    const PLATFORM_READS_PER_S: u64 = 2_000;
    let mut rng = Pcg64::seed_from_u64(5);
    let mut reads: BTreeMap<u64, u64> = BTreeMap::new();
    for _ in 0..270 {
        let mut startup = Startup::new(StartupSettings::default(), MonoMs(0), rng.random());
        for now_ms in (0..60_000).step_by(10) {
            if startup.next_step(MonoMs(now_ms), rng.random()) == Some(StartupStep::AskPlatform) {
                *reads.entry(now_ms / 100).or_default() += 2;
                startup.platform_failed(MonoMs(now_ms), rng.random());
            }
        }
    }
    let most = reads.into_values().max().unwrap();
    assert!(most <= PLATFORM_READS_PER_S / 10, "{most} reads in 100 ms");
}

fn peer() -> impl Strategy<Value = Peer> {
    prop_oneof![Just(Peer::Silent), prop::option::of(1..9_u64).prop_map(Peer::Knows),]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(5), cases: 500, ..Config::default() })]

    #[test]
    fn startup_adopts_highest_version_of_its_peers(
        platform in prop::option::of(1..9_u64),
        peers in prop::collection::vec(peer(), 0..8),
        seed in any::<u64>(),
    ) {
        let known = |peer: &Peer| match peer {
            Peer::Knows(generation) => *generation,
            Peer::Silent => None,
        };
        let highest = peers.iter().filter_map(known).max().max(platform);
        let answering = peers.iter().filter(|peer| matches!(peer, Peer::Knows(_))).count();
        match (World { platform, peers: peers.clone(), seed }).run() {
            Ok(ready) => {
                prop_assert!(Some(ready.generation) >= platform);
                let asks_all = answering <= StartupSettings::default().required_peers;
                prop_assert!(!asks_all || Some(ready.generation) == highest, "{ready:?}");
            }
            Err(_) => {
                let reachable = platform.is_some() || answering <= 3;
                prop_assert!(!reachable || highest.is_none(), "never ready though {highest:?}");
            }
        }
    }
}
