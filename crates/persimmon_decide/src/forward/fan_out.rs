//! How a change of the records reaches every gateway.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

use super::PeerTable;
use crate::MonoMs;

/// The state of a gateway that decides how a change is passed on.
#[derive(Debug, Clone, Copy)]
pub struct FanOutInput<'a> {
    /// Position up to which this gateway has every change.
    pub own: u64,
    /// Whether the last change fits into a notice.
    pub is_small: bool,
    /// Whether this gateway watches the store.
    pub is_watching: bool,
    /// The other gateways.
    pub peers: &'a PeerTable,
    /// The present time.
    pub now: MonoMs,
}

impl FanOutInput<'_> {
    /// Returns the gateways that read notices and lack the last change, in the order of random numbers. Those
    /// that may have ended or end soon come last, as they aren't to pass it on.
    fn lacking(&self, draw: impl FnMut() -> u64) -> Vec<IpAddr> {
        let lacking = self.peers.notified(self.now).filter(|it| it.position < self.own);
        let mut group: Vec<_> = lacking.collect();
        shuffle(&mut group, draw);
        group.sort_by_key(|it| it.is_doubtful);
        group.into_iter().map(|it| it.ip).collect()
    }

    /// Returns the notices by which a gateway passes the last change on to a group.
    fn relay(&self, mut group: Vec<IpAddr>, draw: impl FnMut() -> u64) -> Vec<NoticeTo> {
        // A wrong notice may name gateways many times, which would then send it to each other as often.
        group.sort_unstable();
        group.dedup();
        shuffle(&mut group, draw);
        group.sort_by_cached_key(|ip| self.peers.is_doubtful(*ip, self.now));
        spread(group, self.fan_out())
    }

    /// Returns the number of gateways to which the last change is passed on.
    fn fan_out(&self) -> usize {
        if self.is_small { FanOut::SMALL_FAN_OUT } else { FanOut::LARGE_FAN_OUT }
    }
}

/// A notice to send to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeTo {
    /// The receiver.
    pub to: IpAddr,
    /// Gateways to which the receiver passes the notice on.
    pub relay_to: Vec<IpAddr>,
    /// Whether the notice contains the change if it is small. Others get the change only if they ask.
    pub has_update: bool,
}

/// How a fetch from a peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchEnd {
    /// The peer's records are in force.
    Applied,
    /// The peer sends records to as many others as its link bears.
    Busy,
    /// The peer sent nothing, or nothing that can be used.
    Failed,
    /// The peer's records are patches of values that this gateway doesn't have.
    OtherBase,
}

/// Gateways to which a change is to be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Position of the change.
    pub position: u64,
    /// The gateways.
    pub group: Vec<IpAddr>,
}

/// A fetch in progress.
#[derive(Debug)]
struct Fetch {
    /// Position that the peer had when the fetch began.
    target: u64,
    started_at: MonoMs,
    /// Time at which bytes last arrived.
    progress_at: MonoMs,
    /// Whether it asks for values in place of patches.
    asks_for_values: bool,
}

impl Fetch {
    fn is_stalled(&self, now: MonoMs) -> bool {
        now.ms_since(self.progress_at) >= FanOut::HEDGE_MS
    }

    /// Returns the time from which another peer is asked as well.
    fn hedge_at(&self) -> MonoMs {
        let stalled_at = self.progress_at.plus_ms(FanOut::HEDGE_MS);
        stalled_at.min(self.started_at.plus_ms(FanOut::SLOW_MS))
    }
}

/// Repeated notices to a few peers, drawn each time.
#[derive(Debug)]
struct Rounds {
    next_at: MonoMs,
    left: u32,
}

/// Decides which gateways pass a change on to which, and from which a gateway fetches it.
///
/// Handles fleets of hundreds of gateways on narrow links, in which the few that read the store can neither
/// send a large set to all others nor answer them all at one moment. Each gateway that has a change passes
/// it on to a few others, and names those to which each of them passes it on in turn, so that nobody's part
/// grows with the fleet. What is lost on the way is repaired from any gateway that has it: each one
/// notifies a few peers, drawn at random, again after a while, and digests name every gateway's position.
/// A fetch that makes no progress doesn't hold up the next one.
#[derive(Debug, Default)]
pub struct FanOut {
    /// This gateway's latest positions, each with the time from which it had it.
    recent: VecDeque<(u64, MonoMs)>,
    /// Gateways that wait for changes which this gateway doesn't have yet, each group since this time.
    relays: Vec<(Relay, MonoMs)>,
    rounds: Option<Rounds>,
    /// Positions of peers that sent notices and are ahead of this gateway.
    offers: BTreeMap<IpAddr, u64>,
    /// Time since which a peer has been ahead.
    ahead_since: Option<MonoMs>,
    fetches: BTreeMap<IpAddr, Fetch>,
    /// Peers that were busy, each with the time until which they aren't asked.
    busy_until: BTreeMap<IpAddr, MonoMs>,
    /// Time at which a peer last sent a part of its records, or answered that it is busy.
    progress_at: Option<MonoMs>,
    needs_values: bool,
}

