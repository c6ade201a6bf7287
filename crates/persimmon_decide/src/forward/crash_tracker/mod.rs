//! Detection of requests that crash the endpoints that run them.

mod exchange;
mod known_suspects;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;

use known_suspects::KnownSuspects;

use super::crash_suspects::{Crash, likelihood};
use super::crash_trials::CrashTrials;
use super::lost_requests::{LostRequest, LostRequests};
use super::{Quarantined, RequestSignature};
use crate::MonoMs;
use crate::load::EndpointHash;

/// Something that is refused, and the endpoints that crashed under it.
#[derive(Debug)]
struct Cause {
    refused: Quarantined,
    endpoints: HashSet<EndpointHash>,
}

/// Whether a request may go to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing of the request is refused.
    Sound,
    /// Something of the request is refused, and this request tries it again.
    Trial,
    /// The request isn't sent.
    Refused,
}

/// Detects content and prompt parts that crash several endpoints, and refuses them from then on.
///
/// An answer that breaks off or stays away isn't a crash, since answers are also lost for other
/// reasons. It counts as one if the endpoint has ended: it refuses connections shortly afterwards,
/// another process answers at its address, or the platform removes or replaces its record. This
/// holds on every route, before and after the head of an answer. Gateways exchange the recorded
/// crashes, so that a caller that retries at another gateway is refused there too.
///
/// An endpoint that crashes takes all its requests with it, and only one of them is the cause. A
/// complete answer therefore clears the content and the parts of its request. For a while after one
/// it takes more crashes to refuse them. Many requests share a part, so that it is in progress at
/// many endpoints when they fail together for another reason; a crash of a part, or of content that
/// was answered shortly before, therefore counts only if its request was sent after the previous one
/// that counts. Of several suspects that were in progress at the same endpoints, only the likeliest is
/// blamed: the one that explains most crashes with the fewest requests. The gateways take turns to try
/// again what is refused, if many requests may share it, since nothing else could clear it. They do so
/// at endpoints that are known to live: where all endpoints have failed together, a request that is sent
/// to one that is still down would seem to have crashed it.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: KnownSuspects,
    /// What causes the recorded crashes, the likeliest first.
    causes: Vec<Cause>,
    lost: LostRequests,
    /// Suspects with a recent complete answer, with its time, for the other gateways.
    cleared: Vec<(Quarantined, MonoMs)>,
    trials: CrashTrials,
    /// Last time at which each endpoint sent data or was published for the first time.
    alive: HashMap<EndpointHash, MonoMs>,
    /// What was refused at the last change.
    quarantined: HashSet<Quarantined>,
    /// What is refused since the last call of [`Self::take_newly_refused`].
    newly_refused: Vec<Quarantined>,
}

impl CrashTracker {
    /// Maximum time between two pieces of data of an endpoint with requests, in milliseconds. A live
    /// engine sends data several times a second.
    pub const MAX_DATA_GAP_MS: u64 = 250;
    /// Number of crashed endpoints at which the tracker refuses content.
    const MAX_CRASHES: usize = 2;
    /// Number of successive crashes at which the tracker refuses content with a recent complete
    /// answer, if no other such answer follows.
    const MAX_CRASHES_ANSWERED: usize = 4;
    /// Number of successive crashes at which the tracker refuses a part.
    const MAX_PART_CRASHES: usize = 3;
    /// The same for a part with a recent complete answer. It is larger, since most requests share
    /// such a part, and while many endpoints are down, none of them may be answered for a while.
    const MAX_PART_CRASHES_ANSWERED: usize = 4;
    /// Time for which the other gateways are told of an answer that cleared a suspect, in
    /// milliseconds.
    const CLEARED_MS: u64 = 5_000;
    /// Maximum number of cleared contents, and of parts, of which the other gateways are told.
    const MAX_CLEARED: usize = 32;
    /// Maximum number of refused contents, and of parts, of which the other gateways are told.
    const MAX_REFUSALS: usize = 8;
    /// Time for which an endpoint's last sign of life is kept, in milliseconds: it spans the turns in
    /// which refused requests are tried again.
    const ALIVE_KEPT_MS: u64 = 60_000;

    /// Creates a tracker without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the gateways that try again what is refused: `own` and those that it hears.
    pub fn set_gateways(&mut self, own: IpAddr, heard: impl Iterator<Item = IpAddr> + Clone) {
        self.trials.set_gateways(own, heard);
    }

