//! The control thread of a router: placement, budgets and what is known of endpoints.

mod payments;
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

use self::payments::WaitingForCredit;
use super::command::{Command, PlannedEndpoint, Wanted};
use crate::common::{
    Clock, Input, Keeper, KeeperChange, KeeperCommand, LoadStatus, Metrics, OutcomeCounts,
    Readiness, Status, next_input,
};

/// Longest pause between two looks at what has become due.
const TICK: Duration = Duration::from_millis(100);
/// How long before a loan's end a router stops to offer requests, in milliseconds.
const LOAN_END_MARGIN_MS: u64 = 1_000;
/// How long a draining router waits after its last request, so that the end of the answer leaves
/// its sockets, in milliseconds.
const FLUSH_MS: u64 = 500;
/// How long an endpoint that couldn't be reached is tried only after all others, in milliseconds.
const SUSPECT_MS: u64 = 5_000;

/// Requests in progress on the traffic threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct InProgress(Arc<AtomicUsize>);

/// Counts one request until it's dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<AtomicUsize>);

impl InProgress {
    /// Counts one more request.
    pub(crate) fn enter(&self) -> InProgressGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(self.0.clone())
    }

    /// Requests in progress.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The decisions of one router.
pub(crate) struct Control {
    name: EndpointName,
    zone: String,
    clock: Clock,
    metrics: Metrics,
    readiness: Readiness,
    in_progress: InProgress,
    token_key: TokenKey,
    records: Arc<RecordIndex>,
    keeper: Keeper,
    last_tick: MonoMs,
    by_hash: HashMap<EndpointHash, Endpoint>,
    directory: Directory,
    placement: Placement,
    budget: RetryBudget,
    purse: CreditPool,
    waiting: Vec<WaitingForCredit>,
    counts: OutcomeCounts,
    draining_since: Option<MonoMs>,
    /// When a request was last seen in progress while draining.
    busy_at: MonoMs,
    drain_ms: u64,
}

/// What a [`Control`] is built from.
pub(crate) struct ControlParts {
    pub(crate) name: EndpointName,
    pub(crate) zone: String,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) readiness: Readiness,
    pub(crate) in_progress: InProgress,
    pub(crate) token_key: TokenKey,
    pub(crate) drain_ms: u64,
    pub(crate) keeper: Keeper,
}

