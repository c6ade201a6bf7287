//! Trials of requests that are refused because endpoints crashed while they ran such requests.

use std::collections::HashMap;
use std::net::IpAddr;

use super::Quarantined;
use super::gateway_rank::GatewayRank;
use crate::MonoMs;

/// A suspect that is refused, or was since its last answer.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Start of the latest refusal.
    since: MonoMs,
    /// Number of trials that this gateway has sent, and the time of the last one.
    tries: usize,
    tried_at: MonoMs,
}

/// Decides when a gateway sends one request with a refused suspect all the same.
///
/// Handles endpoints that fail for other reasons while most requests share a part: what is refused is no
/// longer answered, so that only a trial shows that it is sound. A trial may crash one more endpoint.
/// The gateways therefore take turns, in an order that all of them know, and cease after a few.
#[derive(Debug, Default)]
pub(super) struct CrashTrials {
    /// Order of the gateways that take turns.
    rank: GatewayRank,
    refusals: HashMap<Quarantined, Refusal>,
}

impl CrashTrials {
    /// Time from the refusal to the first trial, in milliseconds. Requests that were sent before are
    /// answered or lost by then.
    const FIRST_MS: u64 = 1_000;
    /// Time after the first trial could be sent from which an endpoint needn't have shown that it lives,
    /// in milliseconds. It only can if there are requests without the suspect, or if it starts again.
    const UNPROVEN_MS: u64 = 4_000;
    /// Length of a gateway's turn, in milliseconds: the platform removes the record of an endpoint that
    /// a trial has silenced within it.
    const TURN_MS: u64 = 10_000;
    /// Number of trials without an answer, of all gateways, after which there are no more.
    const MAX_FAILED: usize = 2;
    /// Subject of the order of gateways. It is the same for all suspects, so that a request with
    /// several of them can be a trial.
    const SUBJECT: u64 = 0;

    /// Sets the gateways that take turns: this one and those that it hears.
    pub(super) fn set_gateways(
        &mut self,
        own: IpAddr,
        heard: impl Iterator<Item = IpAddr> + Clone,
    ) {
        self.rank.set(own, heard);
    }

    /// Records that a suspect is refused from now on.
    pub(super) fn record_refused(&mut self, suspect: Quarantined, now: MonoMs) {
        let new = Refusal { since: now, tries: 0, tried_at: MonoMs(0) };
        self.refusals.entry(suspect).or_insert(new).since = now;
    }

    /// Records that a request with a refused suspect is sent.
    pub(super) fn record_trial(&mut self, suspect: Quarantined, now: MonoMs) {
        if let Some(refusal) = self.refusals.get_mut(&suspect) {
            refusal.tries += 1;
            refusal.tried_at = now;
        }
    }

    /// Records that a suspect was answered, so that a later refusal has trials of its own.
    pub(super) fn record_answered(&mut self, suspect: Quarantined) {
        self.refusals.remove(&suspect);
    }

    /// Reports whether this gateway may send a request with a refused suspect. `sent_at` are the times
    /// at which the requests were sent under which endpoints crashed.
    pub(super) fn is_due(
        &self,
        suspect: Quarantined,
        sent_at: impl Iterator<Item = MonoMs>,
        now: MonoMs,
    ) -> bool {
        let Some(refusal) = self.refusals.get(&suspect) else { return false };
        let Refusal { since, tries, tried_at } = *refusal;
        let first = since.plus_ms(Self::FIRST_MS);
        if now < first {
            return false;
        }
        let turn = |at: MonoMs| at.ms_since(first) / Self::TURN_MS;
        let is_tried = tried_at >= first && turn(tried_at) == turn(now);
        // Other gateways refuse the suspect up to some hundred milliseconds earlier.
        let trials_from = since.plus_ms(Self::FIRST_MS / 2);
        let failed = sent_at.filter(|at| *at > trials_from).count();
        let (rank, gateways) =
            (self.rank.before_own(Self::SUBJECT) as u64, self.rank.gateways() as u64);
        let may_try = !is_tried && tries < Self::MAX_FAILED && failed < Self::MAX_FAILED;
        may_try && turn(now) % gateways == rank
    }

    /// Reports whether a request with a refused suspect may be tried at an endpoint that last showed at
    /// `alive_at` that it lives.
    pub(super) fn allows_endpoint(
        &self,
        suspect: Quarantined,
        alive_at: Option<MonoMs>,
        now: MonoMs,
    ) -> bool {
        let Some(refusal) = self.refusals.get(&suspect) else { return false };
        let unproven_from = refusal.since.plus_ms(Self::FIRST_MS + Self::UNPROVEN_MS);
        alive_at.is_some_and(|at| at > refusal.since) || now >= unproven_from
    }

    /// Removes the suspects for which `is_kept` is false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(Quarantined) -> bool) {
        self.refusals.retain(|suspect, _| is_kept(*suspect));
    }
}
