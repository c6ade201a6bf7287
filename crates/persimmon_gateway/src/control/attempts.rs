//! What the ends of attempts, and of endpoints, say.

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    AttemptEnd, CrashEvidence, CrashTracker, Endpoint, EndpointState, FailureReason, HealthTracker,
};
use persimmon_decide::load::EndpointHash;

use super::Control;
use crate::in_flight::Attempt;

impl Control {
    /// Records that an endpoint has ended. Returns whether content is blamed for it; the caller must
    /// then notify the other gateways.
    pub(crate) fn record_ended(&mut self, endpoint: &Endpoint, now: MonoMs) -> bool {
        let is_leaving =
            endpoint.state == EndpointState::Draining || self.directory.is_leaving(endpoint.hash);
        if is_leaving {
            return false;
        }
        let silent_since = self.silent_since(endpoint.hash, now);
        self.crashes.record_ended(endpoint.hash, silent_since, now)
    }

    /// Records how an attempt ended, whatever ended it. Returns whether the other gateways have to be
    /// told at once what crashes endpoints, or what doesn't.
    pub(crate) fn record_attempt_end(
        &mut self,
        attempt: &Attempt,
        end: AttemptEnd,
        now: MonoMs,
    ) -> bool {
        let Attempt { endpoint, signature, began, .. } = attempt;
        let hash = endpoint.hash;
        self.crashes.end(signature, hash, *began);
        let silent_ms = self.health.silent_ms(hash, now);
        let silent_since = MonoMs(now.0.saturating_sub(silent_ms));
        let evidence = end.crash_evidence_of(*began, silent_since);
        let stayed_away = evidence == CrashEvidence::StayedAway;
        let is_silent = stayed_away && silent_ms >= CrashTracker::MAX_DATA_GAP_MS;
        let must_tell = match evidence {
            CrashEvidence::Answered => self.crashes.record_answered(signature, now),
            CrashEvidence::AnsweredUnlessEnded => {
                self.crashes.record_closed(signature, hash, *began, now);
                false
            }
            CrashEvidence::Unanswered => {
                self.crashes.record_unanswered(signature, hash, *began, now)
            }
            CrashEvidence::StayedAway if is_silent => {
                self.crashes.record_silent(signature, hash, *began, silent_since);
                false
            }
            CrashEvidence::StayedAway | CrashEvidence::None => false,
        };
        if end == AttemptEnd::Failed(FailureReason::Misdirected) {
            self.directory.mark_replaced(hash, now);
        }
        if let Some(is_healthy) = end.is_healthy() {
            self.health.record_outcome(hash, is_healthy, now);
        }
        if matches!(end, AttemptEnd::Answered { .. }) && attempt.had_free_slot {
            self.waiting_time.record(&endpoint.service, now.ms_since(*began));
        }
        self.record_share_end(&endpoint.service, now);
        self.loads.end(hash, attempt.unread_tokens);
        // Further requests have to tell that the endpoint was silent before them.
        if self.loads.own(hash) == 0 && !is_silent {
            self.health.record_idle(hash);
        }
        must_tell
    }

    /// Returns the time since which an endpoint has been silent on all requests; none if it counts as
    /// reachable.
    pub(crate) fn silent_since(&self, endpoint: EndpointHash, now: MonoMs) -> Option<MonoMs> {
        let silent_ms = self.health.silent_ms(endpoint, now);
        (silent_ms >= HealthTracker::SILENT_MS).then(|| MonoMs(now.0.saturating_sub(silent_ms)))
    }
}
