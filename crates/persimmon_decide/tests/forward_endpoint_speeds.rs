//! Speeds that endpoints state, how they age, and what gateways tell each other of them.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{EndpointSpeeds, SpeedReport, StatedLoad};
use persimmon_decide::load::EndpointHash;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ENDPOINT: EndpointHash = EndpointHash(7);

fn load(percent: u32) -> StatedLoad {
    StatedLoad { running: 3, waiting: 0, slots: 64, percent: Some(percent) }
}

/// Plays VMs that redraw their state every `redraw_ms` on average, 15 % of them slow by 2.5, with a
/// statement about every 100 ms from each. Returns what is known at the end.
fn play_redrawn(redraw_ms: u64, end_ms: u64) -> EndpointSpeeds {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut speeds = EndpointSpeeds::new();
    let mut percents = [100; 30];
    for now in (0..end_ms).step_by(10) {
        for (number, percent) in percents.iter_mut().enumerate() {
            if rng.random_bool(10.0 / redraw_ms as f64) {
                *percent = if rng.random_bool(0.15) { 250 } else { 100 };
            }
            if rng.random_bool(0.1) {
                speeds.record_answer(EndpointHash(number as u64), &load(*percent), MonoMs(now));
            }
        }
    }
    speeds
}

/// An unreadable value must never become a speed.
#[rstest]
#[case::whole("12,3,64,250", Some((12, 3, 64, Some(250))))]
#[case::spaces(" 12 , 3 ,64, 250 ", Some((12, 3, 64, Some(250))))]
#[case::without_speed("12,3,64", Some((12, 3, 64, None)))]
#[case::empty("", None)]
#[case::too_few("12,3", None)]
#[case::too_many("12,3,64,250,1", None)]
#[case::empty_field("12,3,64,", None)]
#[case::negative("12,3,64,-5", None)]
#[case::fraction("12,3,64,1.5", None)]
#[case::huge("12,3,64,99999999999999999999", None)]
fn parse_takes_only_integers(
    #[case] value: &str,
    #[case] expected: Option<(u32, u32, u32, Option<u32>)>,
) {
    let read = StatedLoad::parse(value).map(|it| (it.running, it.waiting, it.slots, it.percent));
    assert_eq!(read, expected);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(23), ..ProptestConfig::default() })]

    #[test]
    fn parse_any_value_terminates(value in "\\PC{0,40}") {
        let _ = StatedLoad::parse(&value);
    }

    /// Gateways must stay able to compare endpoints, whatever some endpoints and peers state.
    #[test]
    fn slowdown_stays_within_bounds(
        stated in proptest::collection::vec((any::<u32>(), 0..20_000_u32, any::<bool>()), 1..60),
        later in 0..1_000_000_u64,
    ) {
        let mut speeds = EndpointSpeeds::new();
        let mut now = MonoMs(30_000);
        for (percent, age_ms, is_own) in stated {
            now = now.plus_ms(u64::from(age_ms) / 7);
            match is_own {
                true => speeds.record_answer(ENDPOINT, &load(percent), now),
                false => speeds.record_peer(&SpeedReport { endpoint: ENDPOINT, percent, age_ms }, now),
            }
        }
        let slowdown = speeds.slowdown(ENDPOINT, now.plus_ms(later));
        prop_assert!((0.25..=10.0).contains(&slowdown), "{slowdown}");
    }
}

#[test]
fn slowdown_unknown_endpoint_is_one() {
    let mut speeds = EndpointSpeeds::new();
    assert_eq!((speeds.slowdown(ENDPOINT, MonoMs(5)), speeds.lasting(ENDPOINT)), (1.0, None));
    let without_speed = StatedLoad { percent: None, ..load(0) };
    speeds.record_answer(ENDPOINT, &without_speed, MonoMs(5));
    assert!(speeds.is_empty());
}

/// A VM that was slow once would otherwise be avoided until it is heard again, which may be never.
#[test]
fn slowdown_of_one_statement_ages() {
    let mut speeds = EndpointSpeeds::new();
    speeds.record_answer(ENDPOINT, &load(250), MonoMs(1_000));
    let at = |ms: u64| speeds.slowdown(ENDPOINT, MonoMs(1_000 + ms));
    assert!((at(0) - 2.5).abs() < 1e-9);
    assert!(at(500) < at(100) && at(100) < 2.5, "{} {}", at(100), at(500));
    assert!((at(20_000) - 1.0).abs() < 0.01, "{}", at(20_000));
}