impl FanOut {
    /// Number of gateways to which a gateway passes on a change that fits into the notice.
    const SMALL_FAN_OUT: usize = 4;
    /// Number of gateways to which a gateway passes on a change that they have to fetch from it: they share
    /// its link.
    const LARGE_FAN_OUT: usize = 3;
    /// Time for which a change stays in the notices of later ones, in milliseconds, so that a gateway which
    /// has missed a notice gets its change with the next.
    const REPEATED_MS: u64 = 1_000;
    /// Delay of the first round of notices to peers drawn at random, in milliseconds: most of them have the
    /// change by then.
    const FIRST_ROUND_MS: u64 = 150;
    /// Delay of each further round, in milliseconds.
    const NEXT_ROUND_MS: u64 = 400;
    const ROUNDS: u32 = 2;
    /// Number of peers notified in a round.
    const ROUND_PEERS: usize = 3;
    /// Time for which a peer must be ahead before a gateway fetches from it that got no notice, or that
    /// watches the store, in milliseconds: the notice, or its own watch, usually brings the change sooner.
    const EXPECTED_MS: u64 = 250;
    /// Time without bytes after which another peer is asked as well, in milliseconds.
    const HEDGE_MS: u64 = 200;
    /// Time after which another peer is asked as well although bytes come, in milliseconds.
    const SLOW_MS: u64 = 500;
    /// Maximum number of fetches in progress.
    const MAX_FETCHES: usize = 3;
    /// Maximum number of fetches in progress while bytes come: they share this gateway's link.
    const MAX_ACTIVE: usize = 2;
    /// Time for which a busy peer isn't asked again, in milliseconds.
    const BUSY_MS: u64 = 60;
    /// Time after which a notice isn't passed on any more, in milliseconds.
    const RELAY_MS: u64 = 3_000;
    /// Size of an answer to a peer from which it occupies the link, in bytes.
    const LARGE_BYTES: usize = 16 * 1024;
    /// Maximum number of such answers at one time. More would only be slower together.
    const MAX_LARGE: usize = 4;

    /// Creates the state of a gateway without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reports whether an answer of `bytes` to a peer is to be sent while `large` others of considerable size
    /// are in progress.
    pub fn may_send(bytes: usize, large: usize) -> bool {
        !Self::is_large(bytes) || large < Self::MAX_LARGE
    }

    /// Reports whether an answer of this size counts for [`Self::may_send`].
    pub fn is_large(bytes: usize) -> bool {
        bytes > Self::LARGE_BYTES
    }

    /// Reports whether the change to the position `own` is still to be recorded.
    pub fn is_new(&self, own: u64) -> bool {
        self.recent.back().is_none_or(|(position, _)| *position < own)
    }

    /// Returns positions from which an update to the position `own` may start in a notice, the preferred one
    /// first: one that covers the changes of the last moment, and the last one before.
    pub fn update_bases(&self, own: u64, now: MonoMs) -> impl Iterator<Item = u64> {
        let is_old = |at: MonoMs| now.ms_since(at) >= Self::REPEATED_MS;
        let mut before = self.recent.iter().rev().filter(move |(position, _)| *position < own);
        let last = before.clone().next();
        let covering = before.find(|(_, at)| is_old(*at)).or(self.recent.front());
        let bases = [covering, last].into_iter().flatten().map(|it| it.0);
        bases.filter(move |it| *it < own)
    }

