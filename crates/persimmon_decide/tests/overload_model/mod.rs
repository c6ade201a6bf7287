//! A model of callers, gateways and the endpoints of a plain service in overload.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Admission, AdmissionInput, AdmissionSettings, AnswerInput, ColdEndpoints, EndpointDirectory,
    EndpointLimits, EndpointPauses, EndpointSpeeds, FleetView, HealthSettings, HealthTracker,
    LoadTracker, NoChoice, OverloadControl, OverloadDecision, OverloadInput, PickRequest, Picker,
    PickerSettings, PrefixMap, Rank, RecentRequests, RetryInput, RetryWindow, RetryWindowSettings,
    ServiceLoad, ServiceRetries, WaitingTime, WorkspaceShares, count_weight,
};
use persimmon_decide::load::EndpointHash;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::forward_endpoints;

const SERVICE: &str = "ledger";
const ENDPOINTS: usize = 4;
const SLOTS: usize = 6;
/// Calls that an endpoint queues; it rejects further ones.
const QUEUE: usize = 24;
/// Mean duration of a call at an endpoint that isn't slow, in milliseconds.
const WORK_MS: u64 = 75;
const TARGET_MS: u64 = 300;
const DEADLINE_MS: u64 = 3_000;
/// Factor on the duration of calls at a slow endpoint.
const SLOWDOWN: f64 = 2.5;
/// Mean time for which an endpoint is slow, in milliseconds.
const SLOW_MS: f64 = 600.0;
/// Mean time between two such times, in milliseconds: 15 in 100 endpoints are slow at any moment.
const USUAL_MS: f64 = 3_400.0;
/// Usual rate of calls per second, half of what the slots bear.
const USUAL_PER_S: f64 = 130.0;
const BURST_FROM_MS: u64 = 8_000;
const BURST_MS: u64 = 7_000;
const END_MS: u64 = 19_000;
const WORKSPACES: usize = 10;
const RANKS: usize = 2;
/// Worth of a late answer; one on time has the worth 1.
const LATE_WORTH: f64 = 0.3;
const MIN_INTERVAL_MS: u64 = 100;

/// How gateways admit calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// By the counts of all gateways alone.
    Counts,
    /// By each gateway's share in overload.
    OwnShare,
    /// As if each gateway had the whole capacity, which is a fault.
    Undivided,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    /// Multiple of the usual load during the burst.
    pub(crate) burst: f64,
    /// Multiple of its usual load that the first workspace sends during the burst.
    pub(crate) large: f64,
    pub(crate) seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self { gateways: 26, burst: 4.0, large: 4.0, seed: 0 }
    }
}

/// Calls by outcome.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Outcomes {
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Calls that came back and were refused again.
    pub(crate) in_vain: u32,
}

impl Outcomes {
    pub(crate) fn calls(&self) -> u32 {
        self.on_time + self.late + self.refused
    }

    pub(crate) fn worth(&self) -> f64 {
        let worth = f64::from(self.on_time) + LATE_WORTH * f64::from(self.late);
        worth / f64::from(self.calls())
    }

    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.calls())
    }

    /// Returns the share of served calls that were late.
    pub(crate) fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from((self.on_time + self.late).max(1))
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.in_vain += other.in_vain;
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { on_time, late, refused, in_vain } = self;
        let worth = self.worth();
        write!(
            f,
            "worth {worth:.3}: {on_time} on time, {late} late, {refused} refused, {in_vain} in vain"
        )
    }
}

/// Outcomes of the calls that arrived during the burst.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Played {
    pub(crate) all: Outcomes,
    /// Calls of the workspace that sends most.
    pub(crate) large: Outcomes,
    pub(crate) ranks: [Outcomes; RANKS],
    /// Calls outside the burst that weren't answered on time.
    pub(crate) calm: Outcomes,
}

