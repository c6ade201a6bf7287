//! The event loop that feeds a workload to a fleet.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    AdmittedKey, Candidate, ChatKey, ChatToken, Decision, Due, Holder, LoadReport, Offer,
    PlaceRequest, Refusal, RefuseReason, Try, TryOrder,
};
use persimmon_records::{UnixMs, WorkspaceName};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::sidecar::import_cost;
use crate::{Admitted, Bound, Fleet, Scenario, Strategy, Tally, Turn};

/// Times that a caller sends a request that every endpoint refuses.
const MAX_TRIES: u32 = 8;

/// Time until routers know that an endpoint left or failed, in milliseconds.
const LEARN_MS: u64 = 3_000;

/// Time that a leaving endpoint stays to finish its work and to offer its caches.
const LEAVE_MS: u64 = 120_000;

/// How long a router avoids an endpoint that doesn't answer, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

const IN_PROGRESS_LIMIT: u32 = 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End { sidecar: usize, key: AdmittedKey },
    Send { turn: usize, sent_at: u64, tries: u32 },
    Second,
    Replace { crash: bool },
    Publish { gone: usize },
}

/// A turn on its way to an endpoint.
#[derive(Debug, Clone, Copy)]
struct Sent {
    index: usize,
    sent_at: u64,
    hops: u64,
}

enum Answer {
    Taken,
    Refused(Refusal),
    Gone,
}

/// Runs one strategy over a workload and counts.
pub fn run(scenario: &Scenario, turns: &[Turn], strategy: Strategy) -> Tally {
    let mut run = Run::new(scenario, turns, strategy);
    run.schedule_churn();
    run.at(0, Event::Second);
    run.play();
    run.tally
}