/// Otherwise values of VMs that change fast would be trusted for too long, and steady ones forgotten.
#[rstest]
#[case(200)]
#[case(600)]
#[case(1_500)]
fn lifetime_follows_changes(#[case] redraw_ms: u64) {
    let speeds = play_redrawn(redraw_ms, 60_000);
    let lifetime_ms = speeds.lifetime_ms();
    let expected = redraw_ms * 2 / 3..=redraw_ms * 3 / 2;
    assert!(expected.contains(&lifetime_ms), "{lifetime_ms} ms");
    // The mean of all values is 1.225.
    let lasting = (0..30).map(|it| speeds.lasting(EndpointHash(it)).unwrap());
    for lasting in lasting {
        assert!((1.0..1.35).contains(&lasting), "{lasting}");
    }
}

/// A gateway that hears no peer gets answers too seldom to see how fast they change. It must neither trust
/// them for seconds nor take them for worthless.
#[test]
fn lifetime_of_rare_values_is_bounded() {
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    let mut speeds = EndpointSpeeds::new();
    for now in (0..300_000).step_by(2_600) {
        for number in 0..30 {
            let percent = if rng.random_bool(0.15) { 250 } else { 100 };
            speeds.record_answer(EndpointHash(number), &load(percent), MonoMs(now));
        }
    }
    let lifetime_ms = speeds.lifetime_ms();
    assert!((250..=1_000).contains(&lifetime_ms), "{lifetime_ms} ms");
}

/// A slower model must count as such also when nothing was heard of its endpoint for a while.
#[test]
fn slowdown_of_steady_endpoint_stays() {
    let mut speeds = EndpointSpeeds::new();
    for now in (0..120_000).step_by(400) {
        speeds.record_answer(ENDPOINT, &load(130), MonoMs(now));
        speeds.record_answer(EndpointHash(8), &load(100), MonoMs(now));
    }
    let later = MonoMs(180_000);
    let slowdown = speeds.slowdown(ENDPOINT, later);
    assert!((1.25..=1.3).contains(&slowdown), "{slowdown}");
    assert!((speeds.slowdown(EndpointHash(8), later) - 1.0).abs() < 1e-9);
}

/// Digests arrive late and out of order: an old value must not replace a newer one.
#[test]
fn record_peer_keeps_the_newest() {
    let mut speeds = EndpointSpeeds::new();
    let report = |percent, age_ms| SpeedReport { endpoint: ENDPOINT, percent, age_ms };
    speeds.record_peer(&report(250, 100), MonoMs(1_000));
    speeds.record_peer(&report(100, 300), MonoMs(1_000));
    assert!(speeds.slowdown(ENDPOINT, MonoMs(1_000)) > 2.0);
    speeds.record_peer(&report(100, 20), MonoMs(1_000));
    assert!(speeds.slowdown(ENDPOINT, MonoMs(1_000)) < 1.1);
    speeds.record_peer(&report(1_000, 60_000), MonoMs(70_000));
    assert!(speeds.slowdown(ENDPOINT, MonoMs(70_000)) < 1.1);
}

/// Reports of peers' reports would never end, and a digest that is full must hold what matters.
#[test]
fn reports_own_newest_and_most_unusual_first() {
    let mut speeds = EndpointSpeeds::new();
    let now = MonoMs(5_000);
    for (number, percent, at) in [(1, 100, 4_900), (2, 250, 4_900), (3, 100, 4_990), (4, 250, 900)]
    {
        speeds.record_answer(EndpointHash(number), &load(percent), MonoMs(at));
    }
    speeds.record_answer(EndpointHash(5), &load(250), MonoMs(4_900));
    let by_peer = |endpoint| SpeedReport { endpoint, percent: 250, age_ms: 0 };
    speeds.record_peer(&by_peer(EndpointHash(5)), now);
    speeds.record_peer(&by_peer(EndpointHash(6)), now);
    let reported = |count| -> Vec<_> {
        speeds.reports(count, now).iter().map(|it| (it.endpoint.0, it.age_ms)).collect()
    };
    assert_eq!(reported(9), [(2, 100), (3, 10), (1, 100)]);
    assert_eq!(reported(1), [(2, 100)]);
}

/// Restarted endpoints have new hashes: the old ones must not be kept for good.
#[test]
fn retain_removes_unpublished() {
    let mut speeds = EndpointSpeeds::new();
    speeds.record_answer(ENDPOINT, &load(250), MonoMs(0));
    speeds.record_answer(EndpointHash(8), &load(250), MonoMs(0));
    speeds.retain(|it| it == ENDPOINT, MonoMs(60_000));
    assert_eq!(speeds.len(), 2);
    speeds.retain(|it| it == ENDPOINT, MonoMs(130_000));
    assert_eq!((speeds.len(), speeds.lasting(EndpointHash(8))), (1, None));
}
