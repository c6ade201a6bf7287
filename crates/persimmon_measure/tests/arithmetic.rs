//! Tests of the calculations and parsers behind the figures.

use persimmon_measure::{
    Counters, Line, ProcessUsage, parse_counters, parse_cpu_ms, parse_cpu_ns, parse_load_average,
    parse_resident_kib, percentile,
};
use rstest::rstest;

#[rstest]
#[case::exact(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)], 2.0, 1.0, 0.0)]
#[case::flat(&[(4.0, 7.0), (16.0, 7.0), (48.0, 7.0)], 0.0, 7.0, 0.0)]
#[case::scattered(&[(0.0, 0.0), (1.0, 2.0), (2.0, 2.0), (3.0, 4.0)], 1.2, 0.2, 0.2_f64.sqrt())]
fn line_fits_points(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] residual: f64,
) {
    let line = Line::fit(points).unwrap();
    let found = [line.slope, line.intercept, line.residual, line.at(10.0)];
    let expected = [slope, intercept, residual, intercept + 10.0 * slope];
    for (found, expected) in found.iter().zip(expected) {
        assert!((found - expected).abs() < 1e-9, "{line:?}");
    }
}

#[rstest]
#[case::none(&[])]
#[case::one_size(&[(4.0, 1.0), (4.0, 2.0)])]
fn line_refuses_fewer_than_two_sizes(#[case] points: &[(f64, f64)]) {
    assert!(Line::fit(points).is_err());
}

#[rstest]
#[case::median_of_odd(&[5.0, -1.0, 3.0], 50.0, Some(3.0))]
#[case::median_of_even(&[4.0, 1.0, 2.0, 3.0], 50.0, Some(2.0))]
#[case::lowest(&[4.0, 1.0], 0.0, Some(1.0))]
#[case::highest(&[4.0, 1.0], 100.0, Some(4.0))]
#[case::none(&[], 50.0, None)]
fn percentile_is_nearest_rank(
    #[case] values: &[f64],
    #[case] percent: f64,
    #[case] expected: Option<f64>,
) {
    assert_eq!(percentile(values, percent), expected);
}

#[test]
fn percentile_of_one_to_hundred_equals_percent() {
    let values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(percentile(&values, 95.0), Some(95.0));
}

#[rstest]
#[case::schedstat(parse_cpu_ns("219958 7412417 2\n"), Some(219_958))]
#[case::schedstat_empty(parse_cpu_ns(""), None)]
#[case::stat(
    parse_cpu_ms("7 (a) b) S 1 7 7 0 -1 4194304 90 0 0 0 12 3 0 0 20 0 9 0 1 1 1\n"),
    Some(150)
)]
#[case::stat_cut(parse_cpu_ms("7 (a) S 1 7"), None)]
#[case::status(parse_resident_kib("Name:\tx\nVmHWM:\t 9 kB\nVmRSS:\t  4148 kB\n"), Some(4_148))]
#[case::status_of_kernel_thread(parse_resident_kib("Name:\tkthreadd\n"), None)]
fn kernel_text_is_parsed(#[case] found: Option<u64>, #[case] expected: Option<u64>) {
    assert_eq!(found, expected);
}

#[test]
fn load_average_is_first_number() {
    assert_eq!(parse_load_average("13.89 10.72 6.62 5/1234 4321\n"), Some(13.89));
    assert_eq!(parse_load_average("busy"), None);
}

#[test]
fn process_usage_of_own_process_is_positive() {
    let usage = ProcessUsage::of(std::process::id()).unwrap();
    assert!(usage.live_threads_cpu_ns > 0 && usage.resident_kib > 0, "{usage:?}");
}

#[test]
fn counters_are_summed_by_direction() {
    let text = "# HELP persimmon_control_bytes_total Control traffic, payload bytes.\n\
        persimmon_control_bytes_total{direction=\"sent\",kind=\"digest\"} 100\n\
        persimmon_control_bytes_total{direction=\"sent\",kind=\"records\"} 20\n\
        persimmon_control_bytes_total{direction=\"received\",kind=\"digest\"} 7\n\
        persimmon_platform_reads_total{kind=\"value\",result=\"new\"} 2\n\
        persimmon_platform_reads_total{kind=\"vms\",result=\"unchanged\"} 3\n\
        persimmon_records_generation 9\n";
    let expected = Counters {
        control_bytes_sent: Some(120.0),
        control_bytes_received: Some(7.0),
        platform_reads: 5.0,
    };
    assert_eq!(parse_counters(text), expected);
    assert_eq!(parse_counters("persimmon_records_generation 9\n"), Counters::default());
}