struct Run<'a> {
    scenario: &'a Scenario,
    turns: &'a [Turn],
    strategy: Strategy,
    fleet: Fleet,
    tokens: HashMap<ChatKey, ChatToken>,
    workspaces: Vec<WorkspaceName>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: Pcg64Mcg,
    tally: Tally,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, turns: &'a [Turn], strategy: Strategy) -> Self {
        let bound = match strategy {
            Strategy::Reference => Bound::None,
            _ if strategy.is_bounded() => Bound::Load,
            _ => Bound::SlotsOnly,
        };
        let name = |number: usize| format!("workspace-{number}").as_str().into();
        Self {
            scenario,
            turns,
            strategy,
            fleet: Fleet::new(scenario, bound),
            tokens: HashMap::new(),
            workspaces: (0..Scenario::WORKSPACES).map(name).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed.wrapping_add(1)),
            tally: Tally::default(),
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_churn(&mut self) {
        let replaced = (self.scenario.churn * self.scenario.endpoints as f64) as u64;
        for number in 0..replaced {
            // In ten batches, as records change that often rather than for each endpoint.
            let batch = 1 + number * 10 / replaced.max(1);
            let at = self.scenario.duration_s * 1_000 * batch / 12;
            self.at(at, Event::Replace { crash: number % 2 == 0 });
        }
    }

    /// Plays the turns and the events in order of time, until the last turn was sent.
    fn play(&mut self) {
        for (index, turn) in self.turns.iter().enumerate() {
            while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
                if at > turn.at {
                    break;
                }
                self.events.pop();
                self.handle(at, event);
            }
            self.send(index, turn.at, 1, turn.at);
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::End { sidecar, key } => self.end(sidecar, key, now),
            Event::Send { turn, sent_at, tries } => self.send(turn, sent_at, tries, now),
            Event::Second => self.second(now),
            Event::Replace { crash } => self.replace(crash, now),
            Event::Publish { gone } => self.publish(gone, now),
        }
    }

    fn send(&mut self, index: usize, sent_at: u64, tries: u32, now: u64) {
        let turn = &self.turns[index];
        let mut order = TryOrder::new(self.candidates(turn, now));
        let mut hops = 0;
        let mut come_back_ms = u64::MAX;
        while let Some(next) = order.next_try() {
            hops += 1;
            let sent = Sent { index, sent_at, hops };
            match self.try_at(sent, &next, now) {
                Answer::Taken => return,
                Answer::Refused(refusal) => {
                    come_back_ms = come_back_ms.min(refusal.retry_after_ms);
                    if refusal.reason == RefuseReason::OverBound {
                        order.refused(refusal.load);
                    }
                }
                Answer::Gone => come_back_ms = come_back_ms.min(1_000),
            }
        }
        if tries >= MAX_TRIES {
            self.tally.dropped += 1;
            return;
        }
        self.tally.come_back += 1;
        let at = now + come_back_ms.clamp(1, 5_000);
        self.at(at, Event::Send { turn: index, sent_at, tries: tries + 1 });
    }

    fn candidates(&mut self, turn: &Turn, now: u64) -> Vec<Candidate> {
        if self.strategy == Strategy::Reference {
            return self.reference_candidate(turn, now);
        }
        let draw = self.rng.next_u64();
        let holders = self.tokens.get(&turn.chat).map_or(&[][..], ChatToken::holders);
        let req = PlaceRequest {
            chat: turn.chat,
            target: self.fleet.target(turn.model),
            holders,
            allowed: &[],
            prompt_tokens: turn.prompt_tokens,
            tokens_to_generate: turn.max_tokens(),
        };
        self.strategy.place(&req, &self.fleet.directories[turn.router], MonoMs(now), draw)
    }

    /// The open endpoint that holds most of the prefix, or else the first open one in rank.
    fn reference_candidate(&self, turn: &Turn, now: u64) -> Vec<Candidate> {
        let open = |number: &&usize| self.fleet.sidecars[**number].is_open(now);
        let all: Vec<usize> =
            self.fleet.of_model(turn.model).iter().filter(open).copied().collect();
        let held = |number: &usize| self.fleet.sidecars[*number].held(turn.chat, now);
        let best = all.iter().copied().max_by_key(|number| (held(number), Reverse(*number)));
        let holder = best.filter(|number| held(number) > 0);
        let hashes = all.iter().map(|number| (self.fleet.sidecars[*number].hash, 1));
        let first = || persimmon_decide::load::rank_by_slots(turn.chat, hashes).first().copied();
        let endpoint = holder.map(|number| self.fleet.sidecars[number].hash).or_else(first);
        endpoint.into_iter().map(Candidate::new).collect()
    }

    fn try_at(&mut self, sent: Sent, next: &Try, now: u64) -> Answer {
        let turn = &self.turns[sent.index];
        let endpoint = next.candidate.endpoint;
        let alive = |number: &usize| self.fleet.sidecars[*number].is_alive(now);
        let Some(number) = self.fleet.index_of(endpoint).filter(alive) else {
            let until = MonoMs(now + SUSPECT_MS);
            self.fleet.directories[turn.router].suspect(endpoint, until);
            return Answer::Gone;
        };
        if !self.fleet.sidecars[number].is_open(now) {
            self.tally.refusals += 1;
            self.fleet.directories[turn.router].set_leaving(endpoint, true);
            return Answer::Gone;
        }
        let admitted = self.prepare(sent, &next.candidate, number, now);
        let decision = self.offer(number, &admitted, next.told_per_slot, now);
        let load = self.fleet.sidecars[number].admission.load();
        self.fleet.directories[turn.router].report(endpoint, load, MonoMs(now));
        match decision {
            Decision::Refuse(refusal) => {
                self.tally.refusals += 1;
                let for_load = refusal.reason == RefuseReason::OverBound;
                self.tally.refused_for_load += u64::from(for_load);
                return Answer::Refused(refusal);
            }
            Decision::Start(key) => {
                self.take(number, key, admitted, now);
                self.start(number, key, now, sent.hops);
            }
            Decision::Wait { key, .. } => self.take(number, key, admitted, now),
        }
        Answer::Taken
    }

    /// What the sidecar finds: the prefix that its engine holds, and what it may import.
    fn prepare(&self, sent: Sent, candidate: &Candidate, number: usize, now: u64) -> Admitted {
        let turn = &self.turns[sent.index];
        let sidecar = &self.fleet.sidecars[number];
        let held = sidecar.held(turn.chat, now).min(turn.prompt_tokens);
        let from = candidate.import_from.filter(|_| self.strategy.imports());
        let from = from.and_then(|holder| self.fleet.index_of(holder.endpoint));
        let there = from.map_or(0, |from| self.fleet.sidecars[from].held(turn.chat, now));
        let missing = there.min(turn.prompt_tokens).saturating_sub(held);
        let allowed = sidecar.imports.available(MonoMs(now)) >= u64::from(missing);
        let imported = if allowed { missing } else { 0 };
        Admitted::new(sent.index, turn, held + imported, imported, sent.sent_at)
    }

    fn offer(
        &mut self,
        number: usize,
        admitted: &Admitted,
        told_per_slot: Option<f64>,
        now: u64,
    ) -> Decision {
        let turn = &self.turns[admitted.turn];
        let offer = Offer {
            workspace: self.workspaces[turn.workspace].clone(),
            class: turn.class,
            work: admitted.work(),
            deadline: None,
            told_per_slot,
            in_progress_limit: IN_PROGRESS_LIMIT,
        };
        let sidecar = &mut self.fleet.sidecars[number];
        sidecar.progress(self.turns, now);
        sidecar.admission.offer(&offer, MonoMs(now))
    }

    fn take(&mut self, number: usize, key: AdmittedKey, admitted: Admitted, now: u64) {
        let sidecar = &mut self.fleet.sidecars[number];
        sidecar.imports.take(u64::from(admitted.imported_tokens), MonoMs(now));
        sidecar.admitted.insert(key, admitted);
        if self.turns[admitted.turn].at >= Scenario::WARM_UP_S * 1_000 {
            self.tally.reused_tokens +=
                u64::from(admitted.reused_tokens - admitted.imported_tokens);
            self.tally.imported_tokens += u64::from(admitted.imported_tokens);
            self.tally.import_cost_tokens += import_cost(admitted.imported_tokens);
            self.tally.prompt_tokens += u64::from(self.turns[admitted.turn].prompt_tokens);
        }
    }

    fn start(&mut self, number: usize, key: AdmittedKey, now: u64, hops: u64) {
        let Some(admitted) = self.fleet.sidecars[number].admitted.get_mut(&key) else { return };
        admitted.started_at = Some(now);
        let turn = &self.turns[admitted.turn];
        let ends_at = now + admitted.run_ms(turn);
        if turn.at >= Scenario::WARM_UP_S * 1_000 {
            self.tally.started += 1;
            let wait_ms = now - admitted.sent_at + hops * Scenario::HOP_MS;
            self.tally.count_wait(turn.class, wait_ms);
        }
        self.at(ends_at, Event::End { sidecar: number, key });
    }

    fn end(&mut self, number: usize, key: AdmittedKey, now: u64) {
        let sidecar = &mut self.fleet.sidecars[number];
        if !sidecar.is_alive(now) {
            return;
        }
        let Some(ended) = sidecar.admitted.remove(&key) else { return };
        let turn = &self.turns[ended.turn];
        let tokens = turn.prompt_tokens + turn.generated_tokens;
        sidecar.cache.insert(turn.chat, tokens);
        let holder = Holder { endpoint: sidecar.hash, tokens, at: UnixMs(now) };
        let due = sidecar.admission.finish(key, MonoMs(now));
        let token = self.tokens.remove(&turn.chat).unwrap_or_else(|| ChatToken::new(turn.chat));
        self.tokens.insert(turn.chat, token.with_holder(holder));
        self.start_due(number, &due, now);
    }

    fn start_due(&mut self, number: usize, due: &Due, now: u64) {
        for key in &due.started {
            self.start(number, *key, now, 1);
        }
    }

    fn second(&mut self, now: u64) {
        for number in 0..self.fleet.sidecars.len() {
            if self.fleet.sidecars[number].is_alive(now) {
                let due = self.fleet.sidecars[number].admission.tick(MonoMs(now));
                self.start_due(number, &due, now);
            }
        }
        self.fleet.digest(self.scenario, self.turns, now, &mut self.rng);
        if now >= Scenario::WARM_UP_S * 1_000 && self.strategy != Strategy::Reference {
            self.sample_skew(now);
        }
        self.at(now + 1_000, Event::Second);
    }

    fn sample_skew(&mut self, now: u64) {
        for model in 0..self.scenario.models {
            let open = |number: &&usize| self.fleet.sidecars[**number].is_open(now);
            let loads: Vec<LoadReport> = self
                .fleet
                .of_model(model)
                .iter()
                .filter(open)
                .map(|number| self.fleet.sidecars[*number].admission.load())
                .collect();
            self.tally.skew.sample(&loads, &self.scenario.deployment.policy);
        }
    }

    fn replace(&mut self, crash: bool, now: u64) {
        let open: Vec<usize> = (0..self.fleet.sidecars.len())
            .filter(|number| self.fleet.sidecars[*number].is_open(now))
            .collect();
        let gone = open[self.rng.random_range(0..open.len())];
        let sidecar = &mut self.fleet.sidecars[gone];
        if crash {
            sidecar.gone_at = Some(now);
            let lost: Vec<Admitted> = sidecar.admitted.drain().map(|(_, lost)| lost).collect();
            self.send_again(lost, now);
        } else {
            sidecar.leaving_at = Some(now);
            sidecar.gone_at = Some(now + LEAVE_MS);
        }
        self.at(now + LEARN_MS, Event::Publish { gone });
    }

    /// Callers send requests that a crash cut off again.
    fn send_again(&mut self, mut lost: Vec<Admitted>, now: u64) {
        lost.sort_by_key(|lost| lost.turn);
        for lost in lost {
            self.tally.cut += 1;
            let again = Event::Send { turn: lost.turn, sent_at: now + 1_000, tries: 1 };
            self.at(now + 1_000, again);
        }
    }

    /// Changes that fall together reach the routers as one generation of the records.
    fn publish(&mut self, gone: usize, now: u64) {
        self.fleet.add(self.fleet.sidecars[gone].model);
        self.fleet.unlist(gone);
        let next = self.events.peek();
        let more = next.is_some_and(|Reverse((at, _, event))| {
            *at == now && matches!(event, Event::Publish { .. })
        });
        if !more {
            self.fleet.publish();
        }
    }
}
