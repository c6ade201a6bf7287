//! A gateway that drives the decisions as the product does.

use std::net::IpAddr;
use std::rc::Rc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    ChangeNotice, Digest, DigestFreshness, FanOut, FanOutInput, FetchEnd, NoticeTo, PeerTable,
    Relay, StoreChange, StoreFallback, StoreFallbackInput, StoreUpdate, StoreView, UpdateError,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::network::{Body, Call, Datagram, Message, Network, Request};
use super::store::ROUTES;

const CHECK_MS: u64 = 1_000;
const WATCH_CHECK_MS: u64 = 100;
const WATCH_WAIT_MS: u64 = 600;
pub(crate) const FIRST_WATCH_WAIT_MS: u64 = 1;
const RETRY_MS: std::ops::RangeInclusive<u64> = 100..=1_000;
const SWEEP_MS: u64 = 1_000;
const MIN_OUTAGE_MS: u64 = 1_000;
const DIGEST_BYTES: usize = 600;

/// A rule that the driver breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Broken {
    /// An update is applied although it follows changes that the view lacks.
    IgnoresGaps,
    /// Lost notices aren't repaired, neither from peers nor from the store.
    NeverRepairs,
    /// Lost notices aren't repaired from peers.
    NeverFetches,
    /// A gateway waits for the end of a fetch before it begins another.
    WaitsForFetch,
    /// A gateway that doesn't watch the store never reads it.
    NeverReadsStore,
}

#[derive(Debug, Clone, Copy)]
enum Reader {
    Idle {
        check_at: u64,
    },
    Due {
        at: u64,
    },
    Calling,
    /// It reads, once, what it can't get from peers.
    Reading,
}

pub(crate) struct Gateway {
    pub(crate) number: usize,
    pub(crate) view: StoreView,
    pub(crate) peers: PeerTable,
    pub(crate) is_earlier_build: bool,
    pub(crate) broken: Option<Broken>,
    /// Number of reads of the store in place of peers.
    pub(crate) store_reads: usize,
    fan_out: FanOut,
    fallback: StoreFallback,
    incarnation: u64,
    sequence: u64,
    rng: Pcg64Mcg,
    reader: Reader,
    is_synced: bool,
    is_watching: bool,
    takes_over: bool,
    failing_since: Option<MonoMs>,
    retry_ms: u64,
    store_contact: Option<MonoMs>,
    wake_at: u64,
    digest_at: u64,
    sweep_at: u64,
    newcomers: Vec<usize>,
    newcomers_at: u64,
}

pub(crate) fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8])
}

