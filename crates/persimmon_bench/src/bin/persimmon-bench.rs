//! Prints the figures of the decisions.

use persimmon_bench::{Deployment, Scenario, Strategy, compare};

fn main() {
    for deployment in Deployment::all() {
        let scenario = Scenario::new(deployment);
        print!("{}", compare(&scenario, &Strategy::ALL[1..]));
    }
}
