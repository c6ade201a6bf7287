//! Model of a fleet whose gateways pass changes of the records on to each other, over links that carry a
//! limited number of bytes and fail. Routes of a restored store that peers adopt from each other, and the
//! processors' time, are left out.

mod gateway;
mod network;
mod store;

use std::collections::BTreeMap;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{FanOut, FetchEnd, RecordContent, RecordPatch};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) use gateway::Broken;
use gateway::{FIRST_WATCH_WAIT_MS, Gateway, ip};
use network::{Body, Call, Network, Request, STEP_MS};
pub(crate) use network::{Cut, Faults, Trouble};
use store::Store;

pub(crate) const START_MS: u64 = 10_000;
/// Time in which a change must be everywhere, and a gateway up to date after its trouble.
const LIMIT_MS: u64 = 2_000;
const CHECK_MS: u64 = 50;
/// Timeouts of a fetch without progress, and of a call of the store.
const FETCH_TIMEOUT_MS: u64 = 1_000;
const STORE_TIMEOUT_MS: u64 = 2_000;
const FIRST_WATCH_TIMEOUT_MS: u64 = 500;
/// Size of a compressed update relative to the update, as of routes, and the size from which updates
/// are compressed.
const COMPRESSED: f64 = 1.0 / 9.0;
const MIN_COMPRESSED_BYTES: usize = 1_024;
const RECORD_BYTES: usize = 30;

#[derive(Debug, Clone, Default)]
pub(crate) struct Setting {
    pub(crate) gateways: usize,
    /// Number of routes at the start.
    pub(crate) routes: usize,
    /// Size of a route, in bytes.
    pub(crate) route_bytes: usize,
    pub(crate) faults: Faults,
    /// Gateways of an earlier build.
    pub(crate) earlier: Vec<usize>,
    pub(crate) broken: Option<Broken>,
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Begin(usize, Trouble),
    End(usize),
    /// The cut with this number begins.
    Cut(usize, Cut),
    Heal(usize),
    Routes(std::ops::Range<usize>),
    Small(usize, Option<u64>),
    /// The store comes back from the copy made this number of changes before.
    Restore(u64),
}

pub(crate) struct Fleet {
    pub(crate) setting: Setting,
    pub(crate) now: u64,
    pub(crate) violations: Vec<String>,
    pub(crate) fetches: usize,
    pub(crate) failed: usize,
    /// Number of calls of the store that have ended.
    pub(crate) store_calls: usize,
    net: Network,
    store: Store,
    gateways: Vec<Gateway>,
    plan: BTreeMap<(u64, usize), Event>,
    /// Times since which the gateways are undisturbed.
    sound_since: Vec<u64>,
    /// Each gateway's positions, with the times from which it had them.
    positions: Vec<Vec<(u64, u64)>>,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Creates a fleet that has run for long.
    pub(crate) fn new(setting: Setting, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (count, store) = (setting.gateways, Store::new(setting.routes, setting.route_bytes));
        let now = START_MS;
        let mut gateways: Vec<_> =
            (0..count).map(|it| Gateway::start(it, count, now, &mut rng)).collect();
        for gateway in &mut gateways {
            gateway.view.apply_list(store.list(), store.position(), MonoMs(now));
            gateway.is_earlier_build = setting.earlier.contains(&gateway.number);
            gateway.broken = setting.broken;
        }
        let digests: Vec<_> = gateways.iter_mut().map(|it| it.digest(now)).collect();
        for gateway in &mut gateways {
            for (number, digest) in digests.iter().enumerate() {
                gateway.peers.record_digest(ip(number), digest, MonoMs(now));
            }
            gateway.settle(now);
        }
        Self {
            net: Network::new(count, setting.faults, rng.random()),
            sound_since: vec![now; count],
            positions: vec![vec![(now, store.position())]; count],
            plan: BTreeMap::new(),
            violations: Vec::new(),
            fetches: 0,
            failed: 0,
            store_calls: 0,
            setting,
            now,
            store,
            gateways,
            rng,
        }
    }

    pub(crate) fn plan(&mut self, at: u64, event: Event) {
        self.plan.insert((START_MS + at, self.plan.len()), event);
    }

