//! The simulated endpoints and routers of one run.

use persimmon_decide::MonoMs;
use persimmon_decide::load::{Directory, EndpointHash, LoadReport};
use persimmon_records::{Endpoint, EndpointBuilder, EndpointName, RecordSet, Serves};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

use crate::{Bound, Scenario, Sidecar, Turn};

/// Simulated sidecars with their endpoints, and the directories of the routers.
#[derive(Debug)]
pub struct Fleet {
    /// Sidecar of every endpoint, including endpoints that have left or crashed.
    pub sidecars: Vec<Sidecar>,
    /// Directory of each router.
    pub directories: Vec<Directory>,
    targets: Vec<Serves>,
    by_hash: BTreeMap<EndpointHash, usize>,
    by_model: Vec<Vec<usize>>,
    snapshots: VecDeque<Vec<LoadReport>>,
    records: RecordSet,
    bound: Bound,
}

impl Fleet {
    /// Creates the fleet with which a run starts.
    pub fn new(scenario: &Scenario, bound: Bound) -> Self {
        let mut records = RecordSet::empty();
        records.policy = scenario.deployment.policy.clone();
        let target = |model: usize| Serves::Model(format!("model-{model}").as_str().into());
        let mut fleet = Self {
            sidecars: Vec::new(),
            directories: (0..scenario.routers).map(|_| Directory::default()).collect(),
            targets: (0..scenario.models).map(target).collect(),
            by_hash: BTreeMap::new(),
            by_model: vec![Vec::new(); scenario.models],
            snapshots: VecDeque::new(),
            records,
            bound,
        };
        for number in 0..scenario.endpoints {
            fleet.add(number % scenario.models);
        }
        fleet.publish();
        fleet
    }

    /// Returns the placement target of a model.
    pub fn target(&self, model: usize) -> &Serves {
        &self.targets[model]
    }

    /// Returns the index of the endpoint with this hash.
    pub fn index_of(&self, endpoint: EndpointHash) -> Option<usize> {
        self.by_hash.get(&endpoint).copied()
    }

    /// Returns the indices of all endpoints of a model, including those that have left or crashed.
    pub fn endpoints_of_model(&self, model: usize) -> &[usize] {
        &self.by_model[model]
    }

    /// Adds an idle endpoint to the records. Routers use it after the next [`Fleet::publish`].
    pub fn add(&mut self, model: usize) {
        let number = self.sidecars.len();
        let name: EndpointName = format!("engine-{number}").as_str().into();
        let sidecar = Sidecar::new(name, model, &self.records.policy, self.bound);
        self.records.endpoints.push(self.record(&sidecar));
        self.by_hash.insert(sidecar.hash, number);
        self.by_model[model].push(number);
        self.sidecars.push(sidecar);
    }

    fn record(&self, sidecar: &Sidecar) -> Endpoint {
        EndpointBuilder::new(sidecar.name.clone(), ([127, 0, 0, 1], 1).into())
            .with_serves(self.targets[sidecar.model].clone())
            .with_slots(Scenario::SLOTS)
            .build()
    }

    /// Removes an endpoint from the records. Routers use it until the next [`Fleet::publish`].
    pub fn remove_from_records(&mut self, number: usize) {
        let name = &self.sidecars[number].name;
        self.records.endpoints.retain(|endpoint| endpoint.name != *name);
    }

    /// Applies the records to the directory of every router.
    pub fn publish(&mut self) {
        for directory in &mut self.directories {
            directory
                .apply_records(&self.records)
                .expect("the benchmark has fewer endpoints than a directory's maximum");
        }
    }

    /// Delivers a digest to every sidecar and router. Its loads are [`Scenario::digest_lag_s`] old.
    pub fn deliver_digest(
        &mut self,
        scenario: &Scenario,
        turns: &[Turn],
        now: u64,
        rng: &mut Pcg64Mcg,
    ) {
        let loads = self.sidecars.iter_mut().map(|sidecar| sidecar.load(turns, now)).collect();
        self.snapshots.push_back(loads);
        if self.snapshots.len() <= scenario.digest_lag_s as usize {
            return;
        }
        let Some(loads) = self.snapshots.pop_front() else { return };
        let at = now - scenario.digest_lag_s * 1_000;
        self.deliver_to_sidecars(&loads, at, now, rng);
        self.deliver_to_routers(&loads, at, rng);
    }

    fn deliver_to_sidecars(&mut self, loads: &[LoadReport], at: u64, now: u64, rng: &mut Pcg64Mcg) {
        for model in &self.by_model {
            let open: Vec<usize> = model
                .iter()
                .copied()
                .filter(|number| *number < loads.len() && self.sidecars[*number].is_open(now))
                .collect();
            for own in model {
                for peer in sample(&open, rng) {
                    if peer == *own {
                        continue;
                    }
                    let hash = self.sidecars[peer].hash;
                    let mean = self.sidecars[*own].admission.mean_mut();
                    mean.observe(hash, loads[peer], MonoMs(at));
                }
            }
        }
    }

    fn deliver_to_routers(&mut self, loads: &[LoadReport], at: u64, rng: &mut Pcg64Mcg) {
        let all: Vec<usize> = (0..loads.len()).collect();
        for directory in &mut self.directories {
            for number in sample(&all, rng) {
                let hash = self.sidecars[number].hash;
                directory.record_digest(hash, loads[number].work, MonoMs(at));
            }
        }
    }
}

/// Returns as many consecutive elements of `of` as a digest has entries, from a random start.
fn sample(of: &[usize], rng: &mut Pcg64Mcg) -> impl Iterator<Item = usize> {
    let start = if of.is_empty() { 0 } else { rng.random_range(0..of.len()) };
    let count = of.len().min(Scenario::DIGEST_ENTRIES);
    (0..count).map(move |step| of[(start + step) % of.len()])
}