    /// Records that a request is sent to an endpoint. Returns whether it tries something again that is refused; the
    /// caller must then notify the other gateways immediately.
    pub fn begin(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        now: MonoMs,
    ) -> bool {
        let now = with_past(now);
        let mut is_trial = false;
        for suspect in suspects_of(request).filter(|it| self.quarantined.contains(it)) {
            self.trials.record_trial(suspect, endpoint, now);
            is_trial = true;
        }
        self.lost.begin(request, endpoint, now);
        is_trial
    }

    /// Records that a request was refused, so that what it was refused for stays known as long as callers send it.
    pub fn record_turned_away(&mut self, request: &RequestSignature, now: MonoMs) {
        let now = with_past(now);
        for suspect in suspects_of(request).filter(|it| self.quarantined.contains(it)) {
            let (records, id) = self.suspects.records_mut(suspect);
            records.record_refused(id, now);
        }
    }

    /// Records that the gateway no longer waits for an answer to a request sent at `sent_at`.
    pub fn end(&mut self, request: &RequestSignature, endpoint: EndpointHash, sent_at: MonoMs) {
        self.lost.end(request, endpoint, with_past(sent_at));
    }

    /// Records a complete answer to a request, which shows that neither its content nor its parts
    /// alone crash an endpoint. Returns whether any of them was refused; the caller must then notify
    /// the other gateways immediately.
    pub fn record_answered(&mut self, request: &RequestSignature, now: MonoMs) -> bool {
        self.accept_answer(request, with_past(now))
    }

    fn accept_answer(&mut self, request: &RequestSignature, now: MonoMs) -> bool {
        let was_refused = suspects_of(request).any(|it| self.quarantined.contains(&it));
        let mut is_cleared = false;
        for suspect in suspects_of(request) {
            if self.record_answer(suspect, now, now) {
                self.record_cleared(suspect, now);
                is_cleared = true;
            }
        }
        if is_cleared {
            self.find_causes(now);
        }
        was_refused
    }

    /// Records an answer at the time `at`. Returns whether it clears the suspect of earlier crashes.
    fn record_answer(&mut self, suspect: Quarantined, at: MonoMs, now: MonoMs) -> bool {
        let (records, id) = self.suspects.records_mut(suspect);
        let is_cleared = records.record_answered(id, at, now);
        if is_cleared {
            self.trials.record_answered(suspect);
        }
        is_cleared
    }

    /// Records that the other gateways are to be told of an answer at the time `at`.
    fn record_cleared(&mut self, suspect: Quarantined, at: MonoMs) {
        self.cleared.retain(|(it, _)| *it != suspect);
        self.cleared.push((suspect, at));
    }

    /// Records an answer that ended with its connection, and would have looked the same if the
    /// endpoint had crashed. It counts as complete once the endpoint has outlived it.
    pub fn record_closed(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        sent_at: MonoMs,
        now: MonoMs,
    ) {
        let (sent_at, now) = (with_past(sent_at), with_past(now));
        let lost = self.lost.add(LostRequest::closed(request, sent_at, now), endpoint, now);
        self.blame(lost, endpoint, now);
    }

    /// Records that an endpoint broke off its answer to a request sent at `sent_at`. Returns whether
    /// the request is blamed for the endpoint's end; the caller must then notify the other gateways
    /// immediately.
    pub fn record_unanswered(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        sent_at: MonoMs,
        now: MonoMs,
    ) -> bool {
        let (sent_at, now) = (with_past(sent_at), with_past(now));
        let lost = self.lost.add(LostRequest::broken(request, sent_at, now), endpoint, now);
        self.blame(lost, endpoint, now)
    }

    /// Records that the gateway gave up a request, sent at `sent_at`, at an endpoint that has sent
    /// nothing on any request since `silent_since`. It is blamed only if the endpoint ends without
    /// having sent anything more.
    pub fn record_silent(
        &mut self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        sent_at: MonoMs,
        silent_since: MonoMs,
    ) {
        let (sent_at, silent_since) = (with_past(sent_at), with_past(silent_since));
        if let Some(request) = LostRequest::silent(request, sent_at, silent_since) {
            let at = request.at;
            let lost = self.lost.add(request, endpoint, at);
            self.blame(lost, endpoint, at);
        }
    }

    /// Records that an endpoint sent data or has just started, so that it was only slow to answer requests
    /// that were given up.
    pub fn record_alive(&mut self, endpoint: EndpointHash, now: MonoMs) {
        self.alive.insert(endpoint, with_past(now));
        self.lost.record_alive(endpoint);
    }

