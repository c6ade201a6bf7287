//! Runs with planned stops only, and their check: a request that a gateway has read is answered.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, Deployment, ReceivedRequest, Tail};

use crate::builds::Builds;
use crate::callers::{Call, CallerControls};
use crate::checks::{Finding, is_whole};
use crate::schedule::{Fault, Schedule};
use crate::soak::SoakReport;
use crate::stop_callers::run_stop_caller;
use crate::testbed::{Testbed, Timeouts};

/// Timeout of routes for calls, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// One in this many answers is long, by seed.
const LONG_ONE_IN: [u64; 4] = [20, 40, 80, 160];
/// Time before its timeout from which a request doesn't count as lost.
const TIMEOUT_SLACK: Duration = Duration::from_millis(100);
/// Time after which a gateway has read what a caller has sent.
pub(crate) const READ_LIMIT: Duration = Duration::from_millis(200);
/// Time after the grace period in which a loss still belongs to the stop.
pub(crate) const STOP_SLACK: Duration = Duration::from_secs(1);
/// Time after SIGTERM up to which a request may be sent whose endpoint works until the end of the grace
/// period.
const EARLY: Duration = Duration::from_secs(3);
/// Time after SIGTERM until no new connections come, at most.
const BALANCER_NOTICE_MS: i64 = 2_200;
/// Time before the cut by which an endpoint must have finished to count as idle then.
const FINISH_SLACK: Duration = Duration::from_millis(100);
/// Age below which a process has seen few durations.
const NEW_PROCESS: Duration = Duration::from_secs(10);
/// Time from the beginning of a request to its arrival at an endpoint from which it counts as late.
const LATE_ARRIVAL_MS: i64 = 500;

/// Promises of a gateway that is stopped as planned.
pub(crate) const LOST_IN_STOP: &str = "a request that reached an endpoint isn't lost in a stop";
pub(crate) const READ_AND_UNANSWERED: &str = "a request that was read is answered in a stop";

/// Settings of runs with planned stops.
#[derive(Debug, Clone, Copy)]
pub struct StopSettings {
    /// Time from SIGTERM until a gateway must have ended, in seconds.
    pub grace_s: u64,
    /// Time before the first stop.
    pub warm: Duration,
}

impl StopSettings {
    fn timeouts(self) -> Timeouts {
        Timeouts { call_ms: CALL_TIMEOUT_MS, stream_ms: self.grace_s * 1_500 }
    }

    /// Returns how long answers last in the run of a seed.
    fn tail(self, seed: u64) -> Tail {
        let long_one_in = LONG_ONE_IN[usize::try_from(seed / 2).unwrap_or(0) % LONG_ONE_IN.len()];
        Tail { unit: self.grace(), long_one_in }
    }

    fn grace(self) -> Duration {
        Duration::from_secs(self.grace_s)
    }
}

/// Counts of a run with planned stops, by name.
pub type StopCount = BTreeMap<String, usize>;

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunSize {
    pub(crate) gateways: u8,
    pub(crate) endpoints: usize,
    pub(crate) callers: u64,
    pub(crate) length: Duration,
}

/// Runs one seed with planned stops.
pub(crate) fn run_stops(
    (program, builds): (&str, Option<Builds>),
    size: RunSize,
    settings: StopSettings,
    seed: u64,
) -> io::Result<SoakReport> {
    let ms = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
    let times = (ms(settings.warm), ms(settings.grace()));
    let schedule = Schedule::of_stops(seed, ms(size.length), size.gateways.into(), times);
    let mut deployment = Deployment::new(program, size.gateways)?;
    deployment.set_grace_s(settings.grace_s);
    let tail = settings.tail(seed);
    let timeouts = settings.timeouts();
    let mut testbed = Testbed::start_on(
        deployment,
        size.endpoints,
        &Behaviour::Tailed(tail),
        (timeouts, builds),
    )?;
    let started = Instant::now();
    let controls = CallerControls::default();
    let addresses: Vec<_> =
        (0..size.gateways).map(|it| testbed.callers_address(it.into())).collect();
    let calls = thread::scope(|scope| {
        let caller = |number| {
            let (controls, addresses) = (&controls, &addresses[..]);
            scope.spawn(move || run_stop_caller(controls, (seed, number), timeouts, addresses))
        };
        let threads: Vec<_> = (0..size.callers).map(caller).collect();
        let played = testbed.inject_faults(&schedule.steps, started, size.length, &controls);
        controls.stop.store(true, Ordering::Relaxed);
        let calls = threads.into_iter().flat_map(|it| it.join().unwrap_or_default());
        played.map(|()| calls.collect::<Vec<_>>())
    })?;
    let mut check = StopCheck::new((settings, tail), &schedule, started, &testbed);
    check.count_stops();
    calls.iter().for_each(|call| check.check(call));
    let StopCheck { mut findings, counts, .. } = check;
    findings.extend(testbed.close());
    let served = calls.iter().filter(|call| is_whole(&call.answer, 200)).count();
    let refused_in_surge = 0;
    let calls = calls.len();
    Ok(SoakReport { schedule, calls, served, denied: 0, refused_in_surge, findings, counts })
}

