//! Offers each request to sidecars, one after the other, as a router does.

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

/// Number of times that a caller sends a request before giving up.
const MAX_TRIES: u32 = 8;

/// Time for which a router marks an endpoint that doesn't respond as suspect, in milliseconds.
const SUSPECT_MS: u64 = 10_000;

const IN_PROGRESS_LIMIT: u32 = 64;

/// A turn that is offered to endpoints.
#[derive(Debug, Clone, Copy)]
struct OfferedTurn {
    index: usize,
    sent_at: u64,
    hops: u64,
}

enum OfferResult {
    Admitted,
    Refused(Refusal),
    Unavailable,
}

impl Run<'_> {
    /// Offers a turn to its candidates in order. If none admits it, schedules a retry, or counts
    /// the turn as dropped after [`MAX_TRIES`].
    pub(crate) fn send(&mut self, index: usize, sent_at: u64, tries: u32, now: u64) {
        let turn = &self.turns[index];
        let mut order = TryOrder::new(self.candidates(turn, now));
        let mut hops = 0;
        let mut retry_after_ms = u64::MAX;
        while let Some(next) = order.next_try() {
            hops += 1;
            let offered = OfferedTurn { index, sent_at, hops };
            match self.offer_to(offered, &next, now) {
                OfferResult::Admitted => return,
                OfferResult::Refused(refusal) => {
                    retry_after_ms = retry_after_ms.min(refusal.retry_after_ms);
                    if refusal.reason == RefuseReason::OverBound {
                        order.refused(refusal.load);
                    }
                }
                OfferResult::Unavailable => retry_after_ms = retry_after_ms.min(1_000),
            }
        }
        if tries >= MAX_TRIES {
            self.tally.dropped += 1;
            return;
        }
        self.tally.retries += 1;
        let at = now + retry_after_ms.clamp(1, 5_000);
        self.schedule(at, Event::Send { turn: index, sent_at, tries: tries + 1 });
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

    /// Returns the open endpoint that has cached most of the chat's prefix, or the first open one
    /// in rendezvous rank if none has cached any.
    fn reference_candidate(&self, turn: &Turn, now: u64) -> Vec<Candidate> {
        let open = |number: &&usize| self.fleet.sidecars[**number].is_open(now);
        let all: Vec<usize> =
            self.fleet.endpoints_of_model(turn.model).iter().filter(open).copied().collect();
        let cached = |number: &usize| self.fleet.sidecars[*number].cached_tokens(turn.chat, now);
        let best = all.iter().copied().max_by_key(|number| (cached(number), Reverse(*number)));
        let holder = best.filter(|number| cached(number) > 0);
        let hashes = all.iter().map(|number| (self.fleet.sidecars[*number].hash, 1));
        let first = || persimmon_decide::load::rank_by_slots(turn.chat, hashes).first().copied();
        let endpoint = holder.map(|number| self.fleet.sidecars[number].hash).or_else(first);
        endpoint.into_iter().map(Candidate::new).collect()
    }

    fn offer_to(&mut self, offered: OfferedTurn, next: &Try, now: u64) -> OfferResult {
        let turn = &self.turns[offered.index];
        let endpoint = next.candidate.endpoint;
        let alive = |number: &usize| self.fleet.sidecars[*number].is_alive(now);
        let Some(number) = self.fleet.index_of(endpoint).filter(alive) else {
            let until = MonoMs(now + SUSPECT_MS);
            self.fleet.directories[turn.router].mark_suspect(endpoint, until);
            return OfferResult::Unavailable;
        };
        if !self.fleet.sidecars[number].is_open(now) {
            self.tally.refusals += 1;
            self.fleet.directories[turn.router].set_leaving(endpoint, true);
            return OfferResult::Unavailable;
        }
        let admitted = self.prepare(offered, &next.candidate, number, now);
        let decision = self.offer(number, &admitted, next.refused_mean_per_slot, now);
        let load = self.fleet.sidecars[number].admission.load();
        self.fleet.directories[turn.router].record_report(endpoint, load, MonoMs(now));
        match decision {
            Decision::Refuse(refusal) => {
                self.tally.refusals += 1;
                let for_load = refusal.reason == RefuseReason::OverBound;
                self.tally.refused_for_load += u64::from(for_load);
                return OfferResult::Refused(refusal);
            }
            Decision::Start(key) => {
                self.admit(number, key, admitted, now);
                self.start(number, key, now, offered.hops);
            }
            Decision::Wait { key, .. } => self.admit(number, key, admitted, now),
        }
        OfferResult::Admitted
    }

    /// Returns the request as the sidecar would admit it, with the tokens that its engine has
    /// cached and those that it may import.
    fn prepare(
        &self,
        offered: OfferedTurn,
        candidate: &Candidate,
        number: usize,
        now: u64,
    ) -> Admitted {
        let turn = &self.turns[offered.index];
        let sidecar = &self.fleet.sidecars[number];
        let cached = sidecar.cached_tokens(turn.chat, now).min(turn.prompt_tokens);
        let from = candidate.import_from.filter(|_| self.strategy.imports());
        let from = from.and_then(|holder| self.fleet.index_of(holder.endpoint));
        let cached_at_holder =
            from.map_or(0, |from| self.fleet.sidecars[from].cached_tokens(turn.chat, now));
        let missing = cached_at_holder.min(turn.prompt_tokens).saturating_sub(cached);
        let allowed = sidecar.imports.available(MonoMs(now)) >= u64::from(missing);
        let imported = if allowed { missing } else { 0 };
        Admitted::new(offered.index, turn, cached + imported, imported, offered.sent_at)
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

    fn admit(&mut self, number: usize, key: AdmittedKey, admitted: Admitted, now: u64) {
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
