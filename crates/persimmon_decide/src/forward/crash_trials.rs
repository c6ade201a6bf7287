//! Trials of requests that are refused because endpoints crashed while they ran such requests.

use std::collections::HashMap;
use std::net::IpAddr;

use super::crash_reports::{age_ms, before};
use super::crash_suspects::Crash;
use super::gateway_rank::GatewayRank;
use super::{Quarantined, TrialReport};
use crate::load::EndpointHash;
use crate::{Fingerprint, MonoMs};

/// A request with a refused suspect that a gateway sent all the same.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// Number that no other trial of the suspect has.
    number: u64,
    sent_at: MonoMs,
    /// Whether it ended without showing anything.
    is_void: bool,
}

/// Trials of a suspect since its last answer, by any gateway.
#[derive(Debug, Default)]
struct Trials {
    all: Vec<Trial>,
    /// Number of the last one that this gateway sent, and the endpoint.
    own: Option<(u64, EndpointHash)>,
}

/// A suspect that is refused, or was since its last answer.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    /// Start of the latest refusal.
    since: MonoMs,
    /// Number of trials that this gateway has sent, and the time of the last one.
    tries: usize,
    tried_at: MonoMs,
}

impl Refusal {
    /// Returns the number of this gateway's trials that count.
    fn counted_tries(&self, now: MonoMs) -> usize {
        let is_recent = now.ms_since(self.tried_at) < CrashTrials::COUNTED_MS;
        if is_recent { self.tries } else { 0 }
    }
}

/// Decides when a gateway sends one request with a refused suspect all the same.
///
/// Handles endpoints that fail for other reasons while most requests share a part: what is refused is no
/// longer answered, so that only a trial shows that it is sound. A trial may crash one more endpoint.
/// The gateways therefore take turns, in an order that all of them know, and cease after a few. They tell
/// each other of each trial as it is sent, so that one that has started again doesn't begin to count anew.
#[derive(Debug, Default)]
pub(super) struct CrashTrials {
    /// Order of the gateways that take turns.
    rank: GatewayRank,
    refusals: HashMap<Quarantined, Refusal>,
    /// Trials of all gateways. A suspect may be refused by others before it is here.
    trials: HashMap<Quarantined, Trials>,
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
    /// Time after which a trial no longer counts, in milliseconds: that for which crashes are stored, so that what is
    /// still requested is tried again some time.
    const COUNTED_MS: u64 = 300_000;
    /// Time after the sending of a trial from which it shows nothing if nothing has become known of it, in
    /// milliseconds: the platform has removed the record of an endpoint that it has silenced by then.
    const VOID_MS: u64 = 30_000;
    /// Maximum number of trials of one suspect that are stored.
    const MAX_TRIALS: usize = 8;
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

    /// Records that a request with a refused suspect is sent to an endpoint.
    pub(super) fn record_trial(
        &mut self,
        suspect: Quarantined,
        endpoint: EndpointHash,
        now: MonoMs,
    ) {
        let number = self.rank.own().map_or(0, |own| {
            Fingerprint::of(format!("{own}/{}/{}", endpoint.0, now.0).as_bytes()).0
        });
        if let Some(refusal) = self.refusals.get_mut(&suspect) {
            refusal.tries = refusal.counted_tries(now) + 1;
            refusal.tried_at = now;
        }
        let trials = self.trials.entry(suspect).or_default();
        trials.own = Some((number, endpoint));
        trials.add(Trial { number, sent_at: now, is_void: false });
    }

    /// Records a trial that a peer reports, if it was sent after the suspect's last answer.
    pub(super) fn record_peer_trial(
        &mut self,
        suspect: Quarantined,
        report: &TrialReport,
        answered_at: Option<MonoMs>,
        now: MonoMs,
    ) {
        let sent_at = before(now, report.age_ms);
        if answered_at.is_none_or(|at| sent_at > at) {
            let trial = Trial { number: report.number, sent_at, is_void: report.is_void };
            self.trials.entry(suspect).or_default().add(trial);
        }
    }

