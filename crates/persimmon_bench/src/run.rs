//! The event loop that sends a workload through a simulated fleet.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use persimmon_decide::MonoMs;
use persimmon_decide::load::{AdmittedKey, ChatKey, ChatToken, Holder, LoadReport, QueueUpdate};
use persimmon_records::{UnixMs, WorkspaceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Admitted, Bound, Fleet, Scenario, Strategy, Tally, Turn};

/// Delay until the published records replace an endpoint that leaves or has crashed, in
/// milliseconds.
const PUBLISH_DELAY_MS: u64 = 3_000;

/// Time for which a leaving endpoint finishes its requests and serves its cache to other endpoints,
/// in milliseconds.
const DRAIN_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    End { sidecar: usize, key: AdmittedKey },
    Send { turn: usize, sent_at: u64, tries: u32 },
    Tick,
    Replace { crash: bool },
    Publish { gone: usize },
}

/// Runs a workload with one strategy and returns its counts.
pub fn run(scenario: &Scenario, turns: &[Turn], strategy: Strategy) -> Tally {
    let mut run = Run::new(scenario, turns, strategy);
    run.schedule_churn();
    run.schedule(0, Event::Tick);
    run.process_events();
    run.tally
}

/// State of a run in progress.
pub(crate) struct Run<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) turns: &'a [Turn],
    pub(crate) strategy: Strategy,
    pub(crate) fleet: Fleet,
    pub(crate) tokens: HashMap<ChatKey, ChatToken>,
    pub(crate) workspaces: Vec<WorkspaceName>,
    pub(crate) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(crate) sequence: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) tally: Tally,
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

    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_churn(&mut self) {
        let replaced = (self.scenario.churn * self.scenario.endpoints as f64) as u64;
        for number in 0..replaced {
            // Endpoints are replaced in ten batches, since new records are published at that rate
            // rather than for each endpoint.
            let batch = 1 + number * 10 / replaced.max(1);
            let at = self.scenario.duration_s * 1_000 * batch / 12;
            self.schedule(at, Event::Replace { crash: number % 2 == 0 });
        }
    }

    /// Processes turns and events in order of time until the last turn has been sent.
    fn process_events(&mut self) {
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
            Event::Tick => self.tick(now),
            Event::Replace { crash } => self.replace_endpoint(crash, now),
            Event::Publish { gone } => self.publish(gone, now),
        }
    }

    pub(crate) fn start(&mut self, number: usize, key: AdmittedKey, now: u64, hops: u64) {
        let Some(admitted) = self.fleet.sidecars[number].admitted.get_mut(&key) else { return };
        admitted.started_at = Some(now);
        let turn = &self.turns[admitted.turn];
        let ends_at = now + admitted.run_ms(turn);
        if turn.at >= Scenario::WARM_UP_S * 1_000 {
            self.tally.started += 1;
            let wait_ms = now - admitted.sent_at + hops * Scenario::ROUND_TRIP_MS;
            self.tally.count_wait(turn.class, wait_ms);
        }
        self.schedule(ends_at, Event::End { sidecar: number, key });
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
        let update = sidecar.admission.finish(key, MonoMs(now));
        let token = self.tokens.remove(&turn.chat).unwrap_or_else(|| ChatToken::new(turn.chat));
        self.tokens.insert(turn.chat, token.with_holder(holder));
        self.start_queued(number, &update, now);
    }

    fn start_queued(&mut self, number: usize, update: &QueueUpdate, now: u64) {
        for key in &update.started {
            self.start(number, *key, now, 1);
        }
    }

    fn tick(&mut self, now: u64) {
        for number in 0..self.fleet.sidecars.len() {
            if self.fleet.sidecars[number].is_alive(now) {
                let update = self.fleet.sidecars[number].admission.tick(MonoMs(now));
                self.start_queued(number, &update, now);
            }
        }
        self.fleet.deliver_digest(self.scenario, self.turns, now, &mut self.rng);
        if now >= Scenario::WARM_UP_S * 1_000 && self.strategy != Strategy::Reference {
            self.sample_skew(now);
        }
        self.schedule(now + 1_000, Event::Tick);
    }

    fn sample_skew(&mut self, now: u64) {
        for model in 0..self.scenario.models {
            let open = |number: &&usize| self.fleet.sidecars[**number].is_open(now);
            let loads: Vec<LoadReport> = self
                .fleet
                .endpoints_of_model(model)
                .iter()
                .filter(open)
                .map(|number| self.fleet.sidecars[*number].admission.load())
                .collect();
            self.tally.skew.sample(&loads, &self.scenario.deployment.policy);
        }
    }

    fn replace_endpoint(&mut self, crash: bool, now: u64) {
        let open: Vec<usize> = (0..self.fleet.sidecars.len())
            .filter(|number| self.fleet.sidecars[*number].is_open(now))
            .collect();
        let gone = open[self.rng.random_range(0..open.len())];
        let sidecar = &mut self.fleet.sidecars[gone];
        if crash {
            sidecar.gone_at = Some(now);
            let lost: Vec<Admitted> = sidecar.admitted.drain().map(|(_, lost)| lost).collect();
            self.resend(lost, now);
        } else {
            sidecar.leaving_at = Some(now);
            sidecar.gone_at = Some(now + DRAIN_MS);
        }
        self.schedule(now + PUBLISH_DELAY_MS, Event::Publish { gone });
    }

    /// Schedules the requests that a crash cut off to be sent again by their callers.
    fn resend(&mut self, mut lost: Vec<Admitted>, now: u64) {
        lost.sort_by_key(|lost| lost.turn);
        for lost in lost {
            self.tally.cut += 1;
            let again = Event::Send { turn: lost.turn, sent_at: now + 1_000, tries: 1 };
            self.schedule(now + 1_000, again);
        }
    }

    /// Replaces an endpoint in the records. Changes at the same time are published together, as one
    /// generation.
    fn publish(&mut self, gone: usize, now: u64) {
        self.fleet.add(self.fleet.sidecars[gone].model);
        self.fleet.remove_from_records(gone);
        let next = self.events.peek();
        let more = next.is_some_and(|Reverse((at, _, event))| {
            *at == now && matches!(event, Event::Publish { .. })
        });
        if !more {
            self.fleet.publish();
        }
    }
}
