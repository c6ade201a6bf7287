//! How changes of the records reach all gateways, over many schedules of changes and troubles.

mod fan_out_model;

use fan_out_model::{Broken, Cut, Event, Faults, Fleet, Setting, Trouble};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Sizes of a route with which the large record has 430 KB and 50 KB.
const LONG: usize = 214;
const SHORT: usize = 24;
const ROUTES: usize = 2_000;
const CHANGE_MS: u64 = 1_500;
const SERIES_MS: u64 = 14_000;

/// Gateways that get into trouble at a time relative to the change, in milliseconds.
type Troubles<'a> = (i64, &'a [(usize, Trouble)]);

/// Runs one change of the routes.
fn one_change(
    setting: Setting,
    routes: usize,
    (begin, troubles): Troubles<'_>,
    seed: u64,
) -> Fleet {
    let mut fleet = Fleet::new(setting, seed);
    for (number, trouble) in troubles {
        let at = CHANGE_MS.saturating_add_signed(begin);
        fleet.plan(at, Event::Begin(*number, *trouble));
    }
    fleet.plan(CHANGE_MS, Event::Routes(0..routes));
    fleet.run(CHANGE_MS - 50);
    fleet.reset_sent();
    fleet.run(CHANGE_MS + 2_500);
    fleet
}

const CALM: Troubles<'static> = (0, &[]);

/// Returns the setting for a change of this number of routes: of one among 2,000, or of nearly all, which
/// are added.
fn calm(gateways: usize, changed: usize) -> Setting {
    let routes = if changed == 1 { ROUTES } else { 8 };
    Setting { gateways, routes, route_bytes: LONG, ..Setting::default() }
}

/// Returns the times until the first and the last undisturbed gateway had the last change.
fn first_and_last(fleet: &Fleet) -> (u64, u64) {
    let times = fleet.times_ms();
    assert!(times.iter().all(Option::is_some), "{times:?}");
    let times = times.iter().flatten().copied();
    (times.clone().min().unwrap(), times.max().unwrap())
}

#[rstest]
#[case::hundred_one_route(103, 1)]
#[case::hundred_all_routes(103, ROUTES)]
#[case::hundreds_one_route(300, 1)]
#[case::hundreds_all_routes(300, ROUTES)]
fn calm_last_gateway_has_change_soon(#[case] gateways: usize, #[case] routes: usize) {
    let fleet = one_change(calm(gateways, routes), routes, CALM, 44);
    let (first, last) = first_and_last(&fleet);
    println!("{first} to {last} ms, {} of {} fetches failed", fleet.failed, fleet.fetches);
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
    assert!(last - first <= 1_000, "{first} to {last} ms");
    assert!(100 * fleet.failed <= fleet.fetches, "{} of {}", fleet.failed, fleet.fetches);
}

#[test]
fn busiest_gateway_sends_hardly_more_in_larger_fleet() {
    let sent = [30, 300].map(|it| one_change(calm(it, 1), 1, CALM, 44).busiest_sent());
    println!("{sent:?} bytes");
    assert!(2 * sent[1] < 3 * sent[0], "{sent:?} bytes");
    assert!(sent[1] < ROUTES * LONG / 20, "{sent:?} bytes");
}

#[rstest]
#[case::frozen(Trouble::Frozen)]
#[case::deaf(Trouble::Deaf)]
#[case::mute(Trouble::Mute)]
#[case::cut_off(Trouble::CutOff)]
#[case::slow(Trouble::Slow)]
#[case::killed(Trouble::Killed)]
fn bad_sources_delay_nobody_by_a_timeout(
    #[case] trouble: Trouble,
    #[values(1, ROUTES)] routes: usize,
) {
    for (seed, begin) in BEGINS.into_iter().enumerate() {
        let (calm_ms, last_ms) = calm_and_last(trouble, None, routes, (begin, seed as u64));
        println!("{trouble:?} {routes} {begin}: {calm_ms}, {last_ms:?} ms");
        let is_soon = last_ms.is_some_and(|it| it <= calm_ms + 500);
        assert!(is_soon, "{trouble:?}, {begin}, seed {seed}: {calm_ms}, {last_ms:?} ms");
    }
}

/// Times of a trouble relative to the change, in milliseconds: before it, and while it is passed on.
const BEGINS: [i64; 4] = [-20, 182, 230, 290];

