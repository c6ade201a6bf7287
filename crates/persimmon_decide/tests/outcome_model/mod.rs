//! A model of routers, sidecars and callers whose messages may be lost, duplicated, delayed and
//! reordered, driven by a generated schedule. It reports duplicate runs and wrong outcomes.

mod message;
mod op;
mod sidecar;

use std::collections::{BTreeMap, BTreeSet};

use persimmon_decide::outcome::{
    Action, Cause, Dispatch, DispatchLimits, Event, FinalResult, IdempotencyKey, LedgerKey,
    Outcome, PresentedCall, Repeatability, Stamp,
};
use persimmon_decide::{Attempt, Fingerprint, RequestId};

pub(crate) use message::{Defect, Tag, Violation};
use message::{Message, Reply, ReplyTo, Request, Submission};
pub(crate) use op::{Op, schedule};
use sidecar::Sidecar;

pub(crate) const SIDECARS: usize = 3;
const ROUTERS: usize = 3;
const CALLS: usize = 4;
/// The maximum number of messages in flight.
const MAX_MESSAGES: usize = 64;

/// The runs of one claim or exchange.
#[derive(Debug)]
struct Runs {
    call: usize,
    body: Fingerprint,
    count: u32,
}

#[derive(Debug)]
struct Exchange {
    router: usize,
    call: usize,
    tag: Tag,
    claim: Option<Stamp>,
    fingerprint: Fingerprint,
    candidates: Vec<usize>,
    dispatch: Dispatch,
}

/// The state of a call at its caller.
#[derive(Debug, Clone, Copy, Default)]
struct Call {
    claim: Option<(Stamp, Tag, usize)>,
}

#[derive(Debug)]
pub(crate) struct Model {
    kind: Repeatability,
    defect: Defect,
    now_ms: u64,
    sidecars: Vec<Sidecar>,
    views: [usize; ROUTERS],
    calls: [Call; CALLS],
    exchanges: Vec<Exchange>,
    messages: Vec<Message>,
    runs: BTreeMap<Tag, Runs>,
    reported_not_run: Vec<Tag>,
    /// Calls, with their bodies, that a router reported as done.
    reported_done: Vec<(usize, Fingerprint)>,
    misrouted: bool,
    next_tag: Tag,
    /// The names of the refusals and statuses that occurred.
    reached: BTreeSet<String>,
}

/// The result of a schedule.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) violations: Vec<Violation>,
    pub(crate) reached: BTreeSet<String>,
}

impl Model {
    pub(crate) fn new(kind: Repeatability, defect: Defect) -> Self {
        Self {
            kind,
            defect,
            now_ms: 0,
            sidecars: (0..SIDECARS).map(|_| Sidecar::new(0)).collect(),
            views: [0; ROUTERS],
            calls: [Call::default(); CALLS],
            exchanges: Vec::new(),
            messages: Vec::new(),
            runs: BTreeMap::new(),
            reported_not_run: Vec::new(),
            reported_done: Vec::new(),
            misrouted: false,
            next_tag: 0,
            reached: BTreeSet::new(),
        }
    }