fn number(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { unreachable!("the model's addresses are IPv4") };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Gateway {
    /// Creates a process that starts with nothing but the addresses of the fleet.
    pub(crate) fn start(number: usize, gateways: usize, now: u64, rng: &mut Pcg64Mcg) -> Self {
        let seeds = (0..gateways).filter(|it| *it != number).map(ip).collect();
        let incarnation = rng.random();
        Self {
            number,
            view: StoreView::new(),
            peers: PeerTable::new(ip(number), seeds),
            is_earlier_build: false,
            broken: None,
            store_reads: 0,
            fan_out: FanOut::new(),
            fallback: StoreFallback::new(),
            incarnation,
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(incarnation),
            reader: Reader::Due { at: now },
            is_synced: false,
            is_watching: true,
            takes_over: false,
            failing_since: None,
            retry_ms: *RETRY_MS.start(),
            store_contact: None,
            wake_at: now,
            digest_at: now,
            sweep_at: now + SWEEP_MS,
            newcomers: Vec::new(),
            newcomers_at: 0,
        }
    }

    /// Makes the gateway one that has run for long, and whose digests are spread over time.
    pub(crate) fn settle(&mut self, now: u64) {
        (self.is_synced, self.is_watching) = (true, false);
        self.reader = Reader::Idle { check_at: now + self.rng.random_range(0..WATCH_CHECK_MS) };
        self.digest_at = now + self.rng.random_range(0..self.peers.interval_ms(false));
        let input = FanOutInput {
            own: self.view.revision(),
            is_small: false,
            is_watching: false,
            peers: &self.peers,
            now: MonoMs(now),
        };
        self.fan_out.record_position(&input, false, || 0);
    }

    pub(crate) fn digest(&mut self, now: u64) -> Digest {
        self.sequence += 1;
        Digest {
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision: self.view.revision(),
            store_age_ms: self.store_contact.map(|at| MonoMs(now).ms_since(at) as u32),
            peers: self.peers.addresses(self.rng.random(), MonoMs(now)),
            reads_notices: !self.is_earlier_build,
            ..Digest::default()
        }
    }

    fn digest_delay_ms(&self) -> u64 {
        (self.peers.interval_ms(self.is_watching) / 25).max(10)
    }

    pub(crate) fn receive(&mut self, datagram: &Datagram, net: &mut Network, now: u64) {
        match &datagram.message {
            Message::Digest(digest) => {
                if digest.revision > self.view.revision() {
                    self.wake_at = now;
                }
                let freshness = self.peers.record_digest(ip(datagram.from), digest, MonoMs(now));
                if freshness == DigestFreshness::NewIncarnation {
                    self.newcomers.push(datagram.from);
                    self.newcomers_at = now + self.digest_delay_ms();
                }
            }
            Message::Notice(notice) if !self.is_earlier_build => {
                self.receive_notice(datagram.from, notice, net, now);
            }
            Message::Notice(_) => panic!("a notice was sent to an earlier build"),
        }
    }

    fn receive_notice(&mut self, from: usize, notice: &ChangeNotice, net: &mut Network, now: u64) {
        self.peers.record_notice(ip(from), notice.position, MonoMs(now));
        let applied = notice.update.clone().map_or(Ok(Vec::new()), |it| self.update(it, now));
        let update = self.small_update(now);
        let own = self.view.revision();
        let input = FanOutInput {
            own,
            is_small: update.is_some(),
            is_watching: self.is_watching,
            peers: &self.peers,
            now: MonoMs(now),
        };
        let relay = Relay { position: notice.position, group: notice.relay_to.clone() };
        let notices = self.fan_out.record_notice(ip(from), relay, &input, || self.rng.random());
        self.send_notices(notices, update.as_ref(), net, now);
        if let Ok(changes) = applied {
            self.put_in_force(changes, false, net, now);
        }
        if self.view.revision() < notice.position {
            self.wake_at = now;
        }
    }

    fn update(&mut self, mut it: StoreUpdate, now: u64) -> Result<Vec<StoreChange>, UpdateError> {
        if self.broken == Some(Broken::IgnoresGaps) {
            it.since = it.since.min(self.view.revision());
        }
        self.view.apply_update(it, MonoMs(now))
    }

    fn small_update(&self, now: u64) -> Option<StoreUpdate> {
        let mut bases = self.fan_out.update_bases(self.view.revision(), MonoMs(now));
        let is_small = |it: &u64| self.view.update_size(*it) <= ChangeNotice::MAX_UPDATE_BYTES;
        Some(self.view.update_since(bases.find(is_small)?, MonoMs(now)))
    }

    /// Passes changes on before they are in force, as the product does.
    fn put_in_force(
        &mut self,
        changes: Vec<StoreChange>,
        is_from_store: bool,
        net: &mut Network,
        now: u64,
    ) {
        if !self.is_earlier_build {
            let update = self.small_update(now);
            let input = FanOutInput {
                own: self.view.revision(),
                is_small: update.is_some(),
                is_watching: self.is_watching,
                peers: &self.peers,
                now: MonoMs(now),
            };
            let draw = || self.rng.random();
            let notices = self.fan_out.record_position(&input, is_from_store, draw);
            self.send_notices(notices, update.as_ref(), net, now);
        }
        let announces = match self.is_earlier_build {
            true => self.is_watching || self.peers.gateways(MonoMs(now)) <= 41,
            false => self.peers.announces_changes(self.is_watching, MonoMs(now)),
        };
        if !changes.is_empty() && announces {
            self.digest_at = self.digest_at.min(now + self.digest_delay_ms());
        }
        for change in changes {
            // Later routes than those of a restored store stay in force.
            if let StoreChange::Restored { record, known } = change
                && &*record.key == ROUTES
                && version(known.value.as_deref()) > version(record.value.as_deref())
            {
                self.view.keep(&record.key, known.value);
            }
        }
    }

    fn send_notices(
        &self,
        notices: Vec<NoticeTo>,
        update: Option<&StoreUpdate>,
        net: &mut Network,
        now: u64,
    ) {
        for NoticeTo { to, relay_to, has_update } in notices {
            let update = update.filter(|_| has_update).cloned();
            let notice = ChangeNotice { position: self.view.revision(), relay_to, update };
            let bytes = notice.to_bytes().unwrap().len();
            let (from, to) = (self.number, number(to));
            net.send(&Datagram { from, to, message: Message::Notice(Rc::new(notice)) }, bytes, now);
        }
    }

    /// Does what is due.
    pub(crate) fn poll(&mut self, net: &mut Network, now: u64) {
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_MS;
            self.peers.expire(MonoMs(now));
        }
        if self.digest_at <= now {
            self.digest_at = now + self.peers.interval_ms(self.is_watching);
            self.view.expire(MonoMs(now));
            let targets = self.peers.targets();
            self.send_digest(targets.into_iter().map(number), net, now);
        }
        if !self.newcomers.is_empty() && self.newcomers_at <= now {
            let newcomers = std::mem::take(&mut self.newcomers);
            self.send_digest(newcomers.into_iter(), net, now);
        }
        self.poll_reader(net, now);
        if self.wake_at <= now {
            self.wake_at = now + CHECK_MS;
            match self.is_earlier_build {
                true => self.fetch_records(net, now),
                false => self.follow(net, now),
            }
        }
    }

    fn send_digest(&mut self, to: impl Iterator<Item = usize>, net: &mut Network, now: u64) {
        let digest = Rc::new(self.digest(now));
        for to in to {
            let message = Message::Digest(digest.clone());
            net.send(&Datagram { from: self.number, to, message }, DIGEST_BYTES, now);
        }
    }

    /// Starts the one fetch of an earlier build.
    fn fetch_records(&mut self, net: &mut Network, now: u64) {
        let is_fetch =
            |it: &Call| it.client == self.number && matches!(it.request, Request::Records { .. });
        let (own, draw) = (self.view.revision(), self.rng.random());
        if !net.calls.iter().any(is_fetch)
            && let Some(peer) = self.peers.ahead_of(own, draw, |_| false, MonoMs(now))
        {
            net.call(self.number, number(peer), Request::Records { since: own }, now);
        }
    }

    fn follow(&mut self, net: &mut Network, now: u64) {
        let at = MonoMs(now);
        let own = self.view.revision();
        let input = FanOutInput {
            own,
            is_small: false,
            is_watching: self.is_watching,
            peers: &self.peers,
            now: at,
        };
        match self.broken {
            Some(Broken::NeverRepairs | Broken::NeverFetches) => return,
            Some(Broken::WaitsForFetch) if self.fan_out.is_fetching() => {
                self.wake_at = now + WATCH_CHECK_MS;
                return;
            }
            Some(Broken::IgnoresGaps | Broken::WaitsForFetch | Broken::NeverReadsStore) | None => {}
        }
        let notices = self.fan_out.due(&input, || self.rng.random());
        let needless = self.fan_out.take_needless(own);
        net.calls.retain(|it| it.client != self.number || !needless.contains(&ip(it.server)));
        while let Some(peer) = self.fan_out.next_fetch(&input, || self.rng.random()) {
            let needs_values = self.fan_out.asks_for_values(peer);
            let has_patches = self.peers.reads_notices(peer) || self.fan_out.has_offered(peer);
            let request = match has_patches {
                true => Request::Changes { since: own, needs_values },
                false => Request::Records { since: own },
            };
            net.call(self.number, number(peer), request, now);
        }
        self.wake_at = self.fan_out.next_at(at).map_or(now + CHECK_MS, |it| it.0);
        self.send_notices(notices, None, net, now);
    }

    pub(crate) fn record_progress(&mut self, server: usize, now: u64) {
        self.fan_out.record_fetch_progress(ip(server), MonoMs(now));
    }

    pub(crate) fn record_store_progress(&mut self, now: u64) {
        if self.store_contact.is_some_and(|at| at > MonoMs(0)) {
            self.store_contact = Some(MonoMs(now));
            self.peers.record_store_contact(MonoMs(now));
        }
    }

    /// Returns the answer to a peer.
    pub(crate) fn answer(&self, request: Request, large: usize, now: u64) -> Body {
        let at = MonoMs(now);
        match request {
            Request::Changes { since, .. }
                if !FanOut::may_send(self.view.update_size(since), large) =>
            {
                Body::Busy
            }
            Request::Changes { since, needs_values: true } => {
                Body::Update(self.view.values_since(since, at))
            }
            Request::Changes { since, .. } => Body::Update(self.view.update_since(since, at)),
            Request::Records { since } => Body::Delta(self.view.since(since, at)),
            Request::List | Request::Watch { .. } => unreachable!("the store answers these"),
        }
    }

    /// Ends a fetch from a peer; returns how. `answer` is none if it was given up.
    pub(crate) fn end_fetch(
        &mut self,
        (server, request): (usize, Request),
        answer: Option<Body>,
        net: &mut Network,
        now: u64,
    ) -> FetchEnd {
        let (Request::Changes { since, .. } | Request::Records { since }) = request else {
            unreachable!("calls of the store end otherwise")
        };
        let result = match answer {
            Some(Body::Update(it)) if it.revision > since => self.update(it, now).map_err(Some),
            Some(Body::Delta(it)) if it.revision > since => {
                Ok(self.view.apply_peer(it, MonoMs(now)))
            }
            Some(Body::Busy) => Err(None),
            _ => Err(Some(UpdateError::Gap)),
        };
        let end = match result {
            Ok(changes) => {
                self.put_in_force(changes, false, net, now);
                FetchEnd::Applied
            }
            Err(None) => FetchEnd::Busy,
            Err(Some(UpdateError::Gap)) => FetchEnd::Failed,
            Err(Some(_)) => FetchEnd::OtherBase,
        };
        if self.fan_out.record_fetch_end(ip(server), end, MonoMs(now)) {
            self.peers.record_fetch_failed(ip(server), MonoMs(now));
        }
        self.wake_at = now;
        end
    }

    fn poll_reader(&mut self, net: &mut Network, now: u64) {
        let at = MonoMs(now);
        match self.reader {
            Reader::Idle { check_at } if check_at <= now => {
                if !self.peers.should_watch(false, self.rng.random(), at) {
                    self.reader = Reader::Idle { check_at: now + WATCH_CHECK_MS };
                    if self.reads_store(now) {
                        self.read_store(net, now);
                    }
                    return;
                }
                self.is_watching = true;
                self.takes_over = self.peers.is_store_lost(at);
                self.is_synced = self.view.revision() > 0;
                self.call_store(net, now);
            }
            Reader::Due { at: due } if due <= now => {
                if self.is_synced && !self.peers.should_watch(true, self.rng.random(), at) {
                    (self.is_watching, self.store_contact) = (false, None);
                    self.reader = Reader::Idle { check_at: now + WATCH_CHECK_MS };
                    return;
                }
                self.call_store(net, now);
            }
            _ => {}
        }
    }

    fn call_store(&mut self, net: &mut Network, now: u64) {
        self.reader = Reader::Calling;
        let is_first = self.takes_over && self.failing_since.is_none();
        let wait_ms = if is_first { FIRST_WATCH_WAIT_MS } else { WATCH_WAIT_MS };
        let request = match self.is_synced {
            true => Request::Watch { since: self.view.revision(), until: now + wait_ms },
            false => Request::List,
        };
        net.call(self.number, net.store(), request, now);
    }

    /// Reports whether this gateway reads from the store what it can't get from peers.
    fn reads_store(&mut self, now: u64) -> bool {
        let input = StoreFallbackInput {
            own: self.view.revision(),
            progress_at: self.fan_out.progress_at(),
            peers: &self.peers,
            now: MonoMs(now),
        };
        let is_due = self.fallback.is_due(&input);
        let never_reads =
            matches!(self.broken, Some(Broken::NeverReadsStore | Broken::NeverRepairs));
        is_due && !self.is_earlier_build && !never_reads
    }

    fn read_store(&mut self, net: &mut Network, now: u64) {
        self.reader = Reader::Reading;
        self.store_reads += 1;
        let (since, until) = (self.view.revision(), now + FIRST_WATCH_WAIT_MS);
        net.call(self.number, net.store(), Request::Watch { since, until }, now);
    }

    /// Ends the read of what peers don't send. `answer` is none if it failed.
    fn end_store_read(&mut self, answer: Option<Body>, net: &mut Network, now: u64) {
        let at = MonoMs(now);
        self.reader = Reader::Idle { check_at: now + WATCH_CHECK_MS };
        match answer {
            Some(Body::Page(records)) => {
                self.takes_over = true;
                self.record_store_answer(at);
                self.store_contact = None;
                let changes = records.into_iter().flat_map(|it| self.view.apply(it, at)).collect();
                self.put_in_force(changes, true, net, now);
                self.fallback.record_read(self.view.revision());
            }
            // Lists the records, as a watcher does.
            Some(_) => {
                (self.takes_over, self.is_synced) = (true, false);
                self.reader = Reader::Due { at: now };
            }
            None => self.fallback.record_failure(at),
        }
    }

    /// Ends a call of the store. `answer` is none if it failed.
    pub(crate) fn end_store_call(&mut self, answer: Option<Body>, net: &mut Network, now: u64) {
        if matches!(self.reader, Reader::Reading) {
            self.end_store_read(answer, net, now);
            return;
        }
        let at = MonoMs(now);
        self.reader = Reader::Due { at: now };
        match answer {
            Some(Body::List(records, as_of)) => {
                let known = self.view.revision();
                self.record_store_answer(at);
                let changes = self.view.apply_list(records, as_of, at);
                self.is_synced = true;
                self.put_in_force(changes, known > 0, net, now);
                self.fallback.record_read(self.view.revision());
            }
            Some(Body::Page(records)) => {
                self.record_store_answer(at);
                let changes = records.into_iter().flat_map(|it| self.view.apply(it, at)).collect();
                self.put_in_force(changes, true, net, now);
            }
            Some(_) => self.is_synced = false,
            None => {
                if self.failing_since.is_none() {
                    (self.failing_since, self.retry_ms) = (Some(at), *RETRY_MS.start());
                    if self.store_contact.is_none() {
                        self.store_contact = Some(MonoMs(0));
                        self.digest_at = self.digest_at.min(now + self.digest_delay_ms());
                    }
                }
                self.reader = Reader::Due { at: now + self.retry_ms };
                self.retry_ms = (2 * self.retry_ms).min(*RETRY_MS.end());
            }
        }
    }

    fn record_store_answer(&mut self, at: MonoMs) {
        let last = self.peers.store_lost_since(at);
        self.peers.record_store_contact(at);
        self.store_contact = Some(at);
        let failing_since = self.failing_since.take();
        if failing_since.is_some() || std::mem::take(&mut self.takes_over) {
            let lost_since = last.or(failing_since).unwrap_or_default();
            if at.ms_since(lost_since) >= MIN_OUTAGE_MS {
                self.view.record_reconnect(lost_since, at);
            }
        }
    }
}

/// Returns the first line of the large record, whose order is that of its versions.
fn version(value: Option<&[u8]>) -> Option<u64> {
    let line = value?.split(|it| *it == b'\n').next()?;
    std::str::from_utf8(line).ok()?.strip_prefix("version ")?.parse().ok()
}