impl Control {
    /// A router that knows no records yet.
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
            purse: CreditPool::new(1),
            waiting: Vec::new(),
            records,
            keeper: parts.keeper,
            last_tick: MonoMs::default(),
            by_hash: HashMap::new(),
            directory: Directory::default(),
            counts: OutcomeCounts::default(),
            draining_since: None,
            busy_at: MonoMs::default(),
            drain_ms: parts.drain_ms,
        }
    }

    /// Handles commands until the process may end.
    pub(crate) fn run(
        mut self,
        commands: &Receiver<Command>,
        keeper_commands: &Receiver<KeeperCommand>,
    ) {
        loop {
            match next_input(commands, keeper_commands, TICK) {
                Input::Command(command) => self.handle(command),
                Input::Keeper(command) => self.handle_keeper(*command),
                Input::Closed => return,
                Input::Nothing => {}
            }
            let now = self.clock.now();
            if now.ms_since(self.last_tick) >= TICK.as_millis() as u64 {
                self.last_tick = now;
                self.tick();
            }
            if self.waiting.iter().any(|waiting| waiting.until <= now) {
                self.pay_waiting(|waiting| waiting.until <= now);
            }
            if self.is_drained() {
                tracing::info!("router: nothing is in progress; the process ends.");
                return;
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Plan { req, reply } => {
                let is_charged = matches!(req.wanted, Wanted::Chat { .. } | Wanted::Service { .. });
                let plan = self.plan(*req).map(|plan| self.paid(plan, is_charged));
                if plan.is_ok() {
                    self.budget.record_request();
                }
                send(&reply, plan);
            }
            Command::Credited { key, reply, sent_at } => {
                self.purse.receive(&key, reply, sent_at, self.clock.now());
                self.pay_waiting(|waiting| waiting.key == key);
            }
            Command::SpendAgain { key, reply } => self.spend_again(key, reply),
            Command::Loaded { endpoint, load } => {
                self.directory.record_report(endpoint, load, self.clock.now());
            }
            Command::Sent { endpoint, work } => self.directory.record_sent(endpoint, work),
            Command::Suspect { endpoint } => {
                let now = self.clock.now();
                self.directory.mark_suspect(endpoint, now.plus_ms(SUSPECT_MS));
                self.keeper.membership_mut().record_failure(NodeId(endpoint.0), now);
            }
            Command::Left { endpoint } => self.directory.set_leaving(endpoint, true),
            Command::Crashed { endpoint, fingerprint } => {
                let (site, now) = (NodeId(endpoint.0), self.clock.now());
                self.keeper.quarantine_mut().record_crash([fingerprint], site, now);
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

    fn handle_keeper(&mut self, command: KeeperCommand) {
        for change in self.keeper.handle(command) {
            match change {
                KeeperChange::Adopted(records) => self.adopt(records),
                KeeperChange::Confirmed { .. } => {}
                KeeperChange::Listed => self.on_listed(),
                KeeperChange::Loads(loads) => {
                    for told in loads {
                        self.directory.record_digest(told.endpoint, told.work, told.measured_at);
                    }
                }
                KeeperChange::Left(nodes) => self.set_leaving(&nodes, true),
                KeeperChange::Returned(nodes) => self.set_leaving(&nodes, false),
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
        self.keeper.tick(OwnState { leaving, ..OwnState::default() });
        self.note_ended_loans();
        self.update_readiness();
    }

    /// Leaves out endpoints whose loan ends, so that no request takes the hop to be refused there.
    fn note_ended_loans(&mut self) {
        let wall = self.clock.unix().plus_ms(LOAN_END_MARGIN_MS);
        let ended = |endpoint: &&Endpoint| endpoint.loan_ends_at.is_some_and(|at| wall >= at);
        for endpoint in self.by_hash.values().filter(ended) {
            self.directory.set_leaving(EndpointHash::of(&endpoint.name), true);
        }
    }

    fn adopt(&mut self, records: Arc<RecordIndex>) {
        let generation = records.version().generation;
        if let Err(err) = self.directory.apply_records(records.set()) {
            tracing::error!("router: the records can't be followed: {err}.");
            return;
        }
        tracing::info!("router: records of generation {generation} are in force.");
        self.metrics.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
        self.budget.set_share(records.set().policy.retry_share);
        let hashed = |endpoint: &Endpoint| (EndpointHash::of(&endpoint.name), endpoint.clone());
        self.by_hash = records.set().endpoints.iter().map(hashed).collect();
        self.records = records;
        self.on_listed();
    }

    fn on_listed(&mut self) {
        self.purse.set_routers(self.keeper.routers());
        for vm in &self.keeper.membership().vms().vms {
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
        self.readiness.set(self.keeper.is_ready() && self.draining_since.is_none());
    }

    fn is_drained(&mut self) -> bool {
        let Some(since) = self.draining_since else { return false };
        let now = self.clock.now();
        if self.in_progress.count() > 0 {
            self.busy_at = now;
        }
        let is_flushed = now.ms_since(self.busy_at.max(since)) >= FLUSH_MS;
        is_flushed || now.ms_since(since) >= self.drain_ms
    }

    fn status(&self) -> Status {
        let running = u32::try_from(self.in_progress.count()).unwrap_or(u32::MAX);
        Status {
            role: "router",
            name: self.name.to_string(),
            zone: self.zone.clone(),
            generation: self.keeper.generation().0,
            records_source: self.keeper.records_source(),
            leaving: self.draining_since.is_some(),
            load: LoadStatus { running, waiting: 0, mean: 0.0 },
            quarantined: self.keeper.quarantined(),
            outcomes: self.counts,
            refused_records: self.keeper.trouble(),
            load_wait: None,
        }
    }
}

fn planned(endpoint: &Endpoint) -> PlannedEndpoint {
    PlannedEndpoint {
        name: endpoint.name.clone(),
        hash: EndpointHash::of(&endpoint.name),
        address: endpoint.address,
        candidate: Candidate::new(EndpointHash::of(&endpoint.name)),
        repeatable: endpoint.repeatable,
    }
}

fn send<T>(reply: &Sender<T>, message: T) {
    // The asker may have given up waiting.
    let _gone = reply.try_send(message);
}
