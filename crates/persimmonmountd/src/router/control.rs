//! The control thread of a router: placement, budgets and what is known of endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use flume::{Receiver, Selector, Sender};
use hyper::StatusCode;
use persimmon_decide::load::{
    Candidate, ChatKey, ChatToken, CreditDemand, CreditPurse, Directory, EndpointHash, Holder,
    LimitKey, PlaceRequest, Placement, TokenKey, credit_home_of, rendezvous_score,
};
use persimmon_decide::membership::{NodeId, OwnState, VmState};
use persimmon_decide::outcome::Outcome;
use persimmon_decide::recovery::{Quarantine, RetryBudget, RunMode};
use persimmon_decide::{Fingerprint, MonoMs};
use persimmon_records::{
    Endpoint, EndpointName, RecordIndex, RecordSet, Serves, ServiceName, Workspace,
};

use super::command::{
    Charge, Command, HomeDemand, Payment, Plan, PlanRequest, PlannedEndpoint, Wanted,
};
use super::failure::Failure;
use crate::common::{
    Clock, Keeper, KeeperChange, KeeperCommand, LoadStatus, Metrics, OutcomeCounts, Readiness,
    Status, rate_of,
};

/// Longest pause between two looks at what has become due.
const TICK: Duration = Duration::from_millis(100);
/// How long before a loan's end a router stops to offer requests, in milliseconds.
const LOAN_END_MARGIN_MS: u64 = 1_000;
/// Requests that wait for credits at once.
const MAX_WAITING_FOR_CREDIT: usize = 4_096;
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
    purse: CreditPurse,
    waiting: Vec<WaitingForCredit>,
    counts: OutcomeCounts,
    draining_since: Option<MonoMs>,
    drain_ms: u64,
}

