//! The running processes of a soak test, and the faults that are injected into them.

mod final_checks;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, BodyFraming, Deployment, EndpointStandin, ReceivedRequest, RouteSpec, StoreCopy,
    StoreMode,
};
use persimmon_standins::{Direction, Relay};

use crate::builds::Builds;
use crate::callers::{CallKind, CallerControls};
use crate::schedule::{Fault, Step};

/// Interval between two copies of the store, and the age of the oldest one that is kept.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const COPY_AGE: Duration = Duration::from_millis(2_500);
/// Number of routes that no caller uses when gateways of two builds run: the configuration is large enough
/// that gateways pass on changes as patches.
const UNUSED_ROUTES: usize = 200;
/// Pause of the loop that injects faults.
const LOOP_PAUSE: Duration = Duration::from_millis(5);
/// Number of events of every stream.
pub(crate) const STREAM_EVENTS: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Beginning of an endpoint's ID, before its number.
pub(crate) const ENDPOINT_PREFIX: &str = "endpoint-";
/// Key of most callers.
pub(crate) const KEY: &str = "key-1";
/// Key that [`Fault::Revoke`] revokes for a while.
pub(crate) const REVOCABLE_KEY: &str = "key-2";
/// Timeout of every route, in milliseconds.
pub(crate) const TIMEOUT_MS: u64 = 3_000;
/// Smallest kind of a failure that ends a stream inside an event.
const FIRST_PARTIAL_EVENT: u8 = 216;

/// A fault in progress and the time at which it ends.
struct ActiveFault {
    ends_at: Instant,
    fault: Fault,
}

/// The running gateways and the stand-ins around them.
pub(crate) struct Testbed {
    deployment: Deployment,
    endpoints: Vec<EndpointStandin>,
    relays: Vec<Relay>,
    /// Gateways that are stopping or were killed, and are restarted when their process has ended.
    restarting: Vec<usize>,
    /// Whether the revocable key is currently allowed.
    is_revocable_allowed: bool,
    /// Copies of the store, the oldest first.
    copies: VecDeque<(Instant, StoreCopy)>,
    timeouts: Timeouts,
    /// Log lines about requests of gateways that have ended.
    logs: Vec<String>,
    /// Gateways that were restarted, each with the time.
    restarts: Vec<(usize, Instant)>,
    /// Builds that the gateways run; none if all run the same.
    builds: Option<Builds>,
    /// Longest time by which the loop that injects faults overslept: a sign of a busy machine.
    pub(crate) longest_stall: Duration,
}

/// Timeouts of the routes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    pub(crate) call_ms: u64,
    pub(crate) stream_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { call_ms: TIMEOUT_MS, stream_ms: TIMEOUT_MS }
    }
}

impl Timeouts {
    /// Returns the timeout of the route for this kind of calls.
    pub(crate) fn of(self, kind: CallKind) -> u64 {
        if kind.is_stream() { self.stream_ms } else { self.call_ms }
    }

    fn publish_routes(self, deployment: &mut Deployment, is_revocable_allowed: bool) {
        let Self { call_ms, stream_ms } = self;
        let routes = [
            RouteSpec::once("commit").with_timeout_ms(call_ms),
            RouteSpec::repeatable("lookup").with_timeout_ms(call_ms),
            RouteSpec::stream("draft", true).with_timeout_ms(stream_ms),
            RouteSpec::stream("chat", false).with_timeout_ms(stream_ms),
        ];
        let keys = if is_revocable_allowed { &[KEY, REVOCABLE_KEY][..] } else { &[KEY] };
        deployment.publish_routes(&routes, keys);
    }
}

impl Testbed {
    /// Starts gateways, and endpoints with the usual behaviour. The gateways run `program`, unless there
    /// are `builds`.
    pub(crate) fn start(
        program: &str,
        gateways: u8,
        endpoint_count: usize,
        builds: Option<Builds>,
    ) -> io::Result<Self> {
        let usual =
            Behaviour::Mixed { events: STREAM_EVENTS, pause: EVENT_PAUSE, body: "done".into() };
        let deployment = Deployment::new(program, gateways)?;
        Self::start_on(deployment, endpoint_count, &usual, (Timeouts::default(), builds))
    }

