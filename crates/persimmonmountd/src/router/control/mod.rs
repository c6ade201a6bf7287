//! The control thread of a router: decides on placement, retry budgets and credits, and tracks the
//! state of endpoints.

mod charges;
mod plan;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use flume::{Receiver, Sender};
use persimmon_decide::MonoMs;
use persimmon_decide::load::{Candidate, CreditPool, Directory, EndpointHash, Placement, TokenKey};
use persimmon_decide::membership::{NodeId, OwnState, VmState};
use persimmon_decide::outcome::Outcome;
use persimmon_decide::recovery::RetryBudget;
use persimmon_records::{Endpoint, EndpointName, RecordIndex, RecordSet};

use self::charges::WaitingForCredit;
use super::command::{Command, PlannedEndpoint, RequestKind};
use crate::common::{
    Clock, FleetChange, FleetCommand, FleetState, Input, LoadStatus, Metrics, OutcomeCounts,
    Readiness, Status, next_input,
};

/// Interval for checking time-dependent state.
const TICK: Duration = Duration::from_millis(100);
/// Time before the end of an endpoint's loan at which routers stop sending it requests, in
/// milliseconds.
const LOAN_END_MARGIN_MS: u64 = 1_000;
/// Time that a draining router waits after its last request, so that its sockets can flush the end
/// of the answer, in milliseconds.
const FLUSH_MS: u64 = 500;
/// Time for which an unreachable endpoint is tried only after all others, in milliseconds.
const SUSPECT_MS: u64 = 5_000;

/// Counter of requests in progress on the traffic threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct InProgress(Arc<AtomicUsize>);

/// Guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<AtomicUsize>);

impl InProgress {
    /// Counts one more request.
    pub(crate) fn enter(&self) -> InProgressGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(self.0.clone())
    }

    /// Returns the number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The state of a router's control thread.
pub(crate) struct Control {
    name: EndpointName,
    zone: String,
    clock: Clock,
    metrics: Metrics,
    readiness: Readiness,
    in_progress: InProgress,
    token_key: TokenKey,
    records: Arc<RecordIndex>,
    fleet: FleetState,
    last_tick: MonoMs,
    by_hash: HashMap<EndpointHash, Endpoint>,
    directory: Directory,
    placement: Placement,
    budget: RetryBudget,
    pool: CreditPool,
    waiting: Vec<WaitingForCredit>,
    counts: OutcomeCounts,
    draining_since: Option<MonoMs>,
    /// The last time at which a request was in progress while draining.
    last_busy_at: MonoMs,
    drain_ms: u64,
}

/// The parts from which a [`Control`] is created.
pub(crate) struct ControlParts {
    pub(crate) name: EndpointName,
    pub(crate) zone: String,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) readiness: Readiness,
    pub(crate) in_progress: InProgress,
    pub(crate) token_key: TokenKey,
    pub(crate) drain_ms: u64,
    pub(crate) fleet: FleetState,
}

impl Control {
    /// Creates the state of a router without records.
    pub(crate) fn new(parts: ControlParts) -> Self {
        let records = Arc::new(RecordIndex::new(RecordSet::empty()));
        Self {
            name: parts.name,
            zone: parts.zone,
            clock: parts.clock,
            metrics: parts.metrics,
            readiness: parts.readiness,
            in_progress: parts.in_progress,
            token_key: parts.token_key,
            placement: Placement::default(),
            budget: RetryBudget::new(records.set().policy.retry_share),
            pool: CreditPool::new(1),
            waiting: Vec::new(),
            records,
            fleet: parts.fleet,
            last_tick: MonoMs::default(),
            by_hash: HashMap::new(),
            directory: Directory::default(),
            counts: OutcomeCounts::default(),
            draining_since: None,
            last_busy_at: MonoMs::default(),
            drain_ms: parts.drain_ms,
        }
    }

