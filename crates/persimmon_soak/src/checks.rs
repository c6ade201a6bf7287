//! The promises, checked against what callers and endpoints saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use persimmon_platform::standin::ReceivedRequest;

use crate::callers::{Call, Kind};
use crate::schedule::{Fault, Step};
use crate::soak::{REVOCABLE_KEY, STREAM_EVENTS};

/// Longest time that a request may be kept beyond its route's timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Time after which a leaving endpoint gets nothing new.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after which published routes and keys are in force.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);
/// Time without faults of the store or a process before such a bound holds.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// The fleet's bound on repeated sends: a window, a ratio and a slack.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 20.0;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Which promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// What is known when a run has ended.
pub(crate) struct Evidence<'a> {
    pub(crate) started: Instant,
    pub(crate) steps: &'a [Step],
    pub(crate) calls: &'a [Call],
    /// Requests by endpoint.
    pub(crate) received: Vec<Vec<ReceivedRequest>>,
    /// The longest time that a route keeps a caller.
    pub(crate) timeout: Duration,
}

impl Evidence<'_> {
    /// Every broken promise.
    pub(crate) fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let runs = self.runs();
        for call in self.calls {
            let runs = runs.get(&*call.id).copied().unwrap_or(0);
            findings.extend(self.check_call(call, runs));
        }
        findings.extend(self.check_drains());
        findings.extend(self.check_budget());
        findings.extend(self.check_strangers());
        findings
    }

    /// How often each request ran.
    fn runs(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for request in self.received.iter().flatten().filter(|it| it.ran) {
            *runs.entry(&*request.id).or_insert(0) += 1;
        }
        runs
    }

    fn check_call(&self, call: &Call, runs: usize) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut find = |promise, seen: String| {
            let id = &call.id;
            let (kind, gateway) = (call.kind, call.gateway);
            let at_ms = call.began.duration_since(self.started).as_millis();
            let seen = format!("{kind:?} {id} at gateway {gateway}, {at_ms} ms: {seen}");
            findings.push(Finding { promise, seen });
        };
        if call.kind.runs_once() && runs > 1 {
            find("once", format!("ran {runs} times"));
        }
        if call.has_left {
            return findings;
        }
        let is_struck = self.is_struck(call.gateway, call.began, call.ended);
        let took = call.ended.duration_since(call.began);
        if !is_struck && took > self.timeout + TIMEOUT_SLACK {
            find("answered in time", format!("took {took:?}"));
        }
        match &call.answer {
            Ok(answer) if answer.status == 503 && runs > 0 => {
                find("not run is true", format!("answered 503 and ran {runs} times"));
            }
            Ok(answer) if answer.status == 503 && answer.retry_after_s.is_none() => {
                find("a refusal tells when to come back", format!("{answer:?}"));
            }
            Ok(answer) if answer.status == 200 => {
                if answer.id.as_deref() != Some(&*call.id) || !answer.is_signed {
                    find("own answer", format!("{answer:?}"));
                }
                if answer.is_complete && !is_complete(call.kind, &answer.body) {
                    find("whole answer", answer.body.clone());
                }
                if !answer.is_complete && call.kind == Kind::Lookup && !is_struck {
                    find("whole answer", "a short answer broke off".to_owned());
                }
            }
            Ok(answer) if answer.status == 401 && self.may_be_revoked(call) => {}
            Ok(answer) if matches!(answer.status, 400 | 401 | 403 | 404) => {
                find("allowed calls aren't denied", format!("status {}", answer.status));
            }
            Err(err) if call.is_sent && !is_struck && runs > 0 => {
                find("no request is lost", format!("ran and the connection ended: {err}"));
            }
            _ => {}
        }
        findings
    }

    /// Whether a fault of its process may excuse what a gateway did in this time.
    fn is_struck(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        self.felt(from, to).any(|fault| fault.strikes(gateway))
    }

    /// The faults that may be felt in this time: while they last and until contact is kept again.
    fn felt(&self, from: Instant, to: Instant) -> impl Iterator<Item = Fault> {
        let is_felt = move |step: &&Step| {
            let begins = self.started + Duration::from_millis(step.at_ms);
            let ends = begins + Duration::from_millis(step.fault.lasts_ms()) + CONTACT;
            begins <= to && from <= ends
        };
        self.steps.iter().filter(is_felt).map(|step| step.fault)
    }

    /// The times in which the call's key was taken away.
    fn revocations(&self, call: &Call) -> impl Iterator<Item = (Instant, Instant)> {
        let steps = if call.key == REVOCABLE_KEY { self.steps } else { &[] };
        steps.iter().filter_map(|step| {
            let Fault::Revoke { for_ms } = step.fault else { return None };
            let begins = self.started + Duration::from_millis(step.at_ms);
            Some((begins, begins + Duration::from_millis(for_ms)))
        })
    }

    /// Whether a gateway may refuse the call's key, since it was taken away or isn't known to be
    /// allowed again.
    fn may_be_revoked(&self, call: &Call) -> bool {
        self.revocations(call).any(|(begins, ends)| {
            let is_late = self.may_be_missed(call.gateway, ends, call.ended);
            begins <= call.ended && (call.began <= ends + IN_FORCE || is_late)
        })
    }

    /// Whether a gateway may have missed a change of the routes in this time: the store told
    /// nobody, its own process was struck, or those of two others, which may be the ones that watch
    /// the store.
    fn may_be_missed(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let mut others = 0;
        for fault in self.felt(from, to) {
            let tells_nobody =
                matches!(fault, Fault::StoreSilent { .. } | Fault::StoreLoses { .. });
            others += usize::from(fault.strikes_any());
            if tells_nobody || fault.strikes(gateway) || others > 1 {
                return true;
            }
        }
        false
    }

    fn check_drains(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        for step in self.steps {
            let Fault::Drain { endpoint, for_ms, .. } = step.fault else { continue };
            let begins = self.started + Duration::from_millis(step.at_ms);
            let ends = begins + Duration::from_millis(for_ms);
            if self.is_unsettled(begins, ends) {
                continue;
            }
            let late = self.received[endpoint].iter().filter(|it| it.at > begins + DRAIN);
            let late = late.filter(|it| it.at < ends).count();
            if late > 0 {
                let seen = format!("{late} requests reached endpoint {endpoint} after {step:?}");
                findings.push(Finding { promise: "leaving endpoints get nothing new", seen });
            }
        }
        findings
    }

    /// Whether gateways may have missed a change: the store or a process was struck, or another
    /// change was made to an endpoint meanwhile.
    fn is_unsettled(&self, from: Instant, to: Instant) -> bool {
        let mut own = 0;
        for fault in self.felt(from, to) {
            own += usize::from(matches!(fault, Fault::Drain { .. }));
            if fault.is_of_store() || fault.strikes_any() || own > 1 {
                return true;
            }
        }
        false
    }

    /// Sends beyond the first of each request, in any window.
    fn check_budget(&self) -> Option<Finding> {
        let mut arrivals: Vec<_> = self.received.iter().flatten().collect();
        arrivals.sort_by_key(|it| it.at);
        let mut seen = std::collections::HashSet::new();
        let repeated: Vec<_> =
            arrivals.iter().filter(|it| !seen.insert(&*it.id)).map(|it| it.at).collect();
        let worst = repeated.iter().enumerate().find_map(|(first, at)| {
            let end = *at + BUDGET_WINDOW;
            let sends = repeated[first..].iter().take_while(|it| **it < end).count();
            let calls = self.calls.iter().filter(|it| it.began >= *at && it.began < end).count();
            let bound = BUDGET_RATIO * calls as f64 + BUDGET_SLACK;
            (sends as f64 > bound).then(|| format!("{sends} sent again of {calls} requests"))
        });
        worst.map(|seen| Finding { promise: "bound on repeated sends", seen })
    }

    /// Requests that no caller sent.
    fn check_strangers(&self) -> Vec<Finding> {
        let known: std::collections::HashSet<&str> =
            self.calls.iter().map(|call| &*call.id).collect();
        let strangers = self.received.iter().flatten().filter(|it| !known.contains(&*it.id));
        let finding = |it: &ReceivedRequest| Finding {
            promise: "only callers' requests run",
            seen: it.line.clone(),
        };
        strangers.map(finding).collect()
    }
}

/// Whether a body is all of what an endpoint answers, in order and once. Endpoints answer some
/// requests on routes of streams with a short body, which is then the whole of it.
fn is_complete(kind: Kind, body: &str) -> bool {
    if !kind.is_stream() || body == "done" {
        return body == "done";
    }
    let numbers = body.lines().filter_map(|line| line.strip_prefix("id: "));
    numbers.map(str::to_owned).eq((1..=STREAM_EVENTS).map(|number| number.to_string()))
}
