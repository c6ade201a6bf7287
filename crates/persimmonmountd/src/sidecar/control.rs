//! The control thread of a sidecar, which owns its state and makes all decisions.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::load::{CreditDemand, CreditHome, CreditReply, EndpointHash, LoadReport};
use persimmon_decide::membership::{NodeId, OwnState, ReportedLoad, VmName, VmState};
use persimmon_decide::recovery::{Phase, RemainingWork};
use persimmon_records::{EndpointName, RecordIndex, Serves};

use super::calls::Calls;
use super::command::Command;
use super::core::Core;
use super::orders::Orders;
use super::runs::Runs;
use crate::common::{
    FleetChange, FleetCommand, Input, LoadStatus, Readiness, Status, next_input, rate_of,
};

/// Interval between checks for work that is due.
const TICK: Duration = Duration::from_millis(100);
/// Age at which an endpoint's latest load report no longer counts as recent, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 30_000;
/// Interval between sweeps of the ledger, in milliseconds.
const LEDGER_SWEEP_MS: u64 = 10_000;

/// The state of one sidecar.
pub(crate) struct Control {
    pub(crate) core: Core,
    pub(crate) runs: Runs,
    pub(crate) calls: Calls,
    pub(crate) orders: Orders,
    pub(crate) readiness: Readiness,
    pub(crate) zone: String,
    pub(crate) credits: CreditHome,
    /// Whether the process received a stop signal.
    pub(crate) is_stopping: bool,
}

