//! A sidecar of the model: the real ledger, with a clock of its own and an endpoint.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_decide::outcome::{
    Answer, Begin, Event, Ledger, LedgerKey, LedgerLimits, Refusal, Repeatability, Settled, Stamp,
    StreamEnd,
};
use persimmon_decide::{Attempt, Incarnation, MonoMs};

use super::{Defect, Reply, ReplyTo, Submission, key_of};

const MAX_ENTRIES: usize = 2;
const CLAIM_TTL_MS: u64 = 1_000;
const REQUEST_TTL_MS: u64 = 300;
/// The clock offset between consecutive incarnations.
const CLOCK_STEP_MS: u64 = 333;

#[derive(Debug)]
struct Job {
    submission: Submission,
    sent: bool,
    waiters: Vec<ReplyTo>,
}

#[derive(Debug)]
pub(crate) struct Sidecar {
    /// How often the sidecar has started; also its incarnation.
    starts: u64,
    ledger: Ledger,
    started_ms: u64,
    pub(crate) frozen: bool,
    pub(crate) reachable: bool,
    pub(crate) busy: bool,
    /// The stamps in the greetings of connections, by exchange and attempt.
    pub(crate) greetings: BTreeMap<(usize, Attempt), Stamp>,
    jobs: Vec<Job>,
    /// Calls that began in this incarnation, for [`Defect::SettleWithoutTombstone`].
    begun: Vec<LedgerKey>,
}

impl Sidecar {
    pub(crate) fn new(now_ms: u64) -> Self {
        let mut sidecar = Self {
            starts: 0,
            ledger: ledger(0),
            started_ms: 0,
            frozen: false,
            reachable: true,
            busy: false,
            greetings: BTreeMap::new(),
            jobs: Vec::new(),
            begun: Vec::new(),
        };
        sidecar.restart(now_ms);
        sidecar
    }

    /// Starts a new incarnation with an empty ledger; calls that were sent to the endpoint still
    /// count as run.
    pub(crate) fn restart(&mut self, now_ms: u64) {
        self.starts += 1;
        self.ledger = ledger(self.starts);
        self.started_ms = now_ms;
        self.frozen = false;
        self.jobs.clear();
        self.begun.clear();
    }

    /// Stops the sidecar's clock for this long, as on a suspended VM.
    pub(crate) fn pause_clock(&mut self, ms: u64) {
        self.started_ms += ms;
    }

    pub(crate) fn sweep(&mut self, now_ms: u64) {
        let now = self.now(now_ms);
        self.ledger.sweep(now);
    }

    pub(crate) fn issue(&mut self, kind: Repeatability, call: usize, now_ms: u64) -> Option<Stamp> {
        let now = self.now(now_ms);
        self.ledger.issue(key_of(kind, call), now).ok()
    }

    /// Returns the stamp from the greeting of the attempt's connection, or a new one.
    pub(crate) fn greeting(&self, exchange: usize, attempt: Attempt, now_ms: u64) -> Stamp {
        let recorded = self.greetings.get(&(exchange, attempt)).copied();
        recorded.unwrap_or_else(|| self.ledger.stamp(self.now(now_ms)))
    }

    pub(crate) fn on_submit(
        &mut self,
        submission: Submission,
        reply_to: ReplyTo,
        defect: Defect,
        now_ms: u64,
    ) -> Vec<Reply> {
        let now = self.now(now_ms);
        let attempt = reply_to.attempt;
        if defect == Defect::RefusalWithoutTombstone && self.busy {
            return vec![refused(attempt, Refusal::OverBound)];
        }
        let mut presented = submission.presented;
        match defect {
            Defect::IncarnationUnchecked => presented.stamp.incarnation = Incarnation(self.starts),
            Defect::KeyWithoutClaim { wait_ms } if now_ms < self.started_ms + wait_ms => {
                return vec![refused(attempt, Refusal::NeedsClaim)];
            }
            Defect::KeyWithoutClaim { .. } => presented.stamp = self.ledger.stamp(now),
            _ => {}
        }
        let mut begin = self.ledger.begin(&presented, now);
        if defect == Defect::ForgetsWhenFull && begin == Begin::Refuse(Refusal::LedgerFull) {
            self.ledger = ledger(self.starts);
            begin = self.ledger.begin(&presented, now);
        }
        self.apply_decision(begin, submission, reply_to, now)
    }

    pub(crate) fn on_settle(
        &mut self,
        submission: Submission,
        reply_to: ReplyTo,
        defect: Defect,
        now_ms: u64,
    ) -> Vec<Reply> {
        let now = self.now(now_ms);
        let presented = submission.presented;
        let is_own = presented.stamp.incarnation == Incarnation(self.starts);
        let never_began = is_own && !self.begun.contains(&presented.key);
        let settled = if defect == Defect::SettleWithoutTombstone && never_began {
            Settled::NotRun
        } else {
            self.ledger.settle(presented.key, presented.stamp, presented.repeatability, now)
        };
        vec![event_reply(Event::Settled { attempt: reply_to.attempt, settled })]
    }