/// Returns the time until the last gateway has a change, in calm and with bad sources: one gateway that
/// watches the store, and every seventh other one.
fn calm_and_last(
    trouble: Trouble,
    broken: Option<Broken>,
    routes: usize,
    (begin, seed): (i64, u64),
) -> (u64, Option<u64>) {
    let bad: Vec<_> = (0..50).step_by(7).map(|it| (it, trouble)).collect();
    let (_, calm_ms) = first_and_last(&one_change(calm(50, routes), routes, CALM, seed));
    let setting = Setting { broken, ..calm(50, routes) };
    let times = one_change(setting, routes, (begin, &bad), seed).times_ms();
    let last_ms = times.iter().copied().collect::<Option<Vec<_>>>();
    (calm_ms, last_ms.and_then(|it| it.into_iter().max()))
}

#[derive(Debug, Clone, Copy)]
struct Schedule {
    troubles: &'static [Trouble],
    faults: Faults,
    restores: bool,
}

const LOSSY: Faults = Faults { loss: 0.1, duplicates: 0.05, jitter_ms: 40 };
const SOUND: Faults = Faults { loss: 0.0, duplicates: 0.0, jitter_ms: 5 };

/// Runs overlapping series of changes, and troubles of at most a third of the gateways.
fn series(setting: Setting, schedule: Schedule, seed: u64) -> Fleet {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let gateways = setting.gateways;
    let mut fleet = Fleet::new(Setting { faults: schedule.faults, ..setting }, seed);
    let mut at = 500;
    while at < SERIES_MS {
        let small = rng.random_range(0..12);
        let from = rng.random_range(0..1_900);
        let event = match rng.random_range(0..20) {
            0 if schedule.restores => Event::Restore(rng.random_range(1..8)),
            0..8 => Event::Routes(from..from + rng.random_range(1..4)),
            8 => Event::Routes(from..from + 100),
            9..15 => Event::Small(small, Some(rng.random())),
            _ => Event::Small(small, None),
        };
        fleet.plan(at, event);
        at += if rng.random_bool(0.7) {
            rng.random_range(1..300)
        } else {
            rng.random_range(500..1_500)
        };
    }
    let mut free_at = vec![0; gateways];
    for at in (1_000..SERIES_MS).step_by(250) {
        let number = rng.random_range(0..gateways);
        let disturbed = free_at.iter().filter(|it| **it > at).count();
        if schedule.troubles.is_empty() || free_at[number] > at || disturbed >= gateways / 3 {
            continue;
        }
        let trouble = schedule.troubles[rng.random_range(0..schedule.troubles.len())];
        let end = at + rng.random_range(300..5_000);
        free_at[number] = end;
        fleet.plan(at, Event::Begin(number, trouble));
        fleet.plan(end, Event::End(number));
    }
    fleet.run(SERIES_MS + 8_000);
    fleet
}

/// Checks that every rule of the model was kept.
fn assert_kept(fleet: &Fleet, seed: u64) {
    let violations = &fleet.violations;
    let (count, first) = (violations.len(), &violations[..violations.len().min(12)]);
    assert!(violations.is_empty(), "seed {seed}: {count}, {first:#?}");
}

fn small_fleet() -> Setting {
    Setting { gateways: 20, routes: ROUTES, route_bytes: SHORT, ..Setting::default() }
}

#[rstest]
#[case::calm(&[], SOUND, false)]
#[case::losses(&[], LOSSY, false)]
#[case::restored(&[], SOUND, true)]
#[case::frozen(&[Trouble::Frozen], SOUND, false)]
#[case::cut_off(&[Trouble::CutOff, Trouble::Deaf, Trouble::Mute], SOUND, false)]
#[case::store_cut_off(&[Trouble::StoreCutOff], SOUND, false)]
#[case::slow(&[Trouble::Slow], SOUND, false)]
#[case::killed(&[Trouble::Killed], SOUND, false)]
#[case::mixed(&Trouble::ALL, LOSSY, false)]
#[case::mixed_restored(&Trouble::ALL, LOSSY, true)]
fn changes_reach_every_undisturbed_gateway(
    #[case] troubles: &'static [Trouble],
    #[case] faults: Faults,
    #[case] restores: bool,
) {
    // The last two bring late answers of the store.
    for seed in [0, 1, 101, 114] {
        let fleet = series(small_fleet(), Schedule { troubles, faults, restores }, seed);
        assert_kept(&fleet, seed);
    }
}

#[rstest]
#[case::readers_earlier(&[0, 1])]
#[case::half_earlier(&[0, 1, 4, 5, 7, 9, 12, 13, 17, 18])]
#[case::readers_new(&[3, 5, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16])]
fn changes_reach_gateways_of_both_builds(#[case] earlier: &[usize]) {
    for seed in 0..4 {
        let setting = Setting { earlier: earlier.to_vec(), ..small_fleet() };
        let schedule = Schedule { troubles: &[], faults: SOUND, restores: false };
        let fleet = series(setting, schedule, seed);
        assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    }
}