    /// Records that an endpoint refuses connections, and blames the requests that it left without
    /// an answer just before. Returns whether any request is blamed; the caller must then notify the
    /// other gateways immediately.
    pub fn record_refused(&mut self, endpoint: EndpointHash, now: MonoMs) -> bool {
        let now = with_past(now);
        let lost = self.lost.take_refused(endpoint, now);
        self.blame(lost, endpoint, now)
    }

    /// Records that an endpoint has ended without having said that it leaves: another process
    /// answers at its address, or the platform has removed or replaced its record. Blames the
    /// requests that it left without an answer, and those that still wait for one if it has sent
    /// nothing `silent_since` then. Returns whether any request is blamed, as
    /// [`Self::record_refused`] does.
    pub fn record_ended(
        &mut self,
        endpoint: EndpointHash,
        silent_since: Option<MonoMs>,
        now: MonoMs,
    ) -> bool {
        let (silent_since, now) = (silent_since.map(with_past), with_past(now));
        let lost = self.lost.take_ended(endpoint, silent_since, now);
        self.blame(lost, endpoint, now)
    }

    /// Records that the platform publishes an endpoint, which thus hasn't ended. A record may also be
    /// removed because the endpoint couldn't renew it.
    pub fn record_published(&mut self, endpoint: EndpointHash) {
        self.lost.record_published(endpoint);
    }

    /// Records that an endpoint crashed while it ran these requests. Returns whether there are any.
    fn blame(
        &mut self,
        requests: impl IntoIterator<Item = LostRequest>,
        endpoint: EndpointHash,
        now: MonoMs,
    ) -> bool {
        let mut is_blamed = false;
        for LostRequest { signature, sent_at, at, .. } in requests {
            let crash = Crash { endpoint, sent_at, at, requests: 1 };
            for suspect in suspects_of(&signature) {
                let (records, id) = self.suspects.records_mut(suspect);
                records.record_crash(id, crash, now);
            }
            is_blamed = true;
        }
        if is_blamed {
            self.find_causes(now);
        }
        is_blamed
    }

    /// Determines what causes the recorded crashes: repeatedly the likeliest suspect that accounts
    /// for enough crashes that no likelier one explains.
    fn find_causes(&mut self, now: MonoMs) {
        self.causes.clear();
        for suspect in self.by_likelihood(now) {
            if self.is_refused(suspect, now) {
                let crashes = self.suspects.crashes(suspect, now);
                let endpoints = crashes.iter().map(|it| it.endpoint).collect();
                self.causes.push(Cause { refused: suspect, endpoints });
            }
        }
        let refused: HashSet<_> = self.causes.iter().map(|it| it.refused).collect();
        for suspect in refused.difference(&self.quarantined) {
            self.trials.record_refused(*suspect, now);
            self.newly_refused.push(*suspect);
        }
        self.quarantined = refused;
    }

    /// Returns all that may be a cause, the likeliest first.
    fn by_likelihood(&self, now: MonoMs) -> Vec<Quarantined> {
        let known = self.suspects.with_crashes(Self::MAX_CRASHES, Self::MAX_PART_CRASHES);
        let mut suspects: Vec<_> = known.collect();
        suspects.sort_by_cached_key(|suspect| {
            let is_answered = self.suspects.is_answered(*suspect, now);
            (Reverse(likelihood(self.suspects.crashes(*suspect, now), is_answered)), *suspect)
        });
        suspects
    }

    /// Reports whether a suspect accounts for enough crashes that no likelier cause explains.
    fn is_refused(&self, suspect: Quarantined, now: MonoMs) -> bool {
        let crashes = self.suspects.crashes(suspect, now);
        if crashes.len() < Self::MAX_CRASHES {
            return false;
        }
        let is_explained = |crash: &Crash| {
            let likelier = self.causes.iter().take_while(|it| it.refused != suspect);
            likelier.map(|it| &it.endpoints).any(|it| it.contains(&crash.endpoint))
        };
        let open = crashes.iter().filter(|it| !is_explained(it));
        match (suspect, self.suspects.is_answered(suspect, now)) {
            (Quarantined::Content(_), false) => open.count() >= Self::MAX_CRASHES,
            (Quarantined::Content(_), true) => count_successive(open) >= Self::MAX_CRASHES_ANSWERED,
            (Quarantined::Part(_), false) => count_successive(open) >= Self::MAX_PART_CRASHES,
            (Quarantined::Part(_), true) => {
                count_successive(open) >= Self::MAX_PART_CRASHES_ANSWERED
            }
        }
    }

