//! Watching: few processes read the platform, standbys take over, and the total rate of reads
//! stays within the platform's limit.

use persimmon_decide::MonoMs;
use persimmon_decide::config::{PlatformRead, Watch, WatchSettings, watch_rank};
use persimmon_decide::membership::{Vm, VmRole, VmState};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const PLATFORM_READS_PER_S: u64 = 2_000;
const ZONES: usize = 15;
const PER_ZONE: usize = 270;
const TICK_MS: u64 = 100;
/// Milliseconds after which a report of a contact has reached every process, longer than digests
/// take in a fleet of this size.
const SPREAD_MS: u64 = 10_000;

fn vms() -> Vec<Vm> {
    let vm = |zone: usize, number: usize| Vm {
        name: format!("vm-{zone}-{number}").as_str().into(),
        role: VmRole::Endpoint,
        peer: "127.0.0.1:7000".parse().unwrap(),
        zone: format!("zone-{zone}").as_str().into(),
        state: VmState::Live,
    };
    (0..3).flat_map(|zone| (0..20).map(move |number| vm(zone, number))).collect()
}

#[test]
fn watch_rank_is_agreed_and_skips_leaving() {
    let mut vms = vms();
    let rank = |vms: &[Vm], index: usize| watch_rank(vms, &vms[index].name).unwrap();
    let mut ranks: Vec<_> = (0..20).map(|index| rank(&vms, index)).collect();
    let first = ranks.iter().position(|rank| *rank == 0).unwrap();
    let second = ranks.iter().position(|rank| *rank == 1).unwrap();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..20).collect::<Vec<_>>());
    vms[first].state = VmState::Leaving;
    assert_eq!(rank(&vms, second), 0);
    assert_eq!(watch_rank(&vms, &"unlisted".into()), None);
}

/// A fleet whose reads the test answers. It reports every contact with the platform to all
/// processes after [`SPREAD_MS`].
struct Fleet {
    rng: Pcg64,
    watches: Vec<Watch>,
    in_flight: Vec<Option<(MonoMs, PlatformRead)>>,
    contacts: Vec<MonoMs>,
    most_reads_per_s: u64,
}

impl Fleet {
    fn new() -> Self {
        let watches = (0..ZONES * PER_ZONE).map(|index| {
            let mut watch = Watch::new(WatchSettings::default(), MonoMs(0));
            watch.set_rank(Some(index % PER_ZONE));
            watch
        });
        Self {
            rng: Pcg64::seed_from_u64(5),
            watches: watches.collect(),
            in_flight: vec![None; ZONES * PER_ZONE],
            contacts: Vec::new(),
            most_reads_per_s: 0,
        }
    }

    /// Runs the fleet without the processes for which `is_dead` returns true.
    fn run(&mut self, seconds: std::ops::Range<u64>, is_up: bool, is_dead: impl Fn(usize) -> bool) {
        for second in seconds {
            let before = self.reads();
            for tick in 0..1_000 / TICK_MS {
                self.tick(MonoMs(second * 1_000 + tick * TICK_MS), is_up, &is_dead);
            }
            self.most_reads_per_s = self.most_reads_per_s.max(self.reads() - before);
        }
    }

    fn tick(&mut self, now: MonoMs, is_up: bool, is_dead: &impl Fn(usize) -> bool) {
        let latest = self.contacts.iter().rev().find(|at| now.ms_since(**at) >= SPREAD_MS).copied();
        for index in (0..self.watches.len()).filter(|index| !is_dead(*index)) {
            let watch = &mut self.watches[index];
            if let Some(latest) = latest {
                watch.note_contact(now.ms_since(latest), now);
            }
            match self.in_flight[index] {
                Some(_) if !is_up => {
                    watch.failed(now, self.rng.random());
                    self.in_flight[index] = None;
                }
                Some((at, read)) if now.ms_since(at) >= read.wait_ms => {
                    watch.answered(now);
                    self.contacts.push(now);
                    self.in_flight[index] = None;
                }
                Some(_) => {}
                None => {
                    let read = watch.next_read(now, self.rng.random());
                    self.in_flight[index] = read.map(|read| (now, read));
                }
            }
        }
    }

    fn reads(&self) -> u64 {
        self.watches.iter().map(Watch::reads).sum()
    }

    fn oldest_contact_ms(&self, now: MonoMs) -> u64 {
        self.watches.iter().map(|watch| watch.contact_age_ms(now)).max().unwrap()
    }
}

#[test]
fn reads_stay_inside_rate_through_outage() {
    let mut fleet = Fleet::new();
    fleet.run(0..60, true, |_| false);
    let steady = fleet.reads();
    assert!(steady <= 60 * 30, "{steady} reads in 60 s by 30 watchers");
    fleet.run(60..360, false, |_| false);
    fleet.run(360..420, true, |_| false);
    let most = fleet.most_reads_per_s;
    println!("steady {} reads/s, most {most} reads/s", steady / 60);
    assert!(most <= PLATFORM_READS_PER_S, "{most} reads/s");
    let age_ms = fleet.oldest_contact_ms(MonoMs(420_000));
    assert!(age_ms <= SPREAD_MS + 2 * WatchSettings::default().wait_ms, "{age_ms} ms");
}

#[test]
fn standbys_take_over_from_silent_watchers() {
    let settings = WatchSettings::default();
    let mut fleet = Fleet::new();
    fleet.run(0..60, true, |_| false);
    let watches = |index: usize| index % PER_ZONE < settings.watchers_per_zone;
    fleet.run(60..120, true, watches);
    let alive = (0..fleet.watches.len()).filter(|index| !watches(*index));
    let now = MonoMs(120_000);
    let oldest = alive.map(|index| fleet.watches[index].contact_age_ms(now)).max().unwrap();
    assert!(oldest <= SPREAD_MS + 2 * settings.wait_ms, "{oldest} ms");
    assert!(fleet.most_reads_per_s <= PLATFORM_READS_PER_S, "{} reads/s", fleet.most_reads_per_s);
}

#[test]
fn unranked_process_reads_after_long_silence() {
    let settings = WatchSettings::default();
    let mut watch = Watch::new(settings, MonoMs(0));
    let deadline_ms = 2 * settings.silence_ms + 2 * settings.idle_interval_ms;
    let first = (0..=deadline_ms).find(|ms| watch.next_read(MonoMs(*ms), u64::MAX / 2).is_some());
    let first = first.expect("a read before the deadline");
    assert!(first > 2 * settings.silence_ms);
    watch.answered(MonoMs(first));
    assert_eq!(watch.next_read(MonoMs(first + settings.silence_ms), 0), None);
}
