//! One run: processes, callers, faults, checks.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{Behaviour, Deployment, EndpointStandin, RouteSpec, StoreMode};
use persimmon_standins::fleet::wait_until;
use persimmon_standins::{Direction, Relay};

use crate::callers::{Call, CallerSpec, Orders, call_until};
use crate::checks::{CONTACT, Evidence, Finding, IN_FORCE};
use crate::schedule::{Fault, Schedule, Step};

/// Events of every stream.
pub(crate) const STREAM_EVENTS: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// The key of most callers.
const KEY: &str = "key-1";
/// The key that is taken away now and then.
pub(crate) const REVOCABLE_KEY: &str = "key-2";
/// One caller in so many has the key that is taken away.
const REVOCABLE_SHARE: u64 = 4;
/// Callers in a surge for each usual one; with them, more call than endpoints have slots.
const SURGE_FACTOR: u64 = 6;
/// Lines of a gateway's log that a finding shows.
const LOG_LINES: usize = 30;
/// Time in which everything is over after the last call.
const SETTLE: Duration = Duration::from_secs(5);
/// The routes' timeout, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// A soak's size.
#[derive(Debug, Clone)]
pub struct Soak {
    program: String,
    gateways: u8,
    endpoints: usize,
    callers: u64,
    length: Duration,
}

/// What a run showed.
#[derive(Debug)]
pub struct SoakReport {
    /// The faults.
    pub schedule: Schedule,
    /// Calls that callers made.
    pub calls: usize,
    /// Calls that were answered whole with success.
    pub served: usize,
    /// Calls that were refused for their key, which is taken away now and then.
    pub denied: usize,
    /// Calls that were refused as not run while more callers called than endpoints have slots.
    pub refused_in_surge: usize,
    /// Broken promises.
    pub findings: Vec<Finding>,
}

/// What becomes of a fault when its time is over.
struct Undo {
    at: Instant,
    fault: Fault,
}

impl Soak {
    /// A soak of three gateways that run `program`, before six endpoints, for ten seconds.
    pub fn new(program: &str) -> Self {
        Self {
            program: program.to_owned(),
            gateways: 3,
            endpoints: 6,
            callers: 12,
            length: Duration::from_secs(10),
        }
    }

    /// Sets how many gateways run.
    #[must_use]
    pub fn with_gateways(mut self, gateways: u8) -> Self {
        self.gateways = gateways;
        self
    }

    /// Sets how many endpoints there are.
    #[must_use]
    pub fn with_endpoints(mut self, endpoints: usize) -> Self {
        self.endpoints = endpoints;
        self
    }

    /// Sets how many callers call at once.
    #[must_use]
    pub fn with_callers(mut self, callers: u64) -> Self {
        self.callers = callers;
        self
    }

    /// Sets how long a run lasts.
    #[must_use]
    pub fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Plays one seed.
    ///
    /// # Errors
    ///
    /// A process or a stand-in can't be started.
    pub fn run(&self, seed: u64) -> io::Result<SoakReport> {
        let length_ms = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        let schedule = Schedule::new(seed, length_ms, self.gateways.into(), self.endpoints);
        let mut stage = Stage::start(self)?;
        let started = Instant::now();
        let orders = Orders::default();
        let addresses: Vec<_> =
            (0..self.gateways).map(|it| stage.deployment.callers_address(it.into())).collect();
        let calls = thread::scope(|scope| {
            let caller = |number| {
                let (orders, addresses) = (&orders, &addresses[..]);
                let key = if number % REVOCABLE_SHARE == 0 { REVOCABLE_KEY } else { KEY };
                let is_surge_only = number >= self.callers;
                let spec = CallerSpec { number, seed, key, is_surge_only };
                scope.spawn(move || call_until(orders, spec, addresses))
            };
            let threads: Vec<_> = (0..self.callers * SURGE_FACTOR).map(caller).collect();
            let played = stage.play(&schedule.steps, started, self.length, &orders);
            orders.stop.store(true, Ordering::Relaxed);
            let calls = threads.into_iter().flat_map(|it| it.join().unwrap_or_default());
            played.map(|()| calls.collect::<Vec<_>>())
        })?;
        let evidence = Evidence {
            started,
            steps: &schedule.steps,
            calls: &calls,
            received: stage.endpoints.iter().map(EndpointStandin::received).collect(),
            timeout: Duration::from_millis(TIMEOUT_MS),
        };
        let mut findings = evidence.findings();
        findings.extend(stage.close());
        let is_served = |answer: &io::Result<persimmon_platform::standin::Answer>| {
            answer.as_ref().is_ok_and(|it| it.status == 200 && it.is_complete)
        };
        let served = calls.iter().filter(|call| is_served(&call.answer)).count();
        let with_status = |status| {
            let has_it =
                move |call: &&Call| call.answer.as_ref().is_ok_and(|it| it.status == status);
            calls.iter().filter(has_it)
        };
        let denied = with_status(401).count();
        let in_surge = |call: &&Call| schedule.has_surge(call.began.duration_since(started));
        let refused_in_surge = with_status(503).filter(in_surge).count();
        let calls = calls.len();
        Ok(SoakReport { schedule, calls, served, denied, refused_in_surge, findings })
    }
}