    /// Records that nothing has become known of this gateway's last trial of a suspect, unless one of these endpoints
    /// crashed under it.
    fn record_void(
        &mut self,
        suspect: Quarantined,
        crashed: impl Iterator<Item = EndpointHash>,
        now: MonoMs,
    ) {
        let Some(trials) = self.trials.get_mut(&suspect) else { return };
        let Some((number, endpoint)) = trials.own else { return };
        let trial = trials.all.iter_mut().find(|it| it.number == number);
        let Some(trial) = trial.filter(|it| now.ms_since(it.sent_at) >= Self::VOID_MS) else {
            return;
        };
        trial.is_void |= !crashed.into_iter().any(|it| it == endpoint);
        trials.own = None;
    }

    /// Records that a suspect was answered, so that a later refusal has trials of its own.
    pub(super) fn record_answered(&mut self, suspect: Quarantined) {
        self.refusals.remove(&suspect);
        self.trials.remove(&suspect);
    }

    /// Returns the trials of a suspect, for the other gateways.
    pub(super) fn reports(&self, suspect: Quarantined, now: MonoMs) -> Vec<TrialReport> {
        let trials = self.trials.get(&suspect).into_iter().flat_map(|it| &it.all);
        let report = |it: &Trial| TrialReport {
            number: it.number,
            age_ms: age_ms(it.sent_at, now),
            is_void: it.is_void,
        };
        trials.map(report).collect()
    }

    /// Returns the number of trials that count.
    fn counted(&self, suspect: Quarantined, now: MonoMs) -> usize {
        let counts = |it: &&Trial| !it.is_void && now.ms_since(it.sent_at) < Self::COUNTED_MS;
        self.trials.get(&suspect).map_or(0, |it| it.all.iter().filter(counts).count())
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
        let Refusal { since, tried_at, .. } = *refusal;
        let tries = refusal.counted_tries(now);
        let first = since.plus_ms(Self::FIRST_MS);
        if now < first {
            return false;
        }
        let turn = |at: MonoMs| at.ms_since(first) / Self::TURN_MS;
        let is_tried = tried_at >= first && turn(tried_at) == turn(now);
        // Other gateways refuse the suspect up to some hundred milliseconds earlier.
        let trials_from = since.plus_ms(Self::FIRST_MS / 2);
        let counts = |at: &MonoMs| *at > trials_from && now.ms_since(*at) < Self::COUNTED_MS;
        let failed = sent_at.filter(counts).count();
        let (rank, gateways) =
            (self.rank.before_own(Self::SUBJECT) as u64, self.rank.gateways() as u64);
        let failed = failed.max(self.counted(suspect, now));
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

    /// Removes old trials, and the suspects without crashes. `crashed` returns the endpoints that crashed under one.
    pub(super) fn expire<'a>(&mut self, crashed: impl Fn(Quarantined) -> &'a [Crash], now: MonoMs) {
        let suspects: Vec<_> = self.trials.keys().copied().collect();
        for suspect in suspects {
            self.record_void(suspect, crashed(suspect).iter().map(|it| it.endpoint), now);
        }
        self.refusals.retain(|suspect, _| !crashed(*suspect).is_empty());
        for trials in self.trials.values_mut() {
            trials.all.retain(|it| now.ms_since(it.sent_at) < Self::COUNTED_MS);
        }
        self.trials.retain(|_, trials| !trials.all.is_empty());
    }
}

impl Trials {
    /// Adds a trial, or what is new of a known one.
    fn add(&mut self, trial: Trial) {
        let known = self.all.iter().position(|it| it.number == trial.number);
        match known {
            Some(index) => self.all[index].is_void |= trial.is_void,
            None if self.all.len() < CrashTrials::MAX_TRIALS => self.all.push(trial),
            None => {}
        }
    }
}