    /// Runs until `end` milliseconds after the start.
    pub(crate) fn run(&mut self, end: u64) {
        while self.now < START_MS + end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        while let Some(first) = self.plan.first_entry().filter(|it| it.key().0 <= now) {
            let event = first.remove();
            self.apply(event);
        }
        while let Some(datagram) = self.net.receive(now) {
            self.gateways[datagram.to].receive(&datagram, &mut self.net, now);
        }
        self.serve();
        for number in self.net.transfer(now) {
            let Call { client, server, .. } = self.net.calls[number];
            if self.net.nodes[client].runs() {
                self.record_progress(client, server);
            }
        }
        self.end_calls();
        for gateway in &mut self.gateways {
            if self.net.nodes[gateway.number].runs() {
                gateway.poll(&mut self.net, now);
            }
        }
        self.check_contents();
        if now % CHECK_MS < STEP_MS {
            self.check_times();
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Begin(number, trouble) => {
                self.net.nodes[number].trouble = Some(trouble);
                self.sound_since[number] = u64::MAX;
                if trouble == Trouble::Killed {
                    self.net.calls.retain(|it| it.client != number);
                }
            }
            Event::End(number) => {
                let ended = self.net.nodes[number].trouble.take();
                self.sound_since[number] = now;
                if ended == Some(Trouble::Killed) {
                    let (count, rng) = (self.gateways.len(), &mut self.rng);
                    let mut gateway = Gateway::start(number, count, now, rng);
                    gateway.is_earlier_build = self.gateways[number].is_earlier_build;
                    gateway.broken = self.setting.broken;
                    self.gateways[number] = gateway;
                    self.positions[number].push((now, 0));
                }
                for datagram in std::mem::take(&mut self.net.nodes[number].held) {
                    self.gateways[number].receive(&datagram, &mut self.net, now);
                }
            }
            Event::Cut(number, cut) => {
                self.net.cuts.insert(number, cut);
            }
            Event::Heal(number) => {
                self.net.cuts.remove(&number);
            }
            Event::Routes(range) => self.store.write_routes(range, now),
            Event::Small(number, value) => self.store.write(number, value, now),
            Event::Restore(changes) => self.store.restore(changes, now),
        }
    }

    fn record_progress(&mut self, client: usize, server: usize) {
        let gateway = &mut self.gateways[client];
        if server == self.net.store() {
            gateway.record_store_progress(self.now);
        } else {
            gateway.record_progress(server, self.now);
        }
    }

    /// Answers the requests that have arrived.
    fn serve(&mut self) {
        let now = self.now;
        for number in 0..self.net.calls.len() {
            let call = &self.net.calls[number];
            let server = call.server;
            if call.answer.is_some() || call.arrives_at > now {
                continue;
            }
            let answer = if self.net.nodes[server].trouble == Some(Trouble::Killed) {
                Body::Refused
            } else if !self.net.is_connected(call) {
                self.net.calls[number].arrives_at = now + network::RETRANSMISSION_MS;
                continue;
            } else if server == self.net.store() {
                let Some(answer) = self.answer_of_store(call.request) else { continue };
                answer
            } else {
                self.gateways[server].answer(call.request, self.large_answers(server), now)
            };
            let bytes = body_bytes(&answer);
            self.net.nodes[server].sent += bytes;
            let call = &mut self.net.calls[number];
            (call.bytes, call.left) = (bytes, bytes as f64);
            (call.answer, call.progress_at) = (Some(answer), now);
            let client = call.client;
            if self.net.nodes[client].runs() {
                self.record_progress(client, server);
            }
        }
    }

    fn answer_of_store(&self, request: Request) -> Option<Body> {
        match request {
            Request::Watch { since, until } => match self.store.changes_since(since) {
                None => Some(Body::Restored),
                Some(it) if it.is_empty() && self.now < until => None,
                Some(it) => Some(Body::Page(it)),
            },
            _ => Some(Body::List(self.store.list(), self.store.position())),
        }
    }

    /// Returns the number of large answers that a gateway is sending.
    fn large_answers(&self, server: usize) -> usize {
        let is_large = |it: &&Call| {
            it.server == server
                && it.answer.is_some()
                && FanOut::is_large(it.bytes)
                && self.now - it.progress_at < 500
        };
        self.net.calls.iter().filter(is_large).count()
    }

    fn end_calls(&mut self) {
        let mut number = 0;
        while let Some(call) = self.net.calls.get(number) {
            let is_broken_off = self.net.nodes[call.server].trouble == Some(Trouble::Killed)
                && (call.answer.is_some() || call.arrives_at <= self.now);
            let is_over = call.answer.is_some() && call.left <= 0.0;
            let is_late = self.now - call.progress_at >= self.timeout_ms(call);
            if !self.net.nodes[call.client].runs() || !(is_over || is_late || is_broken_off) {
                number += 1;
                continue;
            }
            let call = self.net.calls.remove(number);
            self.end_call(call, is_over);
        }
    }

    fn timeout_ms(&self, call: &Call) -> u64 {
        match (call.request, &call.answer) {
            (Request::Watch { until, .. }, None)
                if until - call.started_at <= FIRST_WATCH_WAIT_MS =>
            {
                FIRST_WATCH_TIMEOUT_MS
            }
            (Request::Watch { until, .. }, None) => until - call.started_at + STORE_TIMEOUT_MS,
            (Request::Watch { .. } | Request::List, _) => STORE_TIMEOUT_MS,
            _ => FETCH_TIMEOUT_MS,
        }
    }