/// The running parts.
struct Stage {
    deployment: Deployment,
    endpoints: Vec<EndpointStandin>,
    relays: Vec<Relay>,
    /// Gateways that were told to stop and start again when they have ended.
    restarting: Vec<usize>,
    /// Whether the key that is taken away now and then is allowed.
    is_revocable_allowed: bool,
}

impl Stage {
    fn start(soak: &Soak) -> io::Result<Self> {
        let mut deployment = Deployment::new(&soak.program, soak.gateways)?;
        let usual =
            Behaviour::Mixed { events: STREAM_EVENTS, pause: EVENT_PAUSE, body: "done".into() };
        let (mut endpoints, mut relays) = (Vec::new(), Vec::new());
        for number in 0..soak.endpoints {
            let endpoint = EndpointStandin::start(&format!("endpoint-{number}"), usual.clone())?;
            let relay = Relay::start(endpoint.address())?;
            endpoints.push(endpoint.with_address(relay.address()));
            relays.push(relay);
        }
        endpoints.iter().for_each(|endpoint| deployment.publish_endpoint(endpoint, false));
        publish_routes(&mut deployment, true);
        deployment.start_all()?;
        Ok(Self {
            deployment,
            endpoints,
            relays,
            restarting: Vec::new(),
            is_revocable_allowed: true,
        })
    }

    fn play(
        &mut self,
        steps: &[Step],
        started: Instant,
        length: Duration,
        orders: &Orders,
    ) -> io::Result<()> {
        let mut undo: Vec<Undo> = Vec::new();
        let mut steps = steps.iter().peekable();
        while started.elapsed() < length {
            let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(step) = steps.next_if(|step| step.at_ms <= elapsed_ms) {
                self.begin(step.fault, orders)?;
                let at = started + Duration::from_millis(step.at_ms + step.fault.lasts_ms());
                undo.push(Undo { at, fault: step.fault });
            }
            let now = Instant::now();
            let due = undo.extract_if(.., |it| it.at <= now).collect::<Vec<_>>();
            due.into_iter().try_for_each(|it| self.end(it.fault, orders))?;
            self.restart_ended()?;
            thread::sleep(Duration::from_millis(5));
        }
        undo.into_iter().try_for_each(|it| self.end(it.fault, orders))
    }