/// What endpoints saw of one request.
#[derive(Debug, Default)]
struct Work {
    arrivals: Vec<Instant>,
    finished: Option<Instant>,
}

struct StopCheck<'a> {
    settings: StopSettings,
    tail: Tail,
    started: Instant,
    testbed: &'a Testbed,
    /// Times of SIGTERM, each with its gateway, in order.
    stops: Vec<(usize, Instant)>,
    work: HashMap<String, Work>,
    findings: Vec<Finding>,
    counts: StopCount,
}

impl<'a> StopCheck<'a> {
    fn new(
        (settings, tail): (StopSettings, Tail),
        schedule: &Schedule,
        started: Instant,
        testbed: &'a Testbed,
    ) -> Self {
        let stops = schedule.steps.iter().filter_map(|step| match step.fault {
            Fault::Stop { gateway } => Some((gateway, started + Duration::from_millis(step.at_ms))),
            _ => None,
        });
        let mut work: HashMap<String, Work> = HashMap::new();
        for ReceivedRequest { id, at, .. } in testbed.received().into_iter().flatten() {
            work.entry(id).or_default().arrivals.push(at);
        }
        for (id, at) in testbed.finished().into_iter().flatten() {
            work.entry(id).or_default().finished = Some(at);
        }
        let (stops, findings) = (stops.collect(), Vec::new());
        let counts = StopCount::new();
        Self { settings, tail, started, testbed, stops, work, findings, counts }
    }

    fn count(&mut self, name: &str) {
        *self.counts.entry(name.to_owned()).or_default() += 1;
    }

    fn report(&mut self, promise: &'static str, call: &Call, seen: &str) {
        let (id, kind, gateway) = (&call.id, call.kind, call.gateway);
        let at_ms = call.began.duration_since(self.started).as_millis();
        let lines: String = self.testbed.log_of(id).map(|line| format!("\n      {line}")).collect();
        let seen = format!("{kind:?} {id} at gateway {gateway}, {at_ms} ms: {seen}{lines}");
        self.findings.push(Finding { promise, seen });
    }

    /// Returns when the process started that was to read a request at this time.
    fn started(&self, gateway: usize, at: Instant) -> Instant {
        self.testbed.restarts_of(gateway).rfind(|it| *it < at).unwrap_or(self.started)
    }

    /// Returns when the process that read the call was stopped, if the call ended beside it, and when the
    /// call was cut: its caller may have seen the end of the process late.
    fn stop_of(&self, call: &Call) -> Option<(Instant, Instant)> {
        let started = self.started(call.gateway, call.began);
        let mut stops = self.stops.iter().filter(|(gateway, _)| *gateway == call.gateway);
        let (_, stop) = stops.find(|(_, at)| *at >= started)?;
        let exit = self.testbed.restarts_of(call.gateway).find(|at| at > stop);
        let cut = exit.map_or(call.ended, |it| it.min(call.ended));
        (*stop..=*stop + self.settings.grace() + STOP_SLACK).contains(&cut).then_some((*stop, cut))
    }

    /// Returns for how long a process had run when it was stopped.
    fn age(&self, gateway: usize, stop: Instant) -> Duration {
        stop - self.started(gateway, stop)
    }

    fn count_stops(&mut self) {
        let stall_ms = self.testbed.longest_stall.as_millis();
        let stall_ms = usize::try_from(stall_ms).unwrap_or(usize::MAX);
        self.counts.insert("ms, longest stall of the soak itself".to_owned(), stall_ms);
        for (gateway, stop) in self.stops.clone() {
            self.count(&format!("stops of {}", age_name(self.age(gateway, stop))));
        }
    }

