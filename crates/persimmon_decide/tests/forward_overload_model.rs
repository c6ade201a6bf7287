//! Overload of a plain service behind a fleet of gateways whose counts of each other's requests are older
//! than a call takes.

mod forward_endpoints;
mod overload_model;

use overload_model::{Played, Rule, Scenario, play};
use rstest::rstest;

fn play_seeds(scenario: Scenario, rule: Rule) -> Played {
    let mut sum = Played::default();
    for seed in 0..3 {
        sum.add(&play(Scenario { seed, ..scenario }, rule));
    }
    let Scenario { gateways, burst, large, .. } = scenario;
    let Played { all, large: large_workspace, calm, .. } = sum;
    println!("{gateways} gateways, load {burst}, large workspace {large}, {rule:?}: {all}");
    println!("  large workspace {large_workspace}; before and after {calm}");
    sum
}

/// Guards against gateways that accept and refuse all at once by old counts, and against shares that
/// aren't divided. The last number is the gain in answers on time: in large fleets the overload is known
/// later.
#[rstest]
#[case::alone(1, 1.3)]
#[case::few(4, 1.3)]
#[case::many(26, 1.6)]
#[case::very_many(100, 1.4)]
#[case::designed_for(300, 1.15)]
fn overload_more_calls_are_on_time(#[case] gateways: usize, #[case] gain: f64) {
    let scenario = Scenario { gateways, ..Scenario::default() };
    let counts = play_seeds(scenario, Rule::Counts);
    let shares = play_seeds(scenario, Rule::OwnShare);
    assert!(shares.all.on_time_share() >= gain * counts.all.on_time_share());
    assert!(shares.all.late_share() < counts.all.late_share());
    // The load before and after the burst leaves free slots.
    assert!(shares.calm.worth() >= counts.calm.worth() - 0.02);
    for of_rank in shares.ranks {
        assert!(of_rank.on_time_share() >= shares.all.on_time_share() / 4.0);
    }
    if gateways > 1 {
        let undivided = play_seeds(scenario, Rule::Undivided);
        assert!(undivided.all.on_time_share() < counts.all.on_time_share());
    }
}

/// Guards against a queue that is too long for slow endpoints: about nine in ten served calls are on time.
#[rstest]
#[case::alone(1)]
#[case::few(4)]
#[case::many(26)]
fn overload_few_served_calls_are_late(#[case] gateways: usize) {
    let played = play_seeds(Scenario { gateways, ..Scenario::default() }, Rule::OwnShare);
    assert!(played.all.late_share() <= 0.15, "{:.3}", played.all.late_share());
}

/// Guards against a workspace that crowds out the others or starves.
#[rstest]
#[case::few(4)]
#[case::many(26)]
fn overload_by_one_workspace_others_are_served(#[case] gateways: usize) {
    let scenario = Scenario { gateways, burst: 1.0, large: 20.0, ..Scenario::default() };
    let counts = play_seeds(scenario, Rule::Counts);
    let shares = play_seeds(scenario, Rule::OwnShare);
    assert!(shares.all.on_time_share() > counts.all.on_time_share());
    assert!(shares.others().on_time_share() >= shares.large.on_time_share());
    assert!(shares.large.on_time_share() >= shares.all.on_time_share() / 4.0);
}

/// Guards against refusals at a load that the slots bear.
#[rstest]
#[case::few(4)]
#[case::many(26)]
#[case::very_many(100)]
fn usual_load_nothing_changes(#[case] gateways: usize) {
    let scenario = Scenario { gateways, burst: 1.0, large: 1.0, ..Scenario::default() };
    let counts = play_seeds(scenario, Rule::Counts);
    let shares = play_seeds(scenario, Rule::OwnShare);
    assert!(shares.all.on_time_share() >= counts.all.on_time_share() - 0.015);
}