/// A request that waits for the home of its limit.
struct WaitingForCredit {
    key: LimitKey,
    reply: Sender<Payment>,
    until: MonoMs,
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

/// What reaches the control thread.
enum Input {
    Command(Command),
    Keeper(KeeperCommand),
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
            purse: CreditPurse::new(1),
            waiting: Vec::new(),
            records,
            keeper: parts.keeper,
            last_tick: MonoMs::default(),
            by_hash: HashMap::new(),
            directory: Directory::default(),
            counts: OutcomeCounts::default(),
            draining_since: None,
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
            let input = Selector::new()
                .recv(commands, |command| command.map(Input::Command))
                .recv(keeper_commands, |command| command.map(Input::Keeper))
                .wait_timeout(TICK);
            match input {
                Ok(Ok(Input::Command(command))) => self.handle(command),
                Ok(Ok(Input::Keeper(command))) => self.handle_keeper(command),
                Ok(Err(_)) => return,
                Err(_) => {}
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
                    self.budget.record_fresh();
                }
                send(&reply, plan);
            }
            Command::Credited { key, reply, sent_at } => {
                self.purse.receive(&key, reply, sent_at, self.clock.now());
                self.pay_waiting(|waiting| waiting.key == key);
            }
            Command::SpendAgain { key, reply } => self.spend_again(key, reply),
            Command::Loaded { endpoint, load } => {
                self.directory.report(endpoint, load, self.clock.now());
            }
            Command::Sent { endpoint, work } => self.directory.note_sent(endpoint, work),
            Command::Suspect { endpoint } => {
                let now = self.clock.now();
                self.directory.suspect(endpoint, now.plus_ms(SUSPECT_MS));
                self.keeper.membership_mut().note_failure(NodeId(endpoint.0), now);
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

    fn plan(&self, req: PlanRequest) -> Result<Plan, Failure> {
        if self.draining_since.is_some() {
            return Err(Failure::bad_request(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining",
                "this router is stopping; send the request again, which reaches another",
            )
            .with_retry_after_ms(0));
        }
        let workspace = self.authorize(&req)?;
        let mut plan = Plan {
            workspace: workspace.name.clone(),
            class: req.class.unwrap_or(workspace.default_class),
            chat: ChatKey(0),
            holders: Vec::new(),
            endpoints: Vec::new(),
            models: workspace.models.clone(),
            charges: Vec::new(),
        };
        match req.wanted {
            Wanted::Models => {}
            Wanted::Chat { .. } => self.plan_chat(workspace, &req.wanted, &mut plan)?,
            Wanted::Claim { service, key } | Wanted::Service { service, key, owner: None } => {
                check_service(workspace, &service)?;
                plan.endpoints = self.workers(workspace, &Serves::Service(service), &key);
            }
            Wanted::Service { service, owner: Some(owner), .. } => {
                check_service(workspace, &service)?;
                plan.endpoints = self.planned(&owner).into_iter().collect();
            }
            Wanted::Answer { endpoint } => {
                plan.endpoints = self.planned(&endpoint).into_iter().collect();
            }
        }
        Ok(plan)
    }

    /// Pays for a request that may go somewhere, if it counts against the limit.
    fn paid(&mut self, mut plan: Plan, is_charged: bool) -> Plan {
        if is_charged && !plan.endpoints.is_empty() {
            let workspace = self.records.workspace(&plan.workspace);
            let has_total = workspace.is_some_and(|one| one.total_limits.is_some());
            let classes = [Some(Some(plan.class)), has_total.then_some(None)];
            for class in classes.into_iter().flatten() {
                let key = LimitKey { workspace: plan.workspace.clone(), class };
                let (payment, _) = self.pay(&key);
                plan.charges.push(Charge { key, payment });
            }
        }
        plan
    }

    /// Pays for a request now, or once the home has answered.
    fn spend_again(&mut self, key: LimitKey, reply: Sender<Payment>) {
        let (payment, awaits_home) = self.pay(&key);
        if payment.is_paid || !awaits_home || self.waiting.len() >= MAX_WAITING_FOR_CREDIT {
            send(&reply, payment);
            return;
        }
        let until = self.clock.now().plus_ms(CreditPurse::ANSWER_MS);
        self.waiting.push(WaitingForCredit { key, reply, until });
    }

    /// Answers the requests that wait for credits and match.
    fn pay_waiting(&mut self, is_due: impl Fn(&WaitingForCredit) -> bool) {
        let waiting = std::mem::take(&mut self.waiting);
        let (due, rest) = waiting.into_iter().partition(is_due);
        self.waiting = rest;
        for WaitingForCredit { key, reply, .. } in due {
            let (payment, _) = self.pay(&key);
            send(&reply, payment);
        }
    }

    /// Spends a credit. Also says whether the home has yet to answer.
    fn pay(&mut self, key: &LimitKey) -> (Payment, bool) {
        let workspace = self.records.workspace(&key.workspace);
        let per_second = workspace.map_or(0, |workspace| rate_of(workspace, key.class));
        let spend = self.purse.spend(key, per_second, self.clock.now());
        let demand = spend.demand.and_then(|demand| self.home_demand(demand));
        let retry_after_ms = spend.retry_after_ms;
        (Payment { is_paid: spend.paid, demand, retry_after_ms }, spend.awaits_home)
    }

    fn home_demand(&self, demand: CreditDemand) -> Option<HomeDemand> {
        let now = self.clock.now();
        let is_live = |hash: &EndpointHash| {
            let view = self.directory.view(*hash);
            view.is_some_and(|view| !view.leaving && !view.is_suspect(now))
        };
        let live = self.by_hash.keys().copied().filter(is_live);
        let home = credit_home_of(&demand.key, live)?;
        Some(HomeDemand { home: planned(self.by_hash.get(&home)?), demand })
    }

    fn authorize(&self, req: &PlanRequest) -> Result<&Workspace, Failure> {
        if !self.keeper.is_ready() {
            return Err(Failure::bad_request(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-records",
                "this router has no routing records yet; retry after the given delay",
            )
            .with_retry_after_ms(1_000));
        }
        let workspace = self.records.workspace_by_key(&req.key).ok_or_else(|| {
            Failure::bad_request(
                StatusCode::UNAUTHORIZED,
                "unknown-workspace",
                "the workspace key is unknown; send a key that the records hold as a bearer token",
            )
        })?;
        let wall = self.clock.unix();
        if workspace.expires_at.is_some_and(|at| wall >= at) {
            return Err(Failure::bad_request(
                StatusCode::FORBIDDEN,
                "expired-record",
                "the workspace's record has expired; ask the operators to extend it",
            ));
        }
        Ok(workspace)
    }

    fn plan_chat(
        &self,
        workspace: &Workspace,
        wanted: &Wanted,
        plan: &mut Plan,
    ) -> Result<(), Failure> {
        let Wanted::Chat { model, opening, token, prompt_tokens, max_tokens, fingerprint } = wanted
        else {
            return Ok(());
        };
        if !workspace.models.contains(model) {
            return Err(unknown("model", model.as_str()));
        }
        let opening: Vec<_> = opening.iter().map(String::as_str).collect();
        plan.chat = ChatKey::of(&workspace.name, model, &opening);
        plan.holders = self.holders(token.as_deref(), plan.chat);
        let now = self.clock.now();
        let checked = self.keeper.quarantine().check(*fingerprint, now);
        let mode = checked.map_err(|refusal| Failure::refused(refusal.into()))?;
        let target = Serves::Model(model.clone());
        let allowed: Vec<_> = workspace.endpoints.iter().map(EndpointHash::of).collect();
        let place = PlaceRequest {
            chat: plan.chat,
            target: &target,
            holders: &plan.holders,
            allowed: &allowed,
            prompt_tokens: *prompt_tokens,
            tokens_to_generate: *max_tokens,
        };
        let candidates = self.placement.place(&place, &self.directory, now);
        plan.endpoints = candidates
            .iter()
            .filter_map(|candidate| {
                let endpoint = self.by_hash.get(&candidate.endpoint)?;
                Some(PlannedEndpoint { candidate: *candidate, ..planned(endpoint) })
            })
            .collect();
        if let RunMode::Alone { crashed } = mode {
            plan.endpoints = self.probation_endpoint(*fingerprint, crashed, &target, &allowed);
        }
        Ok(())
    }

    /// The one endpoint on which a suspect may run, alone.
    fn probation_endpoint(
        &self,
        fingerprint: Fingerprint,
        crashed: NodeId,
        target: &Serves,
        allowed: &[EndpointHash],
    ) -> Vec<PlannedEndpoint> {
        let serving = self.directory.serving(target).filter(|view| !view.leaving);
        let permitted = serving.filter(|view| allowed.is_empty() || allowed.contains(&view.hash));
        let nodes = permitted.map(|view| NodeId(view.hash.0));
        let chosen = Quarantine::probation_endpoint(fingerprint, crashed, nodes);
        let endpoint = chosen.and_then(|node| self.by_hash.get(&EndpointHash(node.0)));
        endpoint.map(planned).into_iter().collect()
    }

    fn holders(&self, token: Option<&str>, chat: ChatKey) -> Vec<Holder> {
        let Some(token) = token else { return Vec::new() };
        match ChatToken::open(token, chat, &self.token_key) {
            Ok(token) => token.holders().to_vec(),
            Err(err) => {
                tracing::debug!("router: a chat token is not used: {err}.");
                Vec::new()
            }
        }
    }

    fn planned(&self, name: &EndpointName) -> Option<PlannedEndpoint> {
        self.by_hash.get(&EndpointHash::of(name)).map(planned)
    }

    /// The workers of a service in the order of their rank for `key`, reachable ones first.
    fn workers(&self, workspace: &Workspace, target: &Serves, key: &str) -> Vec<PlannedEndpoint> {
        let now = self.clock.now();
        let chat = ChatKey::of(&workspace.name, &"".into(), &[key]);
        let mut ranked: Vec<_> = self
            .directory
            .serving(target)
            .filter(|view| !view.leaving)
            .filter(|view| {
                workspace.endpoints.is_empty() || workspace.endpoints.contains(&view.name)
            })
            .map(|view| {
                let score = rendezvous_score(chat, view.hash, view.slots);
                (view.is_suspect(now), score, view.hash)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
        ranked.iter().filter_map(|(_, _, hash)| self.by_hash.get(hash).map(planned)).collect()
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
                        self.directory.digest(told.endpoint, told.work, told.measured_at);
                    }
                }
                KeeperChange::Left(nodes) => {
                    for node in nodes {
                        self.directory.set_leaving(EndpointHash(node.0), true);
                    }
                }
            }
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
        if let Err(err) = self.directory.follow(records.set()) {
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

    fn is_drained(&self) -> bool {
        let Some(since) = self.draining_since else { return false };
        let waited_ms = self.clock.now().ms_since(since);
        self.in_progress.count() == 0 || waited_ms >= self.drain_ms
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

fn check_service(workspace: &Workspace, service: &ServiceName) -> Result<(), Failure> {
    if workspace.services.contains(service) {
        Ok(())
    } else {
        Err(unknown("service", service.as_str()))
    }
}

fn unknown(kind: &str, name: &str) -> Failure {
    let (code, list) = match kind {
        "model" => ("unknown-model", "GET /v1/models lists those that it may use"),
        _ => ("unknown-service", "ask the operators for its name"),
    };
    let message = format!("the workspace has no {kind} named {name:?}; {list}");
    Failure::bad_request(StatusCode::NOT_FOUND, code, message)
}

fn send<T>(reply: &Sender<T>, message: T) {
    // The asker may have given up waiting.
    let _gone = reply.try_send(message);
}
