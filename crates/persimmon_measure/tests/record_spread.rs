//! Tests of the figures of how changes reach all gateways.

use persimmon_measure::{
    ChangeFigures, ChangeSample, PerGateway, RecordSpreadFigures, RecordUsage, RoutesInForce,
    first_to_last_ms, plot_record_spread,
};
use rstest::rstest;

const HOUR_US: i64 = 3_600_000_000;

fn usage(bytes_sent: u64, bytes_received: u64, cpu_ns: u64) -> RecordUsage {
    RecordUsage { bytes_sent, bytes_received, cpu_ns, ..RecordUsage::default() }
}

/// Returns changes that took 20 ms and 1 second more than `extra_us` from the first to the last of two
/// gateways.
fn samples(extra_us: i64) -> Vec<ChangeSample> {
    let first = ChangeSample {
        in_force_us: vec![30_000, 10_000],
        usage: vec![usage(100, 30, 2_000_000), usage(0, 50, 4_000_000)],
    };
    let second = ChangeSample {
        in_force_us: vec![0, 1_000_000 + extra_us],
        usage: vec![
            usage(300, 0, 6_000_000),
            RecordUsage { fetches_answered: 3, fetches_failed: 1, ..usage(0, 40, 0) },
        ],
    };
    vec![first, second]
}

fn figures(gateways: u8, extra_us: i64) -> RecordSpreadFigures {
    RecordSpreadFigures {
        gateways,
        routes: 2_000,
        bulk: ChangeFigures::of(&samples(0)),
        single: ChangeFigures::of(&samples(extra_us)),
        quiet_cpu_ms: PerGateway { mean: 1.0, busiest: 2.0 },
        resident_kib: 4_096,
        load_average_before: Some(1.0),
        load_average: None,
    }
}

#[rstest]
#[case::in_force(
    "{\"timestamp\":\"2026-12-06T10:37:38.052001Z\",\"level\":\"INFO\",\
     \"message\":\"routes in force\",\"version\":44,\"revision\":400,\"target\":\"records\"}",
    Some(RoutesInForce { version: 44, time_of_day_us: 10 * HOUR_US + 2_258_052_001 })
)]
#[case::milliseconds(
    "{\"timestamp\":\"2026-12-06T00:00:01.25Z\",\"message\":\"routes in force\",\"version\":1}",
    Some(RoutesInForce { version: 1, time_of_day_us: 1_250_000 })
)]
#[case::other_message(
    "{\"timestamp\":\"2026-12-06T00:00:01.25Z\",\"message\":\"no routes in force\",\"version\":1}",
    None
)]
#[case::no_version(
    "{\"timestamp\":\"2026-12-06T00:00:01.25Z\",\"message\":\"routes in force\"}",
    None
)]
#[case::no_json("routes in force", None)]
fn parse_reads_lines_in_force(#[case] line: &str, #[case] expected: Option<RoutesInForce>) {
    assert_eq!(RoutesInForce::parse(line), expected);
}

#[test]
fn parse_sums_series_of_records() {
    let metrics = "\
# TYPE persimmon_gateway_record_bytes_total counter
persimmon_gateway_record_bytes_total{direction=\"received\"} 532
persimmon_gateway_record_bytes_total{direction=\"sent\"} 3192
persimmon_gateway_record_fetches_total{result=\"busy\"} 2
persimmon_gateway_record_fetches_total{result=\"failed\"} 1
persimmon_gateway_record_fetches_total{result=\"ok\"} 7
persimmon_gateway_record_answers_total{result=\"ok\"} 9
";
    let expected = RecordUsage {
        bytes_sent: 3_192,
        bytes_received: 532,
        fetches_answered: 7,
        fetches_refused: 2,
        fetches_failed: 1,
        cpu_ns: 0,
    };
    assert_eq!(RecordUsage::parse(metrics), expected);
}

#[rstest]
#[case::none(&[], 0.0)]
#[case::one(&[HOUR_US], 0.0)]
#[case::any_order(&[5_000, 2_000, 9_500], 7.5)]
#[case::over_midnight(&[24 * HOUR_US - 1_000, 2_000], 3.0)]
#[case::over_midnight_from_the_next_day(&[2_000, 24 * HOUR_US - 1_000], 3.0)]
fn first_to_last_ms_spans_times_of_day(#[case] times_us: &[i64], #[case] expected: f64) {
    assert_eq!(first_to_last_ms(times_us), expected);
}

#[test]
fn of_summarizes_changes() {
    let figures = ChangeFigures::of(&samples(0));
    assert_eq!((figures.changes, figures.spread_p50_ms, figures.spread_max_ms), (2, 20.0, 1_000.0));
    assert_eq!(figures.bytes_sent, PerGateway { mean: 100.0, busiest: 300.0 });
    assert_eq!(figures.bytes_received, PerGateway { mean: 30.0, busiest: 50.0 });
    assert_eq!(figures.cpu_ms, PerGateway { mean: 3.0, busiest: 6.0 });
    assert_eq!((figures.fetches_answered, figures.fetches_refused), (3, 0));
    assert_eq!(figures.fetches_failed, 1);
}

#[rstest]
#[case::at_the_target(0, true)]
#[case::above_the_target(1, false)]
fn is_within_target_follows_the_longest_change(#[case] extra_us: i64, #[case] expected: bool) {
    let figures = figures(10, extra_us);
    assert_eq!(figures.is_within_target(), expected);
    assert_eq!(figures.to_string().ends_with("ms: met"), expected);
}

#[test]
fn json_of_figures_is_read_back() {
    let printed = serde_json::to_string(&figures(10, 7)).unwrap();
    let read: RecordSpreadFigures = serde_json::from_str(&printed).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), printed);
    assert_eq!((read.gateways, read.single.spread_max_ms), (10, 1_000.007));
}

#[test]
fn plot_record_spread_draws_each_panel() {
    let path = std::env::temp_dir().join(format!("record-spread-{}.svg", std::process::id()));
    plot_record_spread(&path, &[figures(10, 0), figures(100, 0)]).unwrap();
    let drawn = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    for label in ["first gateway to last, ms", "bytes of the busiest gateway for one change"] {
        assert!(drawn.contains(label), "{label}");
    }
    // Two sizes, two curves and two panels.
    assert_eq!(drawn.matches("<circle").count(), 8);
}