    /// Handles commands until the router has drained or a command queue is closed.
    pub(crate) fn run(
        mut self,
        commands: &Receiver<Command>,
        fleet_commands: &Receiver<FleetCommand>,
    ) {
        loop {
            match next_input(commands, fleet_commands, TICK) {
                Input::Command(command) => self.handle(command),
                Input::Fleet(command) => self.handle_fleet(*command),
                Input::Closed => return,
                Input::Nothing => {}
            }
            let now = self.clock.now();
            if now.ms_since(self.last_tick) >= TICK.as_millis() as u64 {
                self.last_tick = now;
                self.tick();
            }
            if self.waiting.iter().any(|waiting| waiting.until <= now) {
                self.charge_waiting_requests(|waiting| waiting.until <= now);
            }
            if self.is_drained() {
                tracing::info!("router: drain finished; stopping.");
                return;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Plan { req, reply } => {
                let is_limited =
                    matches!(req.kind, RequestKind::Chat { .. } | RequestKind::Service { .. });
                let plan = self.plan(*req).map(|plan| self.charge_plan(plan, is_limited));
                if plan.is_ok() {
                    self.budget.record_request();
                }
                send(&reply, plan);
            }
            Command::HomeReplied { key, reply, sent_at } => {
                self.pool.receive(&key, reply, sent_at, self.clock.now());
                self.charge_waiting_requests(|waiting| waiting.key == key);
            }
            Command::RetryCharge { key, reply } => self.retry_charge(key, reply),
            Command::LoadReported { endpoint, load } => {
                self.directory.record_report(endpoint, load, self.clock.now());
            }
            Command::Sent { endpoint, work } => self.directory.record_sent(endpoint, work),
            Command::Suspect { endpoint } => {
                let now = self.clock.now();
                self.directory.mark_suspect(endpoint, now.plus_ms(SUSPECT_MS));
                self.fleet.membership_mut().record_failure(NodeId(endpoint.0), now);
            }
            Command::Leaving { endpoint } => self.directory.set_leaving(endpoint, true),
            Command::Crashed { endpoint, fingerprint } => {
                let (site, now) = (NodeId(endpoint.0), self.clock.now());
                self.fleet.quarantine_mut().record_crash([fingerprint], site, now);
            }
            Command::AskBudget { reply } => self.ask_budget(&reply),
            Command::Ended { outcome } => self.count_outcome(outcome),
            Command::Status { reply } => send(&reply, self.status()),
            Command::Drain => {
                self.draining_since.get_or_insert(self.clock.now());
                self.update_readiness();
            }
        }
    }

    fn ask_budget(&mut self, reply: &Sender<bool>) {
        let granted = self.budget.try_retry();
        let result = if granted { "granted" } else { "refused" };
        self.metrics.retries.with_label_values(&[result]).inc();
        send(reply, granted);
    }

    fn handle_fleet(&mut self, command: FleetCommand) {
        for change in self.fleet.handle(command) {
            match change {
                FleetChange::Adopted(records) => self.adopt(records),
                FleetChange::Confirmed { .. } => {}
                FleetChange::VmsChanged => self.apply_vm_list(),
                FleetChange::Loads(loads) => {
                    for load in loads {
                        self.directory.record_digest(load.endpoint, load.work, load.measured_at);
                    }
                }
                FleetChange::Left(nodes) => self.set_leaving(&nodes, true),
                FleetChange::Returned(nodes) => self.set_leaving(&nodes, false),
            }
        }
    }

    fn set_leaving(&mut self, nodes: &[NodeId], leaving: bool) {
        for node in nodes {
            self.directory.set_leaving(EndpointHash(node.0), leaving);
        }
    }

    fn tick(&mut self) {
        let leaving = self.draining_since.is_some();
        self.fleet.tick(OwnState { leaving, ..OwnState::default() });
        self.mark_ended_loans();
        self.update_readiness();
    }

    /// Marks endpoints as leaving whose loan ends within [`LOAN_END_MARGIN_MS`], since their
    /// sidecars would refuse the requests.
    fn mark_ended_loans(&mut self) {
        let wall = self.clock.unix().plus_ms(LOAN_END_MARGIN_MS);
        let ended = |endpoint: &&Endpoint| endpoint.loan_ends_at.is_some_and(|at| wall >= at);
        for endpoint in self.by_hash.values().filter(ended) {
            self.directory.set_leaving(EndpointHash::of(&endpoint.name), true);
        }
    }

    fn adopt(&mut self, records: Arc<RecordIndex>) {
        let generation = records.version().generation;
        if let Err(err) = self.directory.apply_records(records.set()) {
            tracing::error!("router: the records can't be applied: {err}.");
            return;
        }
        tracing::info!("router: records of generation {generation} are in force.");
        self.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        self.budget.set_share(records.set().policy.retry_share);
        let hashed = |endpoint: &Endpoint| (EndpointHash::of(&endpoint.name), endpoint.clone());
        self.by_hash = records.set().endpoints.iter().map(hashed).collect();
        self.records = records;
        self.apply_vm_list();
    }

    /// Applies the VM list: the number of routers and the VMs that are leaving.
    fn apply_vm_list(&mut self) {
        self.pool.set_routers(self.fleet.routers());
        for vm in &self.fleet.membership().vms().vms {
            if vm.state == VmState::Leaving {
                self.directory.set_leaving(EndpointHash(NodeId::of(&vm.name).0), true);
            }
        }
    }

    fn count_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Done => &mut self.counts.done,
            Outcome::NotRun => &mut self.counts.not_run,
            Outcome::Unknown => &mut self.counts.unknown,
        };
        *counter += 1;
        self.metrics.outcomes.with_label_values(&[outcome.as_str()]).inc();
    }

    fn update_readiness(&self) {
        self.readiness.set(self.fleet.is_ready() && self.draining_since.is_none());
    }

    /// Reports whether the process may exit: nothing has been in progress for [`FLUSH_MS`], or the
    /// drain timeout has expired.
    fn is_drained(&mut self) -> bool {
        let Some(since) = self.draining_since else { return false };
        let now = self.clock.now();
        if self.in_progress.count() > 0 {
            self.last_busy_at = now;
        }
        let is_flushed = now.ms_since(self.last_busy_at.max(since)) >= FLUSH_MS;
        is_flushed || now.ms_since(since) >= self.drain_ms
    }

    fn status(&self) -> Status {
        let running = u32::try_from(self.in_progress.count()).unwrap_or(u32::MAX);
        Status {
            role: "router",
            name: self.name.to_string(),
            zone: self.zone.clone(),
            generation: self.fleet.generation().0,
            records_source: self.fleet.records_source(),
            leaving: self.draining_since.is_some(),
            load: LoadStatus { running, waiting: 0, mean: 0.0 },
            quarantined: self.fleet.quarantined(),
            outcomes: self.counts,
            refused_records: self.fleet.records_error(),
            load_wait: None,
        }
    }
}

fn planned_endpoint(endpoint: &Endpoint) -> PlannedEndpoint {
    PlannedEndpoint {
        name: endpoint.name.clone(),
        hash: EndpointHash::of(&endpoint.name),
        address: endpoint.address,
        candidate: Candidate::new(EndpointHash::of(&endpoint.name)),
        repeatable: endpoint.repeatable,
    }
}

fn send<T>(reply: &Sender<T>, message: T) {
    // The receiver may have stopped waiting.
    let _gone = reply.try_send(message);
}
