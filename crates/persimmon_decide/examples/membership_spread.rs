//! Measures the time and traffic to spread changes through a fleet: `cargo run --release -p
//! persimmon_decide --example membership_spread -- today|two-years`.

#[path = "../tests/membership_fleet/mod.rs"]
mod membership_fleet;

use std::time::Instant;

use membership_fleet::{Fleet, Size, TODAY, name};
use persimmon_decide::membership::NodeId;
use persimmon_records::Generation;

const IN_TWO_YEARS: Size = Size { routers: 350, endpoints: 3_700, zones: 15, models: 35 };
const WARM_UP_MS: u64 = 30_000;
const WITHIN_MS: u64 = 60_000;

fn main() {
    let size = match std::env::args().nth(1).as_deref() {
        Some("two-years") => IN_TWO_YEARS,
        _ => TODAY,
    };
    let started = Instant::now();
    println!("{} nodes, seed 1, loss 1%, 100 ms a hop", size.nodes());
    let mut fleet = Fleet::new(size, 1);
    fleet.run_ms(WARM_UP_MS);
    report_bytes(&mut fleet);
    report_ages(&fleet);
    for urgent in [true, false] {
        fleet.urgent = urgent;
        let way = if urgent { "urgent and regular" } else { "regular only" };
        report_leaving(&mut fleet, way, if urgent { 0 } else { 1 });
        report_records(&mut fleet, way, if urgent { 2 } else { 3 });
    }
    println!("elapsed: {:.1} s", started.elapsed().as_secs_f64());
}

fn report_bytes(fleet: &mut Fleet) {
    fleet.sent_bytes.fill(0);
    fleet.run_ms(10_000);
    let mean = fleet.sent_bytes.iter().sum::<u64>() / fleet.sent_bytes.len() as u64 / 10;
    let most = fleet.sent_bytes.iter().max().unwrap() / 10;
    println!("bytes sent a second: mean {mean}, most {most}");
}

fn report_ages(fleet: &Fleet) {
    let Size { routers, models, .. } = fleet.size;
    let endpoints = routers..fleet.size.nodes();
    let ages = |observer: usize, model: Option<usize>| {
        let wanted = endpoints.clone().filter(move |index| {
            *index != observer && model.is_none_or(|model| index % models == model)
        });
        let mut ages: Vec<_> = wanted
            .map(|index| {
                let load = fleet.nodes[observer].load(NodeId::of(&name(index)));
                load.map_or(u64::MAX, |load| fleet.now.ms_since(load.measured_at))
            })
            .collect();
        ages.sort_unstable();
        ages
    };
    let show = |who: &str, ages: &[u64]| {
        let fresh = ages.iter().filter(|age| **age <= 5_000).count();
        let unknown = ages.iter().filter(|age| **age == u64::MAX).count();
        let (half, p95) = (ages[ages.len() / 2], ages[ages.len() * 95 / 100]);
        let total = ages.len();
        println!(
            "{who}: {total} loads, {fresh} within 5 s, {unknown} unknown, median {half} ms, p95 {p95} ms"
        );
    };
    show("a router, all endpoints", &ages(0, None));
    show("a sidecar, its model's peers", &ages(routers, Some(routers % models)));
}

fn report_leaving(fleet: &mut Fleet, way: &str, offset: usize) {
    let left = fleet.size.routers + offset;
    let routers = fleet.size.routers;
    fleet.leave(left);
    let most =
        fleet.run_until(WITHIN_MS, |fleet| fleet.informed_routers(left) * 100 >= routers * 99);
    let rest = fleet.run_until(WITHIN_MS, |fleet| fleet.informed_routers(left) == routers);
    println!("leaving known to 99% of routers after {most:?} ms, to all {rest:?} ms later ({way})");
}

fn report_records(fleet: &mut Fleet, way: &str, generation: u64) {
    let mut records = fleet.size.records();
    records.generation = Generation(generation);
    let version = records.version();
    (0..fleet.size.zones).for_each(|watcher| fleet.adopt(watcher, version));
    let all = fleet.run_until(WITHIN_MS, |fleet| {
        fleet.states.iter().all(|state| state.records == Some(version))
    });
    println!("records from one watcher of each zone known to all after {all:?} ms ({way})");
}