#[rstest]
#[case::gaps(Broken::IgnoresGaps, "in place of")]
#[case::repairs(Broken::NeverRepairs, "ms after")]
fn broken_rule_is_found(#[case] broken: Broken, #[case] violation: &str) {
    let setting = Setting { broken: Some(broken), ..small_fleet() };
    let schedule = Schedule { troubles: &Trouble::ALL, faults: LOSSY, restores: false };
    let found = (0..4).flat_map(|seed| series(setting.clone(), schedule, seed).violations);
    assert!(found.into_iter().any(|it| it.contains(violation)));
}

/// What is lost is repaired from peers. The store, which would hide that they send nothing, isn't read.
#[test]
fn losses_are_repaired_without_the_store() {
    let reads = |broken| {
        let schedule = Schedule { troubles: &[], faults: LOSSY, restores: false };
        let setting = Setting { broken, ..small_fleet() };
        (0..4).map(|seed| series(setting.clone(), schedule, seed).store_reads()).sum::<usize>()
    };
    let (sound, broken) = (reads(None), reads(Some(Broken::NeverFetches)));
    println!("{sound}, {broken} reads");
    assert!(broken > 0);
    assert_eq!(sound, 0);
}

#[test]
fn waiting_for_the_end_of_a_fetch_is_found() {
    let broken = Some(Broken::WaitsForFetch);
    let is_found = |(seed, begin): (usize, i64)| {
        let case = (begin, seed as u64);
        let (calm_ms, last_ms) = calm_and_last(Trouble::Frozen, broken, ROUTES, case);
        last_ms.is_none_or(|it| it > calm_ms + 500)
    };
    assert!(BEGINS.into_iter().enumerate().any(is_found));
}

/// Returns the gateways of a zone. Gateways are numbered zone by zone, in the order of their addresses.
fn zone(gateways: usize, zones: usize, number: usize) -> Vec<usize> {
    (0..gateways).filter(|it| it * zones / gateways == number).collect()
}

/// Returns a fleet of this size, with large routes.
fn fleet_of(gateways: usize) -> Setting {
    Setting { gateways, routes: ROUTES, route_bytes: LONG, ..Setting::default() }
}

/// Runs a large change and several small ones, with a cut that begins at a time relative to the first one, in
/// milliseconds.
fn cut_change(setting: Setting, cut: Option<(i64, Cut)>, seed: u64) -> Fleet {
    const LARGE_CHANGE_MS: u64 = 2_500;
    let mut fleet = Fleet::new(setting, seed);
    if let Some((begin, cut)) = cut {
        fleet.plan(LARGE_CHANGE_MS.saturating_add_signed(begin), Event::Cut(0, cut));
    }
    fleet.plan(LARGE_CHANGE_MS, Event::Routes(0..400));
    (0..8).for_each(|it| fleet.plan(LARGE_CHANGE_MS + 1_000, Event::Small(it, Some(7))));
    fleet.run(LARGE_CHANGE_MS + 4_500);
    fleet
}

/// Returns a cut from a zone to all others.
fn mute_zone(gateways: usize, zones: usize, number: usize) -> Cut {
    let from = zone(gateways, zones, number);
    let to = (0..gateways).filter(|it| !from.contains(it)).collect();
    Cut { from, to }
}

/// A zone whose packets get to no other zone hears of changes, and can't open a connection to any gateway
/// that has them. The others count it as silent, and send it no notices.
#[rstest]
#[case::three_zones(22, 3, &[-2_200, -200, -10, 100])]
#[case::five_zones(40, 5, &[-2_200, -200, -10, 100])]
#[case::hundred(103, 4, &[-2_200, -10, 100])]
#[case::hundreds(350, 5, &[-10])]
fn zone_that_nobody_hears_has_changes_in_time(
    #[case] gateways: usize,
    #[case] zones: usize,
    #[case] begins: &[i64],
) {
    for (seed, begin) in begins.iter().copied().enumerate() {
        let cut = mute_zone(gateways, zones, 1 + seed % (zones - 1));
        let fleet = cut_change(fleet_of(gateways), Some((begin, cut)), seed as u64);
        let (first, last) = first_and_last(&fleet);
        println!("{begin} ms: {first} to {last} ms, {} calls of the store", fleet.store_calls);
        assert!(fleet.violations.is_empty(), "{begin} ms: {:#?}", fleet.violations);
    }
}