    /// Reports whether a request is refused at any endpoint. It isn't if it is this gateway's turn to
    /// try again what the request would be refused for.
    pub fn refuses(&self, request: &RequestSignature, now: MonoMs) -> bool {
        let now = with_past(now);
        let is_refused = |it| self.is_refused(it, now) && !self.is_trial(it, request, now);
        suspects_of(request).any(is_refused)
    }

    /// Returns whether a request may go to an endpoint.
    pub fn verdict(
        &self,
        request: &RequestSignature,
        endpoint: EndpointHash,
        now: MonoMs,
    ) -> CrashVerdict {
        let now = with_past(now);
        let alive_at = self.alive.get(&endpoint).copied();
        let mut verdict = CrashVerdict::Sound;
        for suspect in suspects_of(request).filter(|it| self.is_refused(*it, now)) {
            let is_trial = self.is_trial(suspect, request, now);
            if !is_trial || !self.trials.allows_endpoint(suspect, alive_at, now) {
                return CrashVerdict::Refused;
            }
            verdict = CrashVerdict::Trial;
        }
        verdict
    }

    /// Reports whether the request may try again one of its suspects, `refused`.
    fn is_trial(&self, refused: Quarantined, request: &RequestSignature, now: MonoMs) -> bool {
        let is_other_cause =
            |it| !self.is_refused(it, now) && self.may_cause_instead(it, refused, now);
        self.is_trial_due(refused, now) && !suspects_of(request).any(is_other_cause)
    }

    fn is_trial_due(&self, suspect: Quarantined, now: MonoMs) -> bool {
        let sent_at = self.suspects.crashes(suspect, now).iter().map(|it| it.sent_at);
        // Few requests have a content in common that was never answered.
        let is_shared =
            matches!(suspect, Quarantined::Part(_)) || self.suspects.is_answered(suspect, now);
        is_shared && self.trials.is_due(suspect, sent_at, now)
    }

    /// Reports whether `suspect` may be the cause of crashes for which `refused` is refused: it was never
    /// answered, and is less common among the requests that endpoints lost.
    fn may_cause_instead(&self, suspect: Quarantined, refused: Quarantined, now: MonoMs) -> bool {
        let crashes = self.suspects.crashes(suspect, now).len();
        let is_less_common = 4 * crashes < 3 * self.suspects.crashes(refused, now).len();
        let is_answered = self.suspects.is_answered(suspect, now);
        crashes >= Self::MAX_CRASHES && is_less_common && !is_answered
    }

    /// Returns all that is refused.
    pub fn refused(&self, now: MonoMs) -> impl Iterator<Item = Quarantined> {
        let now = with_past(now);
        self.by_likelihood(now).into_iter().filter(move |suspect| self.is_refused(*suspect, now))
    }

    /// Reports whether anything is refused, or was cleared lately.
    pub fn has_refused_or_cleared(&self) -> bool {
        !self.quarantined.is_empty() || !self.cleared.is_empty()
    }

    /// Returns what is refused since the last call, for the log.
    pub fn take_newly_refused(&mut self) -> Vec<Quarantined> {
        std::mem::take(&mut self.newly_refused)
    }

    /// Accepts the answers whose endpoints have outlived them, and removes old entries.
    pub fn expire(&mut self, now: MonoMs) {
        let now = with_past(now);
        for request in self.lost.expire(now) {
            self.accept_answer(&request, now);
        }
        self.cleared.retain(|(_, at)| now.ms_since(*at) <= Self::CLEARED_MS);
        self.alive.retain(|_, at| now.ms_since(*at) < Self::ALIVE_KEPT_MS);
        self.find_causes(now);
        let suspects = &self.suspects;
        self.trials.expire(|it| suspects.crashes(it, now), now);
    }
}

/// Returns a time by the tracker's own clock, which begins earlier than that of the process: others tell a process that
/// has just started of what came before, and the order of these crashes matters.
fn with_past(at: MonoMs) -> MonoMs {
    const PAST_MS: u64 = 3_600_000;
    at.plus_ms(PAST_MS)
}

/// Returns what may make a request crash endpoints: its content, and each part of its prompt.
fn suspects_of(request: &RequestSignature) -> impl Iterator<Item = Quarantined> {
    let parts = request.parts.iter().map(|part| Quarantined::Part(*part));
    parts.chain([Quarantined::Content(request.content)])
}

/// Returns the number of crashes of which each request was sent after the previous crash. `crashes`
/// are in the order of their times, oldest first.
fn count_successive<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut last: Option<MonoMs> = None;
    let follows = |it: &&Crash| {
        let follows = last.is_none_or(|last| it.sent_at > last);
        if follows {
            last = Some(it.at);
        }
        follows
    };
    crashes.filter(follows).count()
}
