//! What gateways tell each other of crashes, and what they make of it.

use super::super::crash_reports::{age_ms, before};
use super::super::crash_suspects::Crash;
use super::super::{AnswerReport, CrashReport, CrashReports, Quarantined, RefusalReport};
use super::{CrashTracker, with_past};
use crate::{Fingerprint, MonoMs};

impl CrashTracker {
    /// Records the crashes and answers that a peer reports.
    pub fn record_peer_reports(&mut self, reports: &CrashReports, now: MonoMs) {
        let now = with_past(now);
        let content = |id| Quarantined::Content(Fingerprint(id));
        let part = Quarantined::Part;
        let mut is_new = false;
        let contents = reports.contents.iter().map(|it| (content(it.suspect), it));
        let parts = reports.parts.iter().map(|it| (part(it.suspect), it));
        for (suspect, report) in contents.chain(parts) {
            let at = before(now, report.age_ms);
            let sent_at = before(at, report.ran_ms);
            let CrashReport { endpoint, requests, .. } = *report;
            let crash = Crash { endpoint, sent_at, at, requests };
            is_new |= self.record_peer_crash(suspect, crash, now);
        }
        let contents = reports.content_answers.iter().map(|it| (content(it.suspect), it));
        let parts = reports.part_answers.iter().map(|it| (part(it.suspect), it));
        for (suspect, report) in contents.chain(parts) {
            is_new |= self.record_answer(suspect, before(now, report.age_ms), now);
        }
        let contents = reports.content_refusals.iter().map(|it| (content(it.suspect), it));
        let parts = reports.part_refusals.iter().map(|it| (part(it.suspect), it));
        for (suspect, report) in contents.chain(parts) {
            self.record_peer_refusal(suspect, report, now);
        }
        if is_new {
            self.find_causes(now);
        }
    }

    fn record_peer_refusal(&mut self, suspect: Quarantined, report: &RefusalReport, now: MonoMs) {
        let answered_at = self.suspects.last_answer(suspect, now);
        let refused_at = before(now, report.refused_ms);
        if answered_at.is_none_or(|at| refused_at > at) {
            let (records, id) = self.suspects.records_mut(suspect);
            records.record_refused(id, refused_at);
        }
        for trial in &report.trials {
            self.trials.record_peer_trial(suspect, trial, answered_at, now);
        }
    }

    /// Records a crash that a peer reports, unless it was followed by an answer here, of which the
    /// peer is then told. Returns whether it adds to what is known of the endpoints.
    fn record_peer_crash(&mut self, suspect: Quarantined, crash: Crash, now: MonoMs) -> bool {
        let (records, id) = self.suspects.records_mut(suspect);
        let answered = records.last_answer(id, now).filter(|at| crash.at < *at);
        let Some(at) = answered else { return records.record_peer_crash(id, crash, now) };
        if now.ms_since(at) <= Self::CLEARED_MS {
            self.record_cleared(suspect, at);
        }
        false
    }

    /// Returns what the other gateways need first, with at most `count` crashes each of contents and
    /// of parts.
    pub fn reports(&self, count: usize, now: MonoMs) -> CrashReports {
        let now = with_past(now);
        let report = |(suspect, crash): (u64, Crash)| CrashReport {
            suspect,
            endpoint: crash.endpoint,
            age_ms: age_ms(crash.at, now),
            ran_ms: age_ms(crash.sent_at, crash.at),
            requests: crash.requests,
        };
        let contents = self.suspects.contents.most_urgent(count, now).into_iter();
        let parts = self.suspects.parts.most_urgent(count, now).into_iter();
        CrashReports {
            contents: contents.map(report).collect(),
            parts: parts.map(report).collect(),
            content_answers: self.recent_answers(now, content_id),
            part_answers: self.recent_answers(now, part_id),
            content_refusals: self.refusals(now, content_id),
            part_refusals: self.refusals(now, part_id),
        }
    }

    /// Returns what is refused of one kind, that with an ID, the likeliest causes first.
    fn refusals(&self, now: MonoMs, id: impl Fn(Quarantined) -> Option<u64>) -> Vec<RefusalReport> {
        let report = |it: &super::Cause| {
            Some(RefusalReport {
                suspect: id(it.refused)?,
                refused_ms: age_ms(self.suspects.last_refused(it.refused), now),
                trials: self.trials.reports(it.refused, now),
            })
        };
        self.causes.iter().filter_map(report).take(Self::MAX_REFUSALS).collect()
    }

    /// Returns the suspects of one kind, those with an ID, that were answered recently, the latest
    /// first.
    fn recent_answers(
        &self,
        now: MonoMs,
        id: impl Fn(Quarantined) -> Option<u64>,
    ) -> Vec<AnswerReport> {
        let recent = self.cleared.iter().filter(|(_, at)| now.ms_since(*at) <= Self::CLEARED_MS);
        let report = |(suspect, at): &(Quarantined, MonoMs)| {
            Some(AnswerReport { suspect: id(*suspect)?, age_ms: age_ms(*at, now) })
        };
        recent.rev().filter_map(report).take(Self::MAX_CLEARED).collect()
    }
}

/// Returns the fingerprint of a content.
fn content_id(suspect: Quarantined) -> Option<u64> {
    match suspect {
        Quarantined::Content(content) => Some(content.0),
        Quarantined::Part(_) => None,
    }
}

/// Returns the ID of a part.
fn part_id(suspect: Quarantined) -> Option<u64> {
    match suspect {
        Quarantined::Part(part) => Some(part),
        Quarantined::Content(_) => None,
    }
}