    pub(crate) fn on_resume(
        &mut self,
        submission: Submission,
        reply_to: ReplyTo,
        now_ms: u64,
    ) -> Vec<Reply> {
        let attempt = reply_to.attempt;
        let presented = submission.presented;
        let now = self.now(now_ms);
        match self.ledger.begin(&presented, now) {
            Begin::Attach => self.attach(submission, reply_to),
            Begin::Repeat(answer) => vec![repeated(attempt, &answer)],
            // No other call can be resumed, so a call that has only just begun is withdrawn.
            Begin::Run => {
                self.ledger.withdraw(presented.key, now).expect("the call has just begun");
                vec![event_reply(Event::ResumeRefused { attempt })]
            }
            _ => vec![event_reply(Event::ResumeRefused { attempt })],
        }
    }

    /// Withdraws the oldest call that wasn't sent to the endpoint yet.
    pub(crate) fn withdraw_job(&mut self, now_ms: u64) -> Vec<(ReplyTo, Reply)> {
        let now = self.now(now_ms);
        let Some(index) = self.jobs.iter().position(|job| !job.sent) else { return Vec::new() };
        let job = self.jobs.remove(index);
        // The entry is missing only if `Defect::ForgetsWhenFull` dropped it.
        let _ = self.ledger.withdraw(job.submission.presented.key, now);
        let reply = |to: ReplyTo| (to, refused(to.attempt, Refusal::DeadlineUnmeetable));
        job.waiters.into_iter().map(reply).collect()
    }

    /// Sends the endpoint the oldest call that wasn't sent yet.
    pub(crate) fn send_to_endpoint(&mut self) -> Option<Submission> {
        let job = self.jobs.iter_mut().find(|job| !job.sent)?;
        job.sent = true;
        Some(job.submission)
    }

    /// Ends the oldest call that the endpoint runs.
    pub(crate) fn end_job(&mut self, fails: bool, now_ms: u64) -> Vec<(ReplyTo, Reply)> {
        let now = self.now(now_ms);
        let Some(index) = self.jobs.iter().position(|job| job.sent) else { return Vec::new() };
        let job = self.jobs.remove(index);
        let key = job.submission.presented.key;
        let call = job.submission.call;
        let (ended, end) = if fails {
            (self.ledger.fail(key, now), StreamEnd::Cut)
        } else {
            let answer = Answer { status: 200, body: Arc::new([call as u8]) };
            (self.ledger.finish(key, Some(answer), now), StreamEnd::Whole)
        };
        if ended.is_err() {
            // The entry is missing only if `Defect::ForgetsWhenFull` dropped it.
            return Vec::new();
        }
        let reply = |to: ReplyTo| {
            (
                to,
                Reply {
                    event: Event::Ended { attempt: to.attempt, end },
                    answered_call: Some(call),
                },
            )
        };
        job.waiters.into_iter().map(reply).collect()
    }

    fn now(&self, now_ms: u64) -> MonoMs {
        MonoMs(now_ms.saturating_sub(self.started_ms) + self.starts * CLOCK_STEP_MS)
    }

    fn attach(&mut self, submission: Submission, reply_to: ReplyTo) -> Vec<Reply> {
        let attempt = reply_to.attempt;
        let key = submission.presented.key;
        let job = self.jobs.iter_mut().find(|job| job.submission.presented.key == key);
        job.expect("a call in progress").waiters.push(reply_to);
        vec![event_reply(Event::Accepted { attempt }), event_reply(Event::Resumed { attempt })]
    }

    fn apply_decision(
        &mut self,
        begin: Begin,
        submission: Submission,
        reply_to: ReplyTo,
        now: MonoMs,
    ) -> Vec<Reply> {
        let attempt = reply_to.attempt;
        let key = submission.presented.key;
        match begin {
            Begin::Run if self.busy => {
                self.ledger.withdraw(key, now).expect("the call has just begun");
                vec![refused(attempt, Refusal::OverBound)]
            }
            Begin::Run => {
                self.begun.push(key);
                self.jobs.push(Job { submission, sent: false, waiters: vec![reply_to] });
                vec![event_reply(Event::Accepted { attempt })]
            }
            Begin::Attach => self.attach(submission, reply_to),
            Begin::Repeat(answer) => vec![repeated(attempt, &answer)],
            Begin::RepeatStream => panic!("no answer of the model is a stream"),
            Begin::Refuse(refusal) => vec![refused(attempt, refusal)],
        }
    }
}

fn ledger(incarnation: u64) -> Ledger {
    let limits = LedgerLimits::default()
        .with_max_entries(MAX_ENTRIES)
        .with_claim_ttl_ms(CLAIM_TTL_MS)
        .with_request_ttl_ms(REQUEST_TTL_MS);
    Ledger::new(Incarnation(incarnation), limits)
}

fn refused(attempt: Attempt, refusal: Refusal) -> Reply {
    event_reply(Event::Refused { attempt, refusal, retry_after_ms: None })
}

fn repeated(attempt: Attempt, answer: &Answer) -> Reply {
    let event = Event::Ended { attempt, end: StreamEnd::Whole };
    Reply { event, answered_call: Some(usize::from(answer.body[0])) }
}

fn event_reply(event: Event) -> Reply {
    Reply { event, answered_call: None }
}
