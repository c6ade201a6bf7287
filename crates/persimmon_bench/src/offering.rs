//! How routers offer a request to sidecars, one after the other.

use std::cmp::Reverse;

use persimmon_decide::MonoMs;
use persimmon_decide::load::{
    AdmittedKey, Candidate, ChatToken, Decision, Offer, PlacementRequest, Refusal, RefuseReason,
    Try, TryOrder,
};
use rand::Rng;

use crate::run::{Event, Run};
use crate::sidecar::import_cost;
use crate::{Admitted, Scenario, Strategy, Turn};

/// Times that a caller sends a request that every endpoint refuses.
const MAX_TRIES: u32 = 8;

/// How long a router avoids an endpoint that doesn't answer, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

const IN_PROGRESS_LIMIT: u32 = 64;

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

impl Run<'_> {
    /// Sends a turn for the first or a later time.
    pub(crate) fn send(&mut self, index: usize, sent_at: u64, tries: u32, now: u64) {
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
        let req = PlacementRequest {
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
            self.fleet.directories[turn.router].mark_suspect(endpoint, until);
            return Answer::Gone;
        };
        if !self.fleet.sidecars[number].is_open(now) {
            self.tally.refusals += 1;
            self.fleet.directories[turn.router].set_leaving(endpoint, true);
            return Answer::Gone;
        }
        let admitted = self.prepare(sent, &next.candidate, number, now);
        let decision = self.offer(number, &admitted, next.refused_mean_per_slot, now);
        let load = self.fleet.sidecars[number].admission.load();
        self.fleet.directories[turn.router].record_report(endpoint, load, MonoMs(now));
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
        refused_mean_per_slot: Option<f64>,
        now: u64,
    ) -> Decision {
        let turn = &self.turns[admitted.turn];
        let offer = Offer {
            workspace: self.workspaces[turn.workspace].clone(),
            class: turn.class,
            work: admitted.work(),
            deadline: None,
            refused_mean_per_slot,
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
}