impl Played {
    /// Returns the outcomes of all workspaces but the large one.
    pub(crate) fn others(&self) -> Outcomes {
        Outcomes {
            on_time: self.all.on_time - self.large.on_time,
            late: self.all.late - self.large.late,
            refused: self.all.refused - self.large.refused,
            in_vain: self.all.in_vain - self.large.in_vain,
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.large.add(&other.large);
        self.calm.add(&other.calm);
        for (sum, of_rank) in self.ranks.iter_mut().zip(&other.ranks) {
            sum.add(of_rank);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Attempt { call: usize },
    End { call: usize },
    Digest { gateway: usize },
    Speed { endpoint: usize },
}

#[derive(Debug)]
struct Call {
    first: u64,
    attempts: u32,
    workspace: usize,
    rank: usize,
    gateway: usize,
    endpoint: usize,
    /// Time of the current attempt.
    arrived: u64,
    started: u64,
    had_free_slot: bool,
    /// Time of the answer; none without one.
    ended: Option<u64>,
}

#[derive(Debug)]
struct Server {
    running: usize,
    waiting: VecDeque<usize>,
    is_slow: bool,
    /// Random numbers of its speed, which are the same under each rule.
    speeds: Pcg64Mcg,
}

#[derive(Debug)]
struct Gateway {
    loads: LoadTracker,
    shares: WorkspaceShares,
    times: WaitingTime,
    window: RetryWindow,
    control: OverloadControl,
    /// Counts in the last digests of each gateway.
    reported: ServiceRetries,
}

struct Model {
    scenario: Scenario,
    rule: Rule,
    directory: EndpointDirectory,
    hashes: Vec<EndpointHash>,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    calls: Vec<Call>,
    queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    events: usize,
    interval_ms: u64,
    service: Arc<str>,
    /// Random numbers of arrivals, which are the same under each rule.
    arrivals: Pcg64Mcg,
    rng: Pcg64Mcg,
}

/// Plays a scenario under a rule.
pub(crate) fn play(scenario: Scenario, rule: Rule) -> Played {
    let mut model = Model::new(scenario, rule);
    model.run();
    model.played()
}

impl Model {
    fn new(scenario: Scenario, rule: Rule) -> Self {
        let (directory, hashes) =
            forward_endpoints::publish(SERVICE, ENDPOINTS as u8, SLOTS as u32);
        let settings = RetryWindowSettings { window_ms: 10_000, ratio: 0.1, slack: 10.0 };
        let gateway = |_| Gateway {
            loads: LoadTracker::new(),
            shares: WorkspaceShares::new(),
            times: WaitingTime::new(),
            window: RetryWindow::new(settings),
            control: OverloadControl::new(),
            reported: ServiceRetries::default(),
        };
        let server = |number| Server {
            running: 0,
            waiting: VecDeque::new(),
            is_slow: false,
            speeds: Pcg64Mcg::seed_from_u64(scenario.seed * 100 + number),
        };
        let peers_ms = scenario.gateways as u64 * 25 / 2;
        Self {
            scenario,
            rule,
            directory,
            hashes,
            servers: (0..ENDPOINTS as u64).map(server).collect(),
            gateways: (0..scenario.gateways).map(gateway).collect(),
            calls: Vec::new(),
            queue: BinaryHeap::new(),
            events: 0,
            interval_ms: peers_ms.max(MIN_INTERVAL_MS),
            service: SERVICE.into(),
            arrivals: Pcg64Mcg::seed_from_u64(scenario.seed),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed + 1_000),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    /// Returns an exponentially distributed time, with a random part below a millisecond.
    fn pause_ms(rng: &mut Pcg64Mcg, mean_ms: f64) -> u64 {
        let share: f64 = rng.random();
        let part: f64 = rng.random();
        (-(1.0 - share).ln() * mean_ms + part) as u64
    }

    fn run(&mut self) {
        self.push(0, Event::Arrival);
        for gateway in 0..self.gateways.len() {
            let first = self.rng.random_range(0..self.interval_ms);
            self.push(first, Event::Digest { gateway });
        }
        for endpoint in 0..ENDPOINTS {
            let at = Self::pause_ms(&mut self.servers[endpoint].speeds, USUAL_MS);
            self.push(at, Event::Speed { endpoint });
        }
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now > END_MS + DEADLINE_MS {
                break;
            }
            match event {
                Event::Arrival if now < END_MS => self.arrive(now),
                Event::Arrival => {}
                Event::Attempt { call } => self.attempt(call, now),
                Event::End { call } => self.end(call, now),
                Event::Digest { gateway } => self.send_digest(gateway, now),
                Event::Speed { endpoint } => {
                    let is_slow = !self.servers[endpoint].is_slow;
                    self.servers[endpoint].is_slow = is_slow;
                    let pause_ms = Self::pause_ms(
                        &mut self.servers[endpoint].speeds,
                        if is_slow { SLOW_MS } else { USUAL_MS },
                    );
                    self.push(now + pause_ms.max(1), Event::Speed { endpoint });
                }
            }
        }
    }

    fn is_burst(now: u64) -> bool {
        (BURST_FROM_MS..BURST_FROM_MS + BURST_MS).contains(&now)
    }

    fn arrive(&mut self, now: u64) {
        let is_burst = Self::is_burst(now);
        let (burst, large) = match is_burst {
            true => (self.scenario.burst, self.scenario.large),
            false => (1.0, 1.0),
        };
        let others = burst * (WORKSPACES - 1) as f64;
        let per_s = USUAL_PER_S * (others + large) / WORKSPACES as f64;
        let pause_ms = Self::pause_ms(&mut self.arrivals, 1_000.0 / per_s);
        self.push(now + pause_ms, Event::Arrival);
        let draw = self.arrivals.random_range(0.0..others + large);
        let workspace = if draw < large { 0 } else { self.arrivals.random_range(1..WORKSPACES) };
        let call = Call {
            first: now,
            attempts: 0,
            workspace,
            rank: self.arrivals.random_range(0..RANKS),
            gateway: 0,
            endpoint: 0,
            arrived: now,
            started: now,
            had_free_slot: false,
            ended: None,
        };
        self.calls.push(call);
        self.push(now, Event::Attempt { call: self.calls.len() - 1 });
    }

    fn attempt(&mut self, index: usize, now: u64) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let call = &mut self.calls[index];
        call.gateway = gateway;
        call.arrived = now;
        call.attempts += 1;
        let workspace = call.workspace.to_string();
        let it = &mut self.gateways[gateway];
        it.window.record_request(MonoMs(now));
        it.shares.begin(&self.service, &workspace.as_str().into());
        let chosen = self.choose(index, now);
        let is_queued = chosen.is_some_and(|it| self.servers[it].waiting.len() < QUEUE);
        let Some(endpoint) = chosen.filter(|_| is_queued) else {
            self.gateways[gateway].shares.end(SERVICE, &workspace);
            return self.refuse(index, now);
        };
        self.gateways[gateway].loads.begin(self.hashes[endpoint], 0);
        self.calls[index].endpoint = endpoint;
        if self.servers[endpoint].running < SLOTS {
            self.start(index, now);
        } else {
            self.servers[endpoint].waiting.push_back(index);
        }
    }

    fn start(&mut self, index: usize, now: u64) {
        let endpoint = self.calls[index].endpoint;
        self.servers[endpoint].running += 1;
        let slowdown = if self.servers[endpoint].is_slow { SLOWDOWN } else { 1.0 };
        let usual_ms = self.rng.random_range(WORK_MS / 2..=WORK_MS * 3 / 2);
        self.calls[index].started = now;
        self.push(now + (usual_ms as f64 * slowdown) as u64, Event::End { call: index });
    }

    fn end(&mut self, index: usize, now: u64) {
        let (gateway, endpoint) = (self.calls[index].gateway, self.calls[index].endpoint);
        self.servers[endpoint].running -= 1;
        if let Some(next) = self.servers[endpoint].waiting.pop_front() {
            self.start(next, now);
        }
        self.calls[index].ended = Some(now);
        let load = ServiceLoad::new(SERVICE, self.view(gateway, now, &Parts::default()));
        let call = &self.calls[index];
        let it = &mut self.gateways[gateway];
        it.control.record_end(load, MonoMs(now));
        let draw = self.rng.random();
        let answer = AnswerInput {
            began: MonoMs(call.arrived),
            target_ms: TARGET_MS,
            interval_ms: self.interval_ms,
            draw,
            now: MonoMs(now),
        };
        it.control.record_answer(&answer, load);
        if call.had_free_slot {
            it.times.record(&self.service, now - call.arrived);
        }
        it.loads.end(self.hashes[endpoint], 0);
        it.shares.end(SERVICE, &call.workspace.to_string());
    }

    fn refuse(&mut self, index: usize, now: u64) {
        let draw = self.rng.random();
        let call = &self.calls[index];
        let left_ms = (call.first + DEADLINE_MS).saturating_sub(now);
        if call.attempts > 1 {
            return;
        }
        let it = &self.gateways[call.gateway];
        let retry_after_ms = match self.rule {
            Rule::Counts => it.times.retry_after_ms(SERVICE, draw),
            Rule::OwnShare | Rule::Undivided => it.control.retry_delay.delay_ms(RetryInput {
                turnover_ms: it.times.mean_ms(SERVICE),
                spent_ms: now - call.first,
                target_ms: TARGET_MS,
                left_ms,
                draw: draw as f64 / u64::MAX as f64,
                now: MonoMs(now),
            }),
        };
        self.push(now + retry_after_ms.min(left_ms / 3), Event::Attempt { call: index });
    }

    fn view<'a>(&'a self, gateway: usize, now: u64, parts: &'a Parts) -> FleetView<'a> {
        FleetView {
            endpoints: &self.directory,
            loads: &self.gateways[gateway].loads,
            pauses: &parts.pauses,
            limits: &parts.limits,
            cold: &parts.cold,
            speeds: &parts.speeds,
            records_age_ms: Some(0),
            load_interval_ms: 100,
            health: &parts.health,
            prefixes: &parts.prefixes,
            now: MonoMs(now),
        }
    }

    fn pick(&mut self, gateway: usize, max_fill: f64, now: u64) -> Result<usize, NoChoice> {
        let mean_ms = self.gateways[gateway].times.mean_ms(SERVICE);
        let weight = if mean_ms == 0 { 1.0 } else { count_weight(mean_ms, self.interval_ms) };
        let is_by_share = max_fill.is_infinite();
        let req = PickRequest {
            service: SERVICE,
            parts: &[],
            may_repeat: false,
            max_fill,
            version: None,
            tried: &[],
            zone: "zone-a",
            count_weight: if is_by_share { OverloadControl::count_weight(weight) } else { weight },
            draw: self.rng.random(),
        };
        let parts = Parts::default();
        let view = self.view(gateway, now, &parts);
        let choice = Picker::new(PickerSettings::default()).pick(&req, view)?;
        let is_it = |hash: &EndpointHash| *hash == choice.endpoint.hash;
        Ok(self.hashes.iter().position(is_it).expect("a known endpoint"))
    }

    /// Chooses an endpoint as a gateway does; none if the call is refused.
    fn choose(&mut self, index: usize, now: u64) -> Option<usize> {
        let call = &self.calls[index];
        let (gateway, rank, workspace) = (call.gateway, call.rank, call.workspace.to_string());
        let left_ms = call.first + DEADLINE_MS - now;
        let it = &self.gateways[gateway];
        let (share, workspaces) = it.shares.share(SERVICE, &workspace);
        let input =
            AdmissionInput { rank: Rank { position: rank, count: RANKS }, share, workspaces };
        let admission = Admission::new(AdmissionSettings::default());
        let rank_factor = admission.max_fill(input, self.rng.random());
        let queue_fill = it.times.max_fill(SERVICE, TARGET_MS, left_ms);
        let spent_ms = now - call.first;
        let picked = self.pick(gateway, rank_factor * queue_fill, now);
        let load = ServiceLoad::new(SERVICE, self.view(gateway, now, &Parts::default()));
        let chosen = match self.rule {
            Rule::Counts => picked.ok(),
            Rule::OwnShare | Rule::Undivided => {
                self.update_share(gateway, now);
                let draw = self.rng.random();
                let it = &mut self.gateways[gateway];
                let decision = it.control.decide(&OverloadInput {
                    load,
                    has_room: picked.is_ok(),
                    queue_fill,
                    rank_factor,
                    spent_ms,
                    target_ms: TARGET_MS,
                    mean_ms: it.times.mean_ms(SERVICE),
                    interval_ms: self.interval_ms,
                    draw,
                    now: MonoMs(now),
                });
                match decision {
                    OverloadDecision::ByCounts => picked.ok(),
                    OverloadDecision::Admitted => self.pick(gateway, f64::INFINITY, now).ok(),
                    OverloadDecision::Refused => None,
                }
            }
        };
        let hash = self.hashes[chosen?];
        let load = self.gateways[gateway].loads.total(hash).requests;
        self.calls[index].had_free_slot = load < SLOTS as u32;
        chosen
    }

    fn update_share(&mut self, gateway: usize, now: u64) {
        let now = MonoMs(now);
        if !self.gateways[gateway].control.share.is_outdated(now) {
            return;
        }
        let reported: u32 = self.gateways.iter().map(|it| it.reported.fresh).sum();
        let gateways = self.gateways.len();
        let it = &mut self.gateways[gateway];
        let others = reported - it.reported.fresh;
        let own = it.window.counts(now).fresh;
        let recent = match self.rule {
            Rule::Undivided => RecentRequests { own, others: 0, gateways: 1, hears_most: true },
            _ => RecentRequests { own, others, gateways, hears_most: true },
        };
        it.control.share.update(recent, now);
    }

    fn send_digest(&mut self, gateway: usize, now: u64) {
        let ip = IpAddr::from([10, 1, (gateway / 256) as u8, (gateway % 256) as u8]);
        let sender = &mut self.gateways[gateway];
        sender.reported = sender.window.counts(MonoMs(now));
        let reported: Vec<_> = sender.loads.own_loads().collect();
        for (_, it) in self.gateways.iter_mut().enumerate().filter(|(to, _)| *to != gateway) {
            it.loads.replace_peer(ip, reported.clone());
        }
        self.push(now + self.interval_ms, Event::Digest { gateway });
    }

    fn played(&self) -> Played {
        let mut played = Played::default();
        for call in &self.calls {
            let mut it = Outcomes::default();
            match call.ended {
                Some(ended) if ended - call.first <= TARGET_MS => it.on_time = 1,
                Some(ended) if ended - call.first <= DEADLINE_MS => it.late = 1,
                _ => {
                    it.refused = 1;
                    it.in_vain = u32::from(call.attempts > 1);
                }
            }
            if !Self::is_burst(call.first) {
                played.calm.add(&it);
                continue;
            }
            played.all.add(&it);
            played.ranks[call.rank].add(&it);
            if call.workspace == 0 {
                played.large.add(&it);
            }
        }
        played
    }
}

/// What the picker needs and the model leaves empty.
#[derive(Debug)]
struct Parts {
    pauses: EndpointPauses,
    limits: EndpointLimits,
    cold: ColdEndpoints,
    speeds: EndpointSpeeds,
    health: HealthTracker,
    prefixes: PrefixMap,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            pauses: EndpointPauses::new(),
            limits: EndpointLimits::new(),
            cold: ColdEndpoints::new(None),
            speeds: EndpointSpeeds::new(),
            health: HealthTracker::new(HealthSettings::default()),
            prefixes: PrefixMap::new(),
        }
    }
}