    fn begin(&mut self, fault: Fault, orders: &Orders) -> io::Result<()> {
        match fault {
            Fault::EndpointFails { endpoint, kind, count } => {
                for _ in 0..count {
                    self.endpoints[endpoint].queue_behaviour(failing(kind));
                }
            }
            Fault::Cut { endpoint } => self.relays[endpoint].cut(),
            Fault::Silence { endpoint, is_answer } => {
                let direction = if is_answer { Direction::FromTarget } else { Direction::ToTarget };
                self.relays[endpoint].silence_open(direction);
            }
            Fault::Refuse { endpoint, .. } => self.relays[endpoint].refuse(),
            Fault::Drain { endpoint, is_withdrawn, .. } => match is_withdrawn {
                true => self.deployment.withdraw_endpoint(&self.endpoints[endpoint]),
                false => self.deployment.publish_endpoint(&self.endpoints[endpoint], true),
            },
            Fault::StoreSilent { .. } => self.deployment.store.set_mode(StoreMode::Silent),
            Fault::StoreRefuses { gateway, .. } => {
                let ip = self.deployment.ip(gateway);
                self.deployment.store.set_mode(StoreMode::Refusing(ip));
            }
            Fault::StoreForgets => self.deployment.store.compact_history(),
            Fault::PublishRoutes => {
                publish_routes(&mut self.deployment, self.is_revocable_allowed);
            }
            Fault::Crash { endpoint, .. } => {
                self.relays[endpoint].refuse();
                self.relays[endpoint].cut();
            }
            Fault::Delay { endpoint, delay_ms, .. } => {
                self.relays[endpoint].delay(Duration::from_millis(delay_ms));
            }
            Fault::StoreSlow { delay_ms, .. } => {
                let delay = Duration::from_millis(delay_ms);
                self.deployment.store.set_mode(StoreMode::Slow(delay));
            }
            Fault::StoreLoses { .. } => self.deployment.store.set_mode(StoreMode::CloseUnanswered),
            Fault::Revoke { .. } => self.allow_revocable(false),
            Fault::Surge { .. } => orders.surge.store(true, Ordering::Relaxed),
            Fault::Stop { gateway } => {
                if !self.restarting.contains(&gateway) {
                    self.deployment.stop(gateway)?;
                    self.restarting.push(gateway);
                }
            }
            Fault::Kill { gateway } => {
                self.deployment.kill(gateway)?;
                self.restarting.push(gateway);
            }
            Fault::KillAll => self.kill_all()?,
            Fault::Pause { gateway, .. } => self.deployment.pause(gateway)?,
            Fault::Reload { gateway } => self.deployment.reload(gateway)?,
        }
        Ok(())
    }

    fn kill_all(&mut self) -> io::Result<()> {
        for gateway in 0..self.deployment.len() {
            if !self.restarting.contains(&gateway) {
                self.deployment.kill(gateway)?;
                self.restarting.push(gateway);
            }
        }
        Ok(())
    }

    fn end(&mut self, fault: Fault, orders: &Orders) -> io::Result<()> {
        match fault {
            Fault::Refuse { endpoint, .. } | Fault::Crash { endpoint, .. } => {
                self.relays[endpoint].accept()
            }
            Fault::Delay { endpoint, .. } => {
                self.relays[endpoint].delay(Duration::ZERO);
                Ok(())
            }
            Fault::Revoke { .. } => {
                self.allow_revocable(true);
                Ok(())
            }
            Fault::Drain { endpoint, .. } => {
                self.deployment.publish_endpoint(&self.endpoints[endpoint], false);
                Ok(())
            }
            Fault::Surge { .. } => {
                orders.surge.store(false, Ordering::Relaxed);
                Ok(())
            }
            Fault::StoreSilent { .. }
            | Fault::StoreRefuses { .. }
            | Fault::StoreSlow { .. }
            | Fault::StoreLoses { .. } => {
                self.deployment.store.set_mode(StoreMode::Serving);
                Ok(())
            }
            Fault::Pause { gateway, .. } => self.deployment.resume(gateway),
            _ => Ok(()),
        }
    }

    fn allow_revocable(&mut self, is_allowed: bool) {
        self.is_revocable_allowed = is_allowed;
        publish_routes(&mut self.deployment, is_allowed);
    }

    /// Starts gateways again that have ended.
    fn restart_ended(&mut self) -> io::Result<()> {
        for gateway in std::mem::take(&mut self.restarting) {
            if self.deployment.has_ended(gateway) {
                self.deployment.restart(gateway)?;
            } else {
                self.restarting.push(gateway);
            }
        }
        Ok(())
    }

    /// Looks at each running gateway until it is as promised, or says what was seen when the limit
    /// for all of them is over.
    fn check_each(
        &self,
        promise: &'static str,
        limit: Duration,
        look: impl Fn(usize) -> Result<(), String>,
    ) -> Vec<Finding> {
        let ends = Instant::now() + limit;
        let running = (0..self.deployment.len()).filter(|it| !self.restarting.contains(it));
        let check = |gateway| {
            let mut seen = Ok(());
            let is_kept = wait_until(ends.saturating_duration_since(Instant::now()), || {
                seen = look(gateway);
                seen.is_ok()
            });
            let seen = seen.err().filter(|_| !is_kept)?;
            let seen = format!("gateway {gateway}: {seen}{}", self.log_end(gateway));
            Some(Finding { promise, seen })
        };
        running.filter_map(check).collect()
    }