/// In a rolling release, all others may still be of the earlier build, which sends no notices.
#[test]
fn zone_that_nobody_hears_has_changes_in_time_beside_the_earlier_build() {
    for seed in 0..3 {
        let cut = mute_zone(small_fleet().gateways, 3, 1);
        let setting = Setting { earlier: cut.to.clone(), ..small_fleet() };
        let fleet = cut_change(setting, Some((-10, cut)), seed);
        assert_kept(&fleet, seed);
    }
}

/// Without a way past its peers, a zone that nobody hears keeps what it has.
#[test]
fn gateways_that_never_read_the_store_are_found() {
    let setting = Setting { broken: Some(Broken::NeverReadsStore), ..fleet_of(22) };
    let fleet = cut_change(setting, Some((-10, mute_zone(22, 3, 1))), 0);
    assert!(fleet.violations.iter().any(|it| it.contains("ms after")));
    let setting = Setting { broken: Some(Broken::NeverReadsStore), ..small_fleet() };
    let found = (0..6).flat_map(|seed| cut_series(setting.clone(), 3, seed).violations);
    assert!(found.into_iter().any(|it| it.contains("ms after")));
}

/// Gateways of a cut zone read the store in turn, and those that are served by the first ones don't. A fleet
/// that isn't cut makes no call more than its watchers.
#[rstest]
#[case::tens(40, 5)]
#[case::hundred(103, 4)]
fn cut_zone_calls_the_store_once_a_gateway_for_two_changes(
    #[case] gateways: usize,
    #[case] zones: usize,
) {
    let calls = |broken, cut| {
        let setting = Setting { broken, ..fleet_of(gateways) };
        cut_change(setting, cut, 1).store_calls
    };
    let (without, calm) = (calls(Some(Broken::NeverReadsStore), None), calls(None, None));
    let cut = calls(None, Some((-10, mute_zone(gateways, zones, 1))));
    println!("{without}, {calm}, {cut} calls");
    assert_eq!(calm, without);
    assert!(cut - calm <= gateways / zones, "{calm}, {cut} calls");
}

/// Returns the gateways of one or two zones drawn at random, or some drawn from all.
fn draw_group(gateways: usize, zones: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    match rng.random_range(0..4) {
        0 => (0..gateways).filter(|_| rng.random_bool(0.4)).collect(),
        1 => (0..2).flat_map(|_| zone(gateways, zones, rng.random_range(0..zones))).collect(),
        _ => zone(gateways, zones, rng.random_range(0..zones)),
    }
}

/// Runs series of changes with cuts of one direction, or both, between groups drawn at random. The store stays
/// within reach of all.
fn cut_series(setting: Setting, zones: usize, seed: u64) -> Fleet {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let gateways = setting.gateways;
    let mut fleet = Fleet::new(Setting { faults: SOUND, ..setting }, seed);
    let mut at = 500;
    while at < SERIES_MS {
        let from = rng.random_range(0..1_500);
        let event = match rng.random_range(0..10) {
            0..3 => Event::Routes(from..from + 3),
            3 => Event::Routes(from..from + 400),
            4..8 => Event::Small(rng.random_range(0..12), Some(rng.random())),
            _ => Event::Small(rng.random_range(0..12), None),
        };
        fleet.plan(at, event);
        at += rng.random_range(1..1_500);
    }
    let mut at = 800;
    for number in 0.. {
        let end = at + rng.random_range(300..6_000);
        if end >= SERIES_MS {
            break;
        }
        let from = draw_group(gateways, zones, &mut rng);
        let to: Vec<_> = match rng.random_bool(0.5) {
            true => (0..gateways).filter(|it| !from.contains(it)).collect(),
            false => draw_group(gateways, zones, &mut rng),
        };
        if rng.random_bool(0.2) {
            fleet.plan(at, Event::Cut(2 * number + 1, Cut { from: to.clone(), to: from.clone() }));
            fleet.plan(end, Event::Heal(2 * number + 1));
        }
        fleet.plan(at, Event::Cut(2 * number, Cut { from, to }));
        fleet.plan(end, Event::Heal(2 * number));
        at += rng.random_range(200..3_000);
    }
    fleet.run(SERIES_MS + 3_000);
    fleet
}

#[rstest]
#[case::three_zones(3)]
#[case::five_zones(5)]
fn changes_reach_every_gateway_beside_cuts_of_single_directions(#[case] zones: usize) {
    for seed in 0..6 {
        let fleet = cut_series(small_fleet(), zones, seed);
        assert_kept(&fleet, seed);
    }
}