    /// Records that this gateway has every change up to its position, and returns the notices to send.
    /// `is_from_store` says whether the store sent the change to this gateway.
    pub fn record_position(
        &mut self,
        input: &FanOutInput<'_>,
        is_from_store: bool,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<NoticeTo> {
        let FanOutInput { own, now, .. } = *input;
        if !self.is_new(own) {
            return Vec::new();
        }
        self.recent.push_back((own, now));
        while self.recent.get(1).is_some_and(|(_, at)| now.ms_since(*at) >= Self::REPEATED_MS) {
            self.recent.pop_front();
        }
        self.offers.retain(|_, position| *position > own);
        self.ahead_since = None;
        self.needs_values = false;
        // A series of changes doesn't put the rounds off.
        let next_at = now.plus_ms(Self::FIRST_ROUND_MS);
        let next_at = self.rounds.as_ref().map_or(next_at, |it| it.next_at.min(next_at));
        self.rounds = Some(Rounds { next_at, left: Self::ROUNDS });
        let mut notices = Vec::new();
        let (reached, waiting) =
            std::mem::take(&mut self.relays).into_iter().partition(|(it, _)| it.position <= own);
        self.relays = waiting;
        for (relay, received_at) in Vec::into_iter(reached) {
            if now.ms_since(received_at) <= Self::RELAY_MS {
                notices.extend(input.relay(relay.group, &mut draw));
            }
        }
        if is_from_store {
            notices.extend(spread(input.lacking(draw), input.fan_out()));
        }
        notices
    }

    /// Records a notice, after its update has been applied if it could be. Returns the notices to pass on.
    pub fn record_notice(
        &mut self,
        from: IpAddr,
        relay: Relay,
        input: &FanOutInput<'_>,
        draw: impl FnMut() -> u64,
    ) -> Vec<NoticeTo> {
        let now = input.now;
        if input.own >= relay.position {
            return input.relay(relay.group, draw);
        }
        let offer = self.offers.entry(from).or_default();
        *offer = relay.position.max(*offer);
        self.ahead_since.get_or_insert(now);
        self.relays.retain(|(_, received_at)| now.ms_since(*received_at) <= Self::RELAY_MS);
        if !relay.group.is_empty() {
            self.relays.push((relay, now));
        }
        Vec::new()
    }

    /// Returns the notices of a round that is due.
    pub fn due(&mut self, input: &FanOutInput<'_>, draw: impl FnMut() -> u64) -> Vec<NoticeTo> {
        let now = input.now;
        let Some(rounds) = self.rounds.as_mut().filter(|it| it.next_at <= now) else {
            return Vec::new();
        };
        rounds.next_at = now.plus_ms(Self::NEXT_ROUND_MS);
        rounds.left -= 1;
        if rounds.left == 0 {
            self.rounds = None;
        }
        let mut group = input.lacking(draw);
        group.truncate(Self::ROUND_PEERS);
        let notice = |to| NoticeTo { to, relay_to: Vec::new(), has_update: false };
        group.into_iter().map(notice).collect()
    }

    /// Returns the peer to fetch from now, if there is one. The caller starts the fetch.
    pub fn next_fetch(
        &mut self,
        input: &FanOutInput<'_>,
        mut draw: impl FnMut() -> u64,
    ) -> Option<IpAddr> {
        let FanOutInput { own, peers, now, .. } = *input;
        self.busy_until.retain(|_, until| *until > now);
        if self.is_behind(own) || peers.is_ahead_of(own, now) {
            self.ahead_since.get_or_insert(now);
        } else {
            self.ahead_since = None;
        }
        let ahead_ms = now.ms_since(self.ahead_since?);
        let is_expected = ahead_ms < Self::EXPECTED_MS;
        if !self.may_start(now) || (input.is_watching && is_expected) {
            return None;
        }
        let is_asked =
            |ip: &IpAddr| self.fetches.contains_key(ip) || self.busy_until.contains_key(ip);
        let offered = self.offers.iter().filter(|(ip, _)| !is_asked(ip));
        // Of those that offer the latest, any: others may have got the same offers.
        let latest = offered.clone().map(|(_, position)| *position).max();
        let best: Vec<_> = offered.filter(|(_, it)| Some(**it) == latest).collect();
        let offer = draw().checked_rem(best.len() as u64).map(|at| *best[at as usize].0);
        let source = offer.or_else(|| {
            if is_expected {
                return None;
            }
            peers.ahead_of(own, draw(), is_asked, now)
        })?;
        let target = self.offers.get(&source).copied().or(peers.position(source));
        let target = target.unwrap_or(own);
        let asks_for_values = self.needs_values;
        let fetch = Fetch { target, started_at: now, progress_at: now, asks_for_values };
        self.fetches.insert(source, fetch);
        Some(source)
    }

    /// Reports whether a fetch may start beside those in progress.
    fn may_start(&self, now: MonoMs) -> bool {
        let active = self.fetches.values().filter(|it| !it.is_stalled(now)).count();
        self.fetches.len() < Self::MAX_FETCHES
            && active < Self::MAX_ACTIVE
            && self.fetches.values().all(|it| it.hedge_at() <= now)
    }

    /// Removes the fetches that bring nothing later than `own`, and returns their peers. The caller gives
    /// them up.
    pub fn take_needless(&mut self, own: u64) -> Vec<IpAddr> {
        let needless = self.fetches.iter().filter(|(_, it)| it.target <= own);
        let needless: Vec<_> = needless.map(|(ip, _)| *ip).collect();
        self.fetches.retain(|_, it| it.target > own);
        needless
    }

    /// Reports whether a peer has sent a notice of changes that this gateway lacks.
    pub fn has_offered(&self, peer: IpAddr) -> bool {
        self.offers.contains_key(&peer)
    }

    /// Reports whether a peer has sent a notice of changes later than `own`.
    fn is_behind(&self, own: u64) -> bool {
        self.offers.values().any(|position| *position > own)
    }

    /// Reports whether a fetch is in progress.
    pub fn is_fetching(&self) -> bool {
        !self.fetches.is_empty()
    }

    /// Reports whether the fetch from a peer asks for values in place of patches.
    pub fn asks_for_values(&self, from: IpAddr) -> bool {
        self.fetches.get(&from).is_some_and(|it| it.asks_for_values)
    }

    /// Records that bytes of a fetch have arrived.
    pub fn record_fetch_progress(&mut self, from: IpAddr, now: MonoMs) {
        if let Some(fetch) = self.fetches.get_mut(&from) {
            fetch.progress_at = now;
            self.progress_at = Some(now);
        }
    }

    /// Returns the time at which a peer last sent a part of its records, or answered that it is busy.
    pub fn progress_at(&self) -> Option<MonoMs> {
        self.progress_at
    }

    /// Records the end of a fetch; does nothing if it has ended before. Returns whether the peer isn't to be asked
    /// until it is heard again.
    pub fn record_fetch_end(&mut self, from: IpAddr, end: FetchEnd, now: MonoMs) -> bool {
        let Some(Fetch { asks_for_values, .. }) = self.fetches.remove(&from) else { return false };
        match end {
            FetchEnd::Applied => false,
            FetchEnd::Busy => {
                self.busy_until.insert(from, now.plus_ms(Self::BUSY_MS));
                self.progress_at = Some(now);
                false
            }
            FetchEnd::OtherBase if !asks_for_values => {
                self.needs_values = true;
                false
            }
            // A peer that sends patches though values were asked for is of no use.
            FetchEnd::Failed | FetchEnd::OtherBase => {
                self.offers.remove(&from);
                true
            }
        }
    }

    /// Returns the time after `checked_at` at which [`Self::due`] or [`Self::next_fetch`] may have something new,
    /// if time alone brings it.
    pub fn next_at(&self, checked_at: MonoMs) -> Option<MonoMs> {
        let round = self.rounds.as_ref().map(|it| it.next_at);
        let ahead = self.ahead_since.map(|it| it.plus_ms(Self::EXPECTED_MS));
        let hedge = self.fetches.values().map(Fetch::hedge_at).max();
        let fetch = if self.fetches.is_empty() { ahead } else { hedge };
        let busy = self.busy_until.values().min().copied();
        [round, fetch, busy].into_iter().flatten().filter(|at| *at > checked_at).min()
    }
}

/// Divides a group among the first `fan_out` of its members, each of which passes the notice on to the rest
/// of its part.
fn spread(group: Vec<IpAddr>, fan_out: usize) -> Vec<NoticeTo> {
    let notice = |to: &IpAddr| NoticeTo { to: *to, relay_to: Vec::new(), has_update: true };
    let mut notices: Vec<_> = group.iter().take(fan_out).map(notice).collect();
    for (number, ip) in group.into_iter().skip(fan_out).enumerate() {
        notices[number % fan_out].relay_to.push(ip);
    }
    notices
}

fn shuffle<T>(group: &mut [T], mut draw: impl FnMut() -> u64) {
    for end in (1..group.len()).rev() {
        group.swap(end, (draw() % (end as u64 + 1)) as usize);
    }
}