    /// Starts gateways before endpoints with this behaviour.
    pub(crate) fn start_on(
        mut deployment: Deployment,
        endpoint_count: usize,
        usual: &Behaviour,
        (timeouts, mut builds): (Timeouts, Option<Builds>),
    ) -> io::Result<Self> {
        if builds.is_some() {
            deployment.add_unused_routes(UNUSED_ROUTES);
        }
        let programs = builds.as_mut().map(|it| it.draw_first(deployment.capacity()));
        for (gateway, program) in programs.into_iter().flatten().enumerate() {
            deployment.set_program_of(gateway, &program);
        }
        let (mut endpoints, mut relays) = (Vec::new(), Vec::new());
        for number in 0..endpoint_count {
            let endpoint =
                EndpointStandin::start(&format!("{ENDPOINT_PREFIX}{number}"), usual.clone())?;
            endpoint.set_version(version_of(number));
            let relay = Relay::start(endpoint.address())?;
            endpoints.push(endpoint.with_address(relay.address()));
            relays.push(relay);
        }
        endpoints.iter().for_each(|endpoint| deployment.publish_endpoint(endpoint, false));
        timeouts.publish_routes(&mut deployment, true);
        deployment.start_all()?;
        Ok(Self {
            deployment,
            endpoints,
            relays,
            restarting: Vec::new(),
            is_revocable_allowed: true,
            copies: VecDeque::new(),
            timeouts,
            logs: Vec::new(),
            restarts: Vec::new(),
            builds,
            longest_stall: Duration::ZERO,
        })
    }

    /// Returns the address at which a gateway listens for callers.
    pub(crate) fn callers_address(&self, gateway: usize) -> SocketAddr {
        self.deployment.callers_address(gateway)
    }

    /// Returns the requests that each endpoint has received.
    pub(crate) fn received(&self) -> Vec<Vec<ReceivedRequest>> {
        self.endpoints.iter().map(EndpointStandin::received).collect()
    }

    /// Injects each fault when it is due and ends it after its duration, until `length` has passed.
    pub(crate) fn inject_faults(
        &mut self,
        steps: &[Step],
        started: Instant,
        length: Duration,
        controls: &CallerControls,
    ) -> io::Result<()> {
        let mut active: Vec<ActiveFault> = Vec::new();
        let mut steps = steps.iter().peekable();
        while started.elapsed() < length {
            let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            while let Some(step) = steps.next_if(|step| step.at_ms <= elapsed_ms) {
                self.inject(step.fault, controls)?;
                let ends_at =
                    started + Duration::from_millis(step.at_ms + step.fault.duration_ms());
                active.push(ActiveFault { ends_at, fault: step.fault });
            }
            let now = Instant::now();
            let due = active.extract_if(.., |it| it.ends_at <= now).collect::<Vec<_>>();
            for it in due {
                match it.fault {
                    Fault::StoreRestored { .. } => self.restore_store(&active),
                    fault => self.clear(fault, controls)?,
                }
            }
            self.restart_ended()?;
            self.copy_store(now);
            let asleep = Instant::now();
            thread::sleep(LOOP_PAUSE);
            self.longest_stall = self.longest_stall.max(asleep.elapsed() - LOOP_PAUSE);
        }
        active.into_iter().try_for_each(|it| self.clear(it.fault, controls))
    }

    fn inject(&mut self, fault: Fault, controls: &CallerControls) -> io::Result<()> {
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
            Fault::StoreSilent { .. } | Fault::StoreRestored { .. } => {
                self.deployment.store.set_mode(StoreMode::Silent);
            }
            Fault::StoreRefuses { gateway, .. } => {
                let ip = self.deployment.ip(gateway);
                self.deployment.store.set_mode(StoreMode::Refusing(vec![ip]));
            }
            Fault::StoreForgets => self.deployment.store.compact_history(),
            Fault::PublishRoutes => {
                self.timeouts.publish_routes(&mut self.deployment, self.is_revocable_allowed);
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
            Fault::Revoke { .. } => self.set_revocable_allowed(false),
            Fault::Surge { .. } => controls.surge.store(true, Ordering::Relaxed),
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
            Fault::Limit { endpoint, per_s, .. } => {
                self.endpoints[endpoint].set_limit(Some(&per_s.to_string()));
            }
            Fault::Reload { gateway } => self.deployment.reload(gateway)?,
        }
        Ok(())
    }

    /// Keeps copies of the store that are up to [`COPY_AGE`] old.
    fn copy_store(&mut self, now: Instant) {
        if self.copies.back().is_none_or(|(at, _)| now - *at >= COPY_INTERVAL) {
            self.copies.push_back((now, self.deployment.store.copy()));
        }
        while self.copies.front().is_some_and(|(at, _)| now - *at > COPY_AGE) {
            self.copies.pop_front();
        }
    }

    /// Brings the store back from its oldest copy. The operator and the endpoints then write again what
    /// they have written since.
    fn restore_store(&mut self, active: &[ActiveFault]) {
        if let Some((_, copy)) = self.copies.front() {
            self.deployment.store.restore(copy);
        }
        self.copies.clear();
        self.deployment.store.set_mode(StoreMode::Serving);
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            let drained = active.iter().rev().find_map(|it| match it.fault {
                Fault::Drain { endpoint, is_withdrawn, .. } if endpoint == number => {
                    Some(is_withdrawn)
                }
                _ => None,
            });
            match drained {
                None => self.deployment.publish_endpoint(endpoint, false),
                Some(true) => self.deployment.withdraw_endpoint(endpoint),
                Some(false) => self.deployment.publish_endpoint(endpoint, true),
            }
        }
        self.timeouts.publish_routes(&mut self.deployment, self.is_revocable_allowed);
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