impl Control {
    /// Handles commands until the process has drained after a stop signal.
    pub(crate) fn run(
        mut self,
        commands: &Receiver<Command>,
        fleet_commands: &Receiver<FleetCommand>,
    ) {
        let mut last_tick = self.core.now();
        let mut last_sweep = last_tick;
        loop {
            match next_input(commands, fleet_commands, TICK) {
                Input::Command(command) => self.handle(command),
                Input::Fleet(command) => self.handle_fleet(*command),
                Input::Closed => return,
                Input::Nothing => {}
            }
            let now = self.core.now();
            if now.ms_since(last_tick) >= TICK.as_millis() as u64 {
                last_tick = now;
                self.tick();
            }
            if now.ms_since(last_sweep) >= LEDGER_SWEEP_MS {
                last_sweep = now;
                self.core.ledger.sweep(now);
            }
            let is_done = self.core.leaving.phase(self.core.clocks()) == Phase::Done;
            // Without a stop signal, a drained sidecar keeps running so that callers can still
            // retrieve answers.
            if self.is_stopping && is_done {
                tracing::info!("sidecar: drain finished; stopping.");
                return;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Submit { req, frames, reply } => {
                self.observe();
                let admission = self.runs.submit(&mut self.core, req, frames);
                send(&reply, admission);
            }
            Command::Resume { position, frames, reply } => {
                let refused = self.runs.resume(&mut self.core, &position, frames).err();
                send(&reply, refused);
            }
            Command::Settle { request, reply } => {
                send(&reply, self.runs.settle(&mut self.core, &request));
            }
            Command::Cancel { request } => {
                self.runs.cancel(&mut self.core, &request);
            }
            Command::Acknowledge { key, next } => {
                self.runs.acknowledge(&mut self.core, key, next);
            }
            Command::Claim { req, reply } => {
                self.observe();
                send(&reply, self.calls.claim(&mut self.core, req));
            }
            Command::Call { call, reply } => {
                self.observe();
                self.calls.call(&mut self.core, &call, &reply);
            }
            Command::Credit { demand, reply } => send(&reply, self.grant(&demand)),
            Command::Stamp { reply } => send(&reply, self.core.ledger.stamp(self.core.now())),
            Command::Engine(event) => {
                self.orders.on_engine_event(&self.core, &event);
                self.runs.on_engine_event(&mut self.core, event);
            }
            Command::Service(event) => self.calls.on_service(&mut self.core, event),
            Command::Status { reply } => send(&reply, self.status()),
            Command::Drain => {
                self.is_stopping = true;
                self.core.leaving.signal(self.core.clocks());
            }
            Command::EngineIncarnation(incarnation) => {
                self.runs.on_engine_incarnation(incarnation);
                self.orders.on_engine_incarnation(&self.core, incarnation);
                self.advance_orders();
            }
            Command::Order(event) => {
                self.orders.on_event(&self.core, &event);
                self.advance_orders();
            }
        }
    }

    /// Grants credits of a workspace's limit.
    fn grant(&mut self, demand: &CreditDemand) -> CreditReply {
        let workspace = self.core.workspace(&demand.key.workspace);
        let per_second = workspace.map_or(0, |workspace| rate_of(workspace, demand.key.class));
        self.credits.grant(demand, per_second, self.reporting_share(), self.core.now())
    }

    /// Updates the shutdown state with the remaining work and the clocks. Called before each
    /// admission so that a pause of the process is detected first.
    fn observe(&mut self) {
        let work = RemainingWork {
            requests: self.runs.in_progress() + self.calls.in_progress(),
            unacknowledged: self.runs.subscriber_count(),
        };
        let clocks = self.core.clocks();
        self.core.leaving.observe(work, clocks);
    }

    fn tick(&mut self) {
        let state = self.own_state();
        self.core.fleet.tick(state);
        self.observe();
        self.runs.tick(&mut self.core);
        self.advance_orders();
        let is_serving = self.core.check_accepting().is_ok();
        self.readiness.set(is_serving);
        let load = self.runs.load();
        let gauge = &self.core.metrics.in_progress;
        gauge.with_label_values(&["running"]).set(i64::from(load.running));
        gauge.with_label_values(&["waiting"]).set(i64::from(load.waiting));
    }

    /// Advances the load of the engine's model. Orders are sent only while no requests are in
    /// progress.
    fn advance_orders(&mut self) {
        let is_idle = self.runs.in_progress() == 0;
        self.orders.tick(&self.core, is_idle);
        let load = self.orders.load_wait(&self.core);
        self.core.load_starts_in_ms = load.map(|load| load.starts_in_ms);
    }

    fn handle_fleet(&mut self, command: FleetCommand) {
        for change in self.core.fleet.handle(command) {
            match change {
                FleetChange::Adopted(records) => self.adopt(records),
                FleetChange::Confirmed { requested_at, generation } => {
                    self.core.leaving.confirm_records(requested_at, generation);
                }
                FleetChange::VmsChanged => self.on_vms_changed(),
                FleetChange::Loads(loads) => self.on_loads(&loads),
                FleetChange::Left(_) | FleetChange::Returned(_) => {}
            }
        }
    }

    fn adopt(&mut self, records: Arc<RecordIndex>) {
        let generation = records.version().generation;
        tracing::info!("sidecar: records of generation {generation} in force.");
        self.core.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        self.orders.apply_records(&self.core, &records);
        self.core.set_records(records);
        self.advance_orders();
        self.runs.apply_records(&self.core);
    }

    fn on_vms_changed(&mut self) {
        let vms = &self.core.fleet.membership().vms().vms;
        let own = vms.iter().find(|vm| vm.name.as_str() == self.core.name.as_str());
        if let Some(vm) = own {
            let clocks = self.core.clocks();
            self.core.leaving.set_listed(vm.state == VmState::Leaving, clocks);
        }
    }

    /// Passes the loads of other endpoints that serve the same model to admission.
    fn on_loads(&mut self, loads: &[ReportedLoad]) {
        let Some(own) = self.core.endpoint() else { return };
        let Serves::Model(model) = &own.serves else { return };
        let peers = self.core.records().endpoints_of_model(model);
        let reports: Vec<_> = peers
            .filter(|peer| peer.name != own.name)
            .filter_map(|peer| {
                let hash = EndpointHash::of(&peer.name);
                let reported = loads.iter().find(|reported| reported.endpoint == hash)?;
                let report =
                    LoadReport { work: reported.work, slots: peer.slots, ..LoadReport::default() };
                Some((hash, report, reported.measured_at))
            })
            .collect();
        for (hash, report, at) in reports {
            self.runs.observe(hash, report, at);
        }
    }

    /// Returns the share of the endpoints with the same model or service that have a recent load
    /// report. The sidecar's own endpoint counts as one of them.
    fn reporting_share(&self) -> f64 {
        let Some(own) = self.core.endpoint() else { return 0.0 };
        let now = self.core.now();
        let membership = self.core.fleet.membership();
        let is_reporting = |name: &EndpointName| {
            let reported = membership.load(NodeId::of(&VmName::new(name.as_str())));
            reported.is_some_and(|reported| now.ms_since(reported.measured_at) < MAX_LOAD_AGE_MS)
        };
        let endpoints = &self.core.records().set().endpoints;
        let peers = endpoints.iter().filter(|peer| peer.serves == own.serves);
        let (mut reporting, mut listed) = (0.0, 0.0);
        for peer in peers {
            listed += 1.0;
            if peer.name == own.name || is_reporting(&peer.name) {
                reporting += 1.0;
            }
        }
        if listed > 0.0 { reporting / listed } else { 0.0 }
    }

    fn own_state(&self) -> OwnState {
        OwnState {
            work: self.runs.load().work,
            leaving: self.core.leaving.cause().is_some(),
            ..OwnState::default()
        }
    }

    fn status(&self) -> Status {
        let load = self.runs.load();
        Status {
            role: "sidecar",
            name: self.core.name.to_string(),
            zone: self.zone.clone(),
            generation: self.core.fleet.generation().0,
            records_source: self.core.fleet.records_source(),
            leaving: self.core.leaving.cause().is_some(),
            load: LoadStatus {
                running: load.running,
                waiting: load.waiting,
                mean: self.runs.mean_per_slot(self.core.now()),
            },
            quarantined: self.core.fleet.quarantined(),
            outcomes: self.core.counts(),
            refused_records: self.core.fleet.records_error(),
            load_wait: self.orders.load_wait(&self.core),
        }
    }
}

fn send<T>(reply: &Sender<T>, message: T) {
    // The requester may have stopped waiting.
    let _gone = reply.try_send(message);
}