    fn end_call(&mut self, call: Call, is_over: bool) {
        let gateway = &mut self.gateways[call.client];
        let answer = call.answer.filter(|_| is_over);
        if call.server == self.net.store() {
            self.store_calls += 1;
            gateway.end_store_call(answer, &mut self.net, self.now);
            return;
        }
        let fetch = (call.server, call.request);
        let end = gateway.end_fetch(fetch, answer, &mut self.net, self.now);
        self.fetches += 1;
        self.failed += usize::from(end == FetchEnd::Failed);
    }

    /// Checks what gateways have at a new position.
    fn check_contents(&mut self) {
        for gateway in &self.gateways {
            let (number, position) = (gateway.number, gateway.view.revision());
            let history = &mut self.positions[number];
            let last = history.last().map_or(0, |it| it.1);
            if position == last {
                continue;
            }
            history.push((self.now, position));
            let mut records = gateway.view.since(0, MonoMs(self.now)).records;
            records.retain(|it| it.value.is_some());
            records.sort_by(|a, b| a.key.cmp(&b.key));
            let content = self.store.check(position, &records);
            if position < last {
                self.violations.push(format!("{}: gateway {number} went back", self.now));
            }
            if let Err(err) = content {
                self.violations.push(format!("{}: gateway {number}: {err}", self.now));
            }
        }
    }

    /// Checks that every gateway that is undisturbed for long enough has the changes of then.
    fn check_times(&mut self) {
        let due_at = self.now.saturating_sub(LIMIT_MS);
        let count = self.store.changes.partition_point(|it| it.0 <= due_at);
        let Some((changed_at, due)) = count.checked_sub(1).map(|it| self.store.changes[it]) else {
            return;
        };
        for gateway in &self.gateways {
            let (number, own) = (gateway.number, gateway.view.revision());
            if self.sound_since[number] <= due_at && own < due {
                let late_ms = self.now - changed_at.max(self.sound_since[number]);
                let troubles = self.net.nodes.iter().map(|it| it.trouble).enumerate();
                let troubles: Vec<_> = troubles.filter(|it| it.1.is_some()).collect();
                self.violations.push(format!(
                    "{}: gateway {number} is at {own}, {late_ms} ms after {due}, {troubles:?}",
                    self.now
                ));
            }
        }
    }

    /// Returns for each gateway that is undisturbed the time from the last change until it had it.
    pub(crate) fn times_ms(&self) -> Vec<Option<u64>> {
        let Some((changed_at, position)) = self.store.changes.last() else { return Vec::new() };
        let sound = self.positions.iter().zip(&self.sound_since).filter(|it| *it.1 <= *changed_at);
        let reached = |it: &Vec<(u64, u64)>| it.iter().find(|it| it.1 >= *position).map(|it| it.0);
        sound.map(|(it, _)| reached(it).map(|at| at - changed_at)).collect()
    }

    /// Returns the number of reads of the store by gateways that don't watch it.
    pub(crate) fn store_reads(&self) -> usize {
        self.gateways.iter().map(|it| it.store_reads).sum()
    }

    pub(crate) fn reset_sent(&mut self) {
        self.net.nodes.iter_mut().for_each(|it| it.sent = 0);
    }

    /// Returns the number of bytes of notices and answers of the gateway that sent most of them.
    pub(crate) fn busiest_sent(&self) -> usize {
        let gateways = &self.net.nodes[..self.gateways.len()];
        gateways.iter().map(|it| it.sent).max().unwrap_or_default()
    }
}

fn body_bytes(body: &Body) -> usize {
    let content = |it: &RecordContent| match it {
        RecordContent::Written(value) => value.len(),
        RecordContent::Patched(patches) => patches.iter().map(RecordPatch::size).sum(),
        RecordContent::Deleted => 0,
    };
    let size = |it: &Option<Vec<u8>>| RECORD_BYTES + it.as_ref().map_or(0, Vec::len);
    match body {
        Body::Update(it) => {
            let bytes = it.records.iter().map(|it| RECORD_BYTES + content(&it.content)).sum();
            if bytes < MIN_COMPRESSED_BYTES { bytes } else { (bytes as f64 * COMPRESSED) as usize }
        }
        Body::Delta(it) => it.records.iter().map(|it| size(&it.value)).sum(),
        Body::List(records, _) | Body::Page(records) => {
            records.iter().map(|it| size(&it.value)).sum::<usize>() + RECORD_BYTES
        }
        Body::Restored | Body::Busy | Body::Refused => RECORD_BYTES,
    }
}