    fn clear(&mut self, fault: Fault, controls: &CallerControls) -> io::Result<()> {
        match fault {
            Fault::Refuse { endpoint, .. } | Fault::Crash { endpoint, .. } => {
                self.relays[endpoint].accept()
            }
            Fault::Delay { endpoint, .. } => {
                self.relays[endpoint].delay(Duration::ZERO);
                Ok(())
            }
            Fault::Revoke { .. } => {
                self.set_revocable_allowed(true);
                Ok(())
            }
            Fault::Drain { endpoint, .. } => {
                self.deployment.publish_endpoint(&self.endpoints[endpoint], false);
                Ok(())
            }
            Fault::Surge { .. } => {
                controls.surge.store(false, Ordering::Relaxed);
                Ok(())
            }
            Fault::StoreSilent { .. }
            | Fault::StoreRefuses { .. }
            | Fault::StoreSlow { .. }
            | Fault::StoreLoses { .. } => {
                self.deployment.store.set_mode(StoreMode::Serving);
                Ok(())
            }
            Fault::Limit { endpoint, .. } => {
                self.endpoints[endpoint].set_limit(None);
                Ok(())
            }
            Fault::Pause { gateway, .. } => self.deployment.resume(gateway),
            _ => Ok(()),
        }
    }

    fn set_revocable_allowed(&mut self, is_allowed: bool) {
        self.is_revocable_allowed = is_allowed;
        self.timeouts.publish_routes(&mut self.deployment, is_allowed);
    }

    /// Keeps what a gateway's log says of requests.
    fn keep_log(&mut self, gateway: usize) {
        let is_of_request = |it: &String| it.contains("\"target\":\"request\"");
        self.logs.extend(self.deployment.log(gateway).into_iter().filter(is_of_request));
    }

    /// Returns the log lines of gateways that have ended that contain this id.
    pub(crate) fn log_of(&self, id: &str) -> impl Iterator<Item = &str> {
        let quoted = format!("\"{id}\"");
        self.logs.iter().filter(move |it| it.contains(&quoted)).map(String::as_str)
    }

    /// Returns when a gateway was restarted, in order.
    pub(crate) fn restarts_of(&self, gateway: usize) -> impl DoubleEndedIterator<Item = Instant> {
        self.restarts.iter().filter(move |(it, _)| *it == gateway).map(|(_, at)| *at)
    }

    /// Returns when each endpoint has written its whole answer to a request.
    pub(crate) fn finished(&self) -> Vec<HashMap<String, Instant>> {
        self.endpoints.iter().map(EndpointStandin::finished).collect()
    }

    /// Restarts the gateways that have ended.
    fn restart_ended(&mut self) -> io::Result<()> {
        for gateway in std::mem::take(&mut self.restarting) {
            if self.deployment.has_ended(gateway) {
                self.keep_log(gateway);
                if let Some(builds) = &mut self.builds {
                    self.deployment.set_program_of(gateway, builds.draw());
                }
                self.deployment.restart(gateway)?;
                self.restarts.push((gateway, Instant::now()));
            } else {
                self.restarting.push(gateway);
            }
        }
        Ok(())
    }
}

/// Returns the software version of an endpoint.
pub(crate) fn version_of(endpoint: usize) -> &'static str {
    if endpoint.is_multiple_of(2) { "v1" } else { "v2" }
}

/// Returns the behaviour of an endpoint that fails a request, selected by `kind`.
fn failing(kind: u8) -> Behaviour {
    let cut = Behaviour::Stream { events: STREAM_EVENTS, pause: EVENT_PAUSE, cut_after: Some(2) };
    if kind >= FIRST_PARTIAL_EVENT {
        let framings = [BodyFraming::UntilClose, BodyFraming::Http10, BodyFraming::Chunked];
        return Behaviour::PartialEvent { framing: framings[usize::from(kind) % framings.len()] };
    }
    match kind % 11 {
        0 => Behaviour::Answer { status: 500, body: "failed".into() },
        1 => Behaviour::NotRun,
        2 => Behaviour::Misdirected,
        3 => Behaviour::CloseUnanswered,
        4 => Behaviour::Hang,
        5 => Behaviour::ForeignAnswer,
        6 => Behaviour::Unsigned,
        7 => Behaviour::ExtraAnswer,
        8 => Behaviour::half_body(),
        9 => Behaviour::ForeignRefusal,
        _ => cut,
    }
}