    fn check(&mut self, call: &Call) {
        let work = self.work.remove(&call.id).unwrap_or_default();
        let status = call.answer.as_ref().map_or(0, |it| it.status);
        let is_complete = call.answer.as_ref().is_ok_and(|it| it.is_complete);
        if call.kind.runs_once() && work.arrivals.len() > 1 {
            self.report("runs at most once", call, &format!("{} arrivals", work.arrivals.len()));
        }
        if is_complete {
            self.count(&format!("status {status}"));
            if status == 200 && !self.has_all_events(call) {
                self.report("the answer is complete", call, "events are missing");
            } else if status != 200 && !work.arrivals.is_empty() {
                self.count(&format!("status {status} after it reached an endpoint"));
            }
            return;
        }
        let Some(sent) = call.sent else { return self.count("not sent whole") };
        let timeout = Duration::from_millis(self.settings.timeouts().of(call.kind));
        if call.ended - call.began + TIMEOUT_SLACK >= timeout {
            return self.count("not counted: timeout");
        }
        if work.arrivals.is_empty() {
            if call.ended - sent <= READ_LIMIT {
                return self.count("not counted: maybe unread");
            }
            let ended = call.answer.as_ref().map(|it| it.status).map_err(io::Error::kind);
            let after = self.stop_of(call).map(|(stop, _)| ms_since(call.ended, stop));
            let before = call.ended - sent;
            let seen = format!("{ended:?} {after:?} ms after SIGTERM, sent {before:?} before");
            return self.report(READ_AND_UNANSWERED, call, &seen);
        }
        self.check_lost(call, sent, &work);
    }

    fn has_all_events(&self, call: &Call) -> bool {
        let Ok(answer) = &call.answer else { return false };
        if !call.kind.is_stream() {
            return answer.body == "done";
        }
        let numbers = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
        let last = self.tail.events(&call.id);
        numbers.map(str::to_owned).eq((1..=last).map(|number| number.to_string()))
    }

    /// Checks a call that reached an endpoint and wasn't answered whole.
    fn check_lost(&mut self, call: &Call, sent: Instant, work: &Work) {
        let ended = call.answer.as_ref().map(|it| it.status).map_err(io::Error::kind);
        let Some((stop, cut)) = self.stop_of(call) else {
            let seen = format!("{ended:?} beside no stop");
            return self.report("no request is lost", call, &seen);
        };
        let last_sixth = stop + self.settings.grace() * 5 / 6;
        let is_at_work = cut >= last_sixth && work.finished.is_none_or(|at| at > last_sixth);
        if sent < stop {
            self.count("cut, sent before SIGTERM");
        }
        if sent <= stop + EARLY && is_at_work {
            return self.count("not counted: at work in the last sixth");
        }
        let [began_ms, sent_ms, cut_ms] = [call.began, sent, cut].map(|it| ms_since(it, stop));
        let arrived_ms = work.arrivals.last().map_or(0, |it| ms_since(*it, stop));
        let has_finished = work.finished.is_some_and(|at| at + FINISH_SLACK <= cut);
        let is_reset =
            call.answer.as_ref().is_err_and(|err| err.kind() == io::ErrorKind::ConnectionReset);
        let cause = if has_finished {
            if is_reset { "H4" } else { "H3" }
        } else if arrived_ms - began_ms >= LATE_ARRIVAL_MS {
            "H2"
        } else if sent_ms > BALANCER_NOTICE_MS {
            "H1"
        } else {
            "no hypothesis"
        };
        let age = self.age(call.gateway, stop);
        self.count(&format!("lost, {cause}, {}", age_name(age)));
        let seen = format!(
            "{cause}: after SIGTERM it began {began_ms} ms, was sent {sent_ms} ms, reached its \
             endpoint {arrived_ms} ms, was cut {cut_ms} ms ({ended:?}); endpoint had finished: \
             {has_finished}; the process had run for {age:?}"
        );
        self.report(LOST_IN_STOP, call, &seen);
    }
}

fn age_name(age: Duration) -> &'static str {
    if age < NEW_PROCESS { "new processes" } else { "old processes" }
}

/// Returns the time from `from` to `at`, in milliseconds; negative if `at` is before.
fn ms_since(at: Instant, from: Instant) -> i64 {
    let ms = |it: Duration| i64::try_from(it.as_millis()).unwrap_or(i64::MAX);
    if at >= from { ms(at - from) } else { -ms(from - at) }
}