    /// Requests that a gateway still counts though no caller waits any more.
    fn check_idle(&self) -> Vec<Finding> {
        self.check_each("nothing is left after the end", SETTLE, |gateway| {
            let status = self.deployment.status(gateway);
            let is_idle = status.as_ref().is_ok_and(|it| it.contains("\"running\":0,"));
            if is_idle { Ok(()) } else { Err(format!("{status:?}")) }
        })
    }

    /// Gateways that don't know, some time after the last fault, which keys are allowed.
    fn check_keys(&mut self) -> Vec<Finding> {
        self.allow_revocable(false);
        self.check_each("keys are in force everywhere", CONTACT + IN_FORCE, |gateway| {
            let statuses = [KEY, REVOCABLE_KEY].map(|key| self.probe(gateway, key));
            match statuses {
                [Ok(200), Ok(401)] => Ok(()),
                _ => Err(format!("{statuses:?}")),
            }
        })
    }

    /// The last lines of a gateway's log, each after a line break.
    fn log_end(&self, gateway: usize) -> String {
        let log = self.deployment.log(gateway);
        let end = &log[log.len().saturating_sub(LOG_LINES)..];
        end.iter().map(|line| format!("\n    {line}")).collect()
    }

    /// The status with which a gateway answers this key.
    fn probe(&self, gateway: usize, key: &str) -> io::Result<u16> {
        let caller = self.deployment.caller(gateway)?.request("POST", "/lookup/x", "probe");
        Ok(caller.with_key(key).call("body")?.status)
    }

    /// Stops the gateways that run, which have to end by themselves.
    fn close(mut self) -> Vec<Finding> {
        let mut findings = self.check_idle();
        findings.extend(self.check_keys());
        for gateway in 0..self.deployment.len() {
            // An error says that it has ended already, which the wait shows.
            let _ = self.deployment.stop(gateway);
        }
        for gateway in 0..self.deployment.len() {
            match self.deployment.wait_ended(gateway) {
                Ok(status) if status.code() == Some(0) || self.restarting.contains(&gateway) => {}
                Ok(status) => findings.push(Finding {
                    promise: "a stop ends the process well",
                    seen: format!("gateway {gateway}: {status}"),
                }),
                Err(err) => findings.push(Finding {
                    promise: "a stop ends the process",
                    seen: format!("gateway {gateway}: {err}"),
                }),
            }
        }
        self.relays.into_iter().for_each(Relay::close);
        self.deployment.close();
        findings
    }
}

fn publish_routes(deployment: &mut Deployment, is_revocable_allowed: bool) {
    let routes = [
        RouteSpec::once("commit"),
        RouteSpec::repeatable("lookup"),
        RouteSpec::stream("draft", true),
        RouteSpec::stream("chat", false),
    ];
    let keys = if is_revocable_allowed { &[KEY, REVOCABLE_KEY][..] } else { &[KEY] };
    deployment.publish_routes(&routes.map(|it| it.with_timeout_ms(TIMEOUT_MS)), keys);
}

/// One of the ways in which an endpoint fails a request.
fn failing(kind: u8) -> Behaviour {
    let cut = Behaviour::Stream { events: STREAM_EVENTS, pause: EVENT_PAUSE, cut_after: Some(2) };
    match kind % 11 {
        0 => Behaviour::Answer { status: 500, body: "failed".into() },
        1 => Behaviour::NotRun,
        2 => Behaviour::Misdirected,
        3 => Behaviour::CloseUnanswered,
        4 => Behaviour::Hang,
        5 => Behaviour::ForeignAnswer,
        6 => Behaviour::Unsigned,
        7 => Behaviour::ExtraAnswer,
        8 => Behaviour::HalfBody,
        9 => Behaviour::ForeignRefusal,
        _ => cut,
    }
}