    /// Runs a schedule to its end, delivers all messages in flight, and checks for violations.
    pub(crate) fn play(mut self, ops: &[Op]) -> Report {
        for op in ops {
            self.step(*op);
        }
        self.drain();
        Report { violations: self.violations(), reached: self.reached }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Present { call, router, body } => {
                self.present(call % CALLS, router % ROUTERS, Fingerprint(body));
            }
            Op::Deliver { pick, twice } => self.deliver(pick, twice),
            Op::Lose { pick } => drop(self.take_message(pick)),
            Op::Advance { ms } => self.now_ms += ms,
            Op::PauseClock { sidecar, ms } => self.sidecars[sidecar % SIDECARS].pause_clock(ms),
            Op::Restart { sidecar } => self.sidecars[sidecar % SIDECARS].restart(self.now_ms),
            Op::Freeze { sidecar, on } => self.sidecars[sidecar % SIDECARS].frozen = on,
            Op::Reach { sidecar, on } => self.sidecars[sidecar % SIDECARS].reachable = on,
            Op::Busy { sidecar, on } => self.sidecars[sidecar % SIDECARS].busy = on,
            Op::Sweep { sidecar } => self.sidecars[sidecar % SIDECARS].sweep(self.now_ms),
            Op::Work { sidecar, fails } => self.work(sidecar % SIDECARS, fails),
            Op::KillRouter { router } => self.kill_router(router % ROUTERS),
            Op::Publish { router } => self.views[router % ROUTERS] += 1,
            Op::Disturb { pick, lost } => self.disturb(pick, lost),
        }
    }

    /// Sends a caller's call, with its current claim or with a new one.
    fn present(&mut self, call: usize, router: usize, fingerprint: Fingerprint) {
        // Most calls have the same owner, so that its ledger fills up.
        let first = call / (CALLS - 1) + self.views[router];
        let ranked: Vec<_> = (0..SIDECARS).map(|k| (first + k) % SIDECARS).collect();
        let (tag, claim, candidates) = match (self.kind, self.defect) {
            (Repeatability::Repeatable, _) => (self.new_tag(), None, ranked),
            (Repeatability::Once, Defect::KeyWithoutClaim { .. }) => {
                (call as Tag, None, vec![ranked[0]])
            }
            (Repeatability::Once, _) => {
                let Some((stamp, tag, owner)) = self.claim(call, ranked[0]) else { return };
                (tag, Some(stamp), vec![owner])
            }
        };
        let dispatch = Dispatch::new(self.kind, candidates.len(), DispatchLimits::default());
        let exchange = Exchange { router, call, tag, claim, fingerprint, candidates, dispatch };
        self.exchanges.push(exchange);
        let exchange = self.exchanges.len() - 1;
        let actions = self.exchanges[exchange].dispatch.start();
        self.perform(exchange, actions);
    }

    /// Returns the caller's claim, or a new one from `owner` if the call with the last claim was
    /// reported as not run.
    fn claim(&mut self, call: usize, owner: usize) -> Option<(Stamp, Tag, usize)> {
        let current =
            self.calls[call].claim.filter(|(_, tag, _)| !self.reported_not_run.contains(tag));
        if current.is_some() {
            return current;
        }
        if self.sidecars[owner].frozen || !self.sidecars[owner].reachable {
            return None;
        }
        let stamp = self.sidecars[owner].issue(self.kind, call, self.now_ms)?;
        self.calls[call].claim = Some((stamp, self.new_tag(), owner));
        self.calls[call].claim
    }

    fn new_tag(&mut self) -> Tag {
        self.next_tag += 1;
        self.next_tag + CALLS as Tag
    }

    fn perform(&mut self, exchange: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Submit { candidate, attempt } => {
                    self.send(Request::Submit, exchange, candidate, attempt);
                }
                Action::Settle { candidate, attempt } => {
                    self.send(Request::Settle, exchange, candidate, attempt);
                }
                Action::Resume { candidate, attempt } => {
                    self.send(Request::Resume, exchange, candidate, attempt);
                }
                Action::Cancel { .. } => {}
                Action::AskBudget => self.handle_event(exchange, Event::Budget { granted: true }),
                Action::Finish(end) => self.record_outcome(exchange, end),
            }
        }
    }

    fn record_outcome(&mut self, exchange: usize, end: FinalResult) {
        let ended = &self.exchanges[exchange];
        let tag = ended.tag;
        let outcome = match (self.defect, end.cause) {
            (Defect::UnreachableIsNotRun, Cause::Unreachable)
            | (Defect::DeadlineIsNotRun, Cause::DeadlinePassed) => Outcome::NotRun,
            _ => end.outcome,
        };
        match outcome {
            Outcome::Done => self.reported_done.push((ended.call, ended.fingerprint)),
            Outcome::NotRun => self.reported_not_run.push(tag),
            Outcome::Unknown => {}
        }
    }

    fn handle_event(&mut self, exchange: usize, event: Event) {
        let actions = self.exchanges[exchange].dispatch.handle(event);
        self.perform(exchange, actions);
    }

    fn send(&mut self, request: Request, exchange: usize, candidate: usize, attempt: Attempt) {
        let sent = &self.exchanges[exchange];
        let (to, call, tag) = (sent.candidates[candidate], sent.call, sent.tag);
        let sidecar = &self.sidecars[to];
        if !sidecar.reachable {
            let event = match request {
                Request::Submit => Event::ConnectFailed { attempt },
                Request::Settle | Request::Resume => Event::Lost { attempt },
            };
            return self.handle_event(exchange, event);
        }
        // The greeting on a connection contains a stamp; a settle must use that of the submission.
        let greeting = sidecar.greeting(exchange, attempt, self.now_ms);
        let stamp = sent.claim.unwrap_or(greeting);
        self.sidecars[to].greetings.insert((exchange, attempt), greeting);
        let presented = PresentedCall {
            key: key_of(self.kind, call),
            stamp,
            fingerprint: sent.fingerprint,
            repeatability: self.kind,
        };
        let submission = Submission { presented, tag, call };
        let reply_to = ReplyTo { exchange, attempt };
        self.post(Message::Request { request, to, submission, reply_to });
    }

    fn post(&mut self, message: Message) {
        if self.messages.len() < MAX_MESSAGES {
            self.messages.push(message);
        }
    }

    fn take_message(&mut self, pick: usize) -> Option<Message> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.remove(pick % count))
    }

    fn deliver(&mut self, pick: usize, twice: bool) {
        let Some(message) = self.take_message(pick) else { return };
        let copy = twice.then(|| message.clone());
        self.receive(message);
        if let Some(copy) = copy {
            self.post(copy);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Request { to, .. } if self.sidecars[to].frozen => self.post(message),
            Message::Request { request, to, submission, reply_to } => {
                let sidecar = &mut self.sidecars[to];
                let replies = match request {
                    Request::Submit => {
                        sidecar.on_submit(submission, reply_to, self.defect, self.now_ms)
                    }
                    Request::Settle => {
                        sidecar.on_settle(submission, reply_to, self.defect, self.now_ms)
                    }
                    Request::Resume => sidecar.on_resume(submission, reply_to, self.now_ms),
                };
                for reply in replies {
                    self.post(Message::Reply { to: reply_to, reply });
                }
            }
            Message::Reply { to, reply } => self.on_reply(to, reply),
        }
    }

    fn on_reply(&mut self, to: ReplyTo, reply: Reply) {
        let call = self.exchanges[to.exchange].call;
        self.misrouted |= reply.answered_call.is_some_and(|answered| answered != call);
        match reply.event {
            Event::Refused { refusal, .. } => drop(self.reached.insert(refusal.as_str().into())),
            Event::Settled { settled, .. } => drop(self.reached.insert(format!("{settled:?}"))),
            _ => {}
        }
        self.handle_event(to.exchange, reply.event);
    }

    /// Makes the sidecar's endpoint start the oldest waiting call, or end one that runs. A sidecar
    /// over its load bound withdraws the oldest waiting call instead.
    fn work(&mut self, sidecar: usize, fails: bool) {
        if self.sidecars[sidecar].frozen {
            return;
        }
        if self.sidecars[sidecar].busy {
            let withdrawn = self.sidecars[sidecar].withdraw_job(self.now_ms);
            return self.post_replies(withdrawn);
        }
        if let Some(sent) = self.sidecars[sidecar].send_to_endpoint() {
            let body = sent.presented.fingerprint;
            let runs =
                self.runs.entry(sent.tag).or_insert(Runs { call: sent.call, body, count: 0 });
            runs.count += 1;
            return;
        }
        let ended = self.sidecars[sidecar].end_job(fails, self.now_ms);
        self.post_replies(ended);
    }

    fn post_replies(&mut self, replies: Vec<(ReplyTo, Reply)>) {
        for (to, reply) in replies {
            self.post(Message::Reply { to, reply });
        }
    }

    fn kill_router(&mut self, router: usize) {
        for exchange in self.exchanges.iter_mut().filter(|exchange| exchange.router == router) {
            // A finished dispatch ignores all further events, as if the router were gone.
            exchange.dispatch.handle(Event::CallerGone);
        }
    }

    /// Makes an open exchange lose its connection or pass its deadline.
    fn disturb(&mut self, pick: usize, lost: bool) {
        let is_open = |exchange: &usize| !self.exchanges[*exchange].dispatch.is_finished();
        let open: Vec<_> = (0..self.exchanges.len()).filter(is_open).collect();
        if open.is_empty() {
            return;
        }
        let exchange = open[pick % open.len()];
        let attempt = Attempt(1 + (pick / open.len()) as u32 % SIDECARS as u32);
        self.handle_event(
            exchange,
            if lost { Event::Lost { attempt } } else { Event::DeadlinePassed },
        );
    }

    /// Unfreezes all sidecars, delivers all messages in flight and runs all calls.
    fn drain(&mut self) {
        for sidecar in &mut self.sidecars {
            sidecar.frozen = false;
            sidecar.busy = false;
        }
        for _ in 0..4 * MAX_MESSAGES {
            self.deliver(0, false);
            for sidecar in 0..SIDECARS {
                self.work(sidecar, false);
            }
        }
    }

    fn violations(&self) -> Vec<Violation> {
        let runs_of = |tag: &Tag| self.runs.get(tag).map_or(0, |runs| runs.count);
        let runs_of_call = |call| -> u32 {
            self.runs.values().filter(|runs| runs.call == call).map(|runs| runs.count).sum()
        };
        // A run under a second claim of the call counts for the exchanges of the first one as well.
        let has_run = |(call, body): &(usize, Fingerprint)| {
            self.runs.values().any(|runs| runs.call == *call && runs.body == *body)
        };
        let is_once = self.kind == Repeatability::Once;
        let checks = [
            (Violation::DoubleRun, is_once && (0..CALLS).any(|call| runs_of_call(call) > 1)),
            (Violation::FalseNotRun, self.reported_not_run.iter().any(|tag| runs_of(tag) > 0)),
            (Violation::FalseDone, !self.reported_done.iter().all(has_run)),
            (Violation::MisroutedAnswer, self.misrouted),
        ];
        checks.into_iter().filter(|(_, found)| *found).map(|(violation, _)| violation).collect()
    }
}

pub(crate) fn key_of(kind: Repeatability, call: usize) -> LedgerKey {
    let workspace = "swap-desk".into();
    match kind {
        Repeatability::Repeatable => LedgerKey::of_request(&workspace, RequestId(call as u128)),
        Repeatability::Once => {
            let key = IdempotencyKey::try_from(format!("call-{call}")).expect("a valid key");
            LedgerKey::of_call(&workspace, &"booking".into(), &key)
        }
    }
}
