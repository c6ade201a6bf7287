//! Tests of parsing and plotting the figures of a sweep.

use persimmon_measure::{Spread, Sweep, SweepError, plot_growth};
use rstest::rstest;

const TEXT: &str = "\
3 days, 3 at a time
sweep-300 is played, after 48 s
day                  own/srv  score  worth served refused failed  weakest part
sweep-30              32/300   0.73  0.725  0.966   0.000  0.018  nines 0.58
sweep-300           304/3000   0.57  0.569  0.974   0.001  0.011  nines 0.64

middle / busiest or longest, by own machines
                                                          30             300  power  at 346
gateway: processor %                               7.2 / 9.6       8.4 / 9.6   -0.0  9.6
gateway: memory MB                                 4.0 / 5.5      4.6 / 10.1   0.26  10.5
gateway: kB a second                              77.9 / 124       124 / 750   0.78  838
";

#[test]
fn from_str_reads_each_size() {
    let sweep: Sweep = TEXT.parse().unwrap();
    let [small, large] = sweep.points.as_slice() else { panic!("{sweep:?}") };
    assert_eq!((small.machines, small.worth, small.served), (32.0, 0.725, 0.966));
    assert_eq!((large.machines, large.worth, large.served), (304.0, 0.569, 0.974));
    assert_eq!(small.processor, Spread { middle: 7.2, busiest: 9.6 });
    assert_eq!(large.memory, Spread { middle: 4.6, busiest: 10.1 });
    assert_eq!(large.traffic, Spread { middle: 124.0, busiest: 750.0 });
}

#[rstest]
#[case::no_days("", SweepError::Missing("sweep-"))]
#[case::no_figures("sweep-30 32/300 0.73 0.725 0.966", SweepError::Missing("gateway: processor %"))]
#[case::broken_day("sweep-30 32/300 0.73", SweepError::Line("sweep-30 32/300 0.73".to_owned()))]
fn from_str_rejects_incomplete_text(#[case] text: &str, #[case] expected: SweepError) {
    assert_eq!(text.parse::<Sweep>(), Err(expected));
}

#[test]
fn plot_growth_draws_each_panel() {
    let path = std::env::temp_dir().join(format!("growth-{}.svg", std::process::id()));
    plot_growth(&path, &TEXT.parse().unwrap()).unwrap();
    let drawn = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    for label in ["the day", "processor, % of a core", "memory, MB", "sent and received, kB/s"] {
        assert!(drawn.contains(label), "{label}");
    }
    // Two sizes, two lines and four panels.
    assert_eq!(drawn.matches("<circle").count(), 16);
}
