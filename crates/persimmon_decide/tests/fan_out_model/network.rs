//! Links that datagrams and answers share, with what disturbs them.

use std::collections::BTreeMap;
use std::rc::Rc;

use persimmon_decide::forward::{ChangeNotice, Digest, StoreDelta, StoreRecord, StoreUpdate};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Duration of a step of the model, in milliseconds.
pub(crate) const STEP_MS: u64 = 2;
/// Rates of most links, and of one in eight, in bytes per millisecond.
const NARROW: f64 = 2_500.0;
const WIDE: f64 = 25_000.0;
const STORE_LINK: f64 = 250_000.0;
const VERY_SLOW: f64 = 20.0;
/// Time after which a lost segment is sent again, in milliseconds.
pub(crate) const RETRANSMISSION_MS: u64 = 200;
const SLOW_DELAY_MS: u64 = 300;
/// Time for which a link's queue holds datagrams, in milliseconds; others are dropped.
const MAX_QUEUE_MS: u64 = 200;
/// Number of datagrams that a frozen gateway's socket holds.
const MAX_HELD: usize = 200;

/// What disturbs a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// It sends, and receives nothing.
    Deaf,
    /// It receives, and what it sends is lost.
    Mute,
    CutOff,
    StoreCutOff,
    Frozen,
    Slow,
    Killed,
}

impl Trouble {
    pub(crate) const ALL: [Self; 7] = [
        Self::Deaf,
        Self::Mute,
        Self::CutOff,
        Self::StoreCutOff,
        Self::Frozen,
        Self::Slow,
        Self::Killed,
    ];
}

/// Paths that pass nothing, each from a gateway of one group to a gateway of the other.
#[derive(Debug, Clone)]
pub(crate) struct Cut {
    pub(crate) from: Vec<usize>,
    pub(crate) to: Vec<usize>,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Digest(Rc<Digest>),
    Notice(Rc<ChangeNotice>),
}

#[derive(Debug, Clone)]
pub(crate) struct Datagram {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) message: Message,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Request {
    Changes { since: u64, needs_values: bool },
    Records { since: u64 },
    List,
    Watch { since: u64, until: u64 },
}

#[derive(Debug)]
pub(crate) enum Body {
    Update(StoreUpdate),
    Delta(StoreDelta),
    List(Vec<StoreRecord>, u64),
    Page(Vec<StoreRecord>),
    Restored,
    Busy,
    Refused,
}

/// A call, from its request to the last byte of its answer.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) client: usize,
    pub(crate) server: usize,
    pub(crate) request: Request,
    /// Time at which the request arrives.
    pub(crate) arrives_at: u64,
    pub(crate) started_at: u64,
    /// Time at which the answer last made progress.
    pub(crate) progress_at: u64,
    /// Bytes of the answer that are still to come.
    pub(crate) left: f64,
    pub(crate) bytes: usize,
    pub(crate) answer: Option<Body>,
}

#[derive(Debug)]
pub(crate) struct Node {
    rate: f64,
    free_at: f64,
    pub(crate) trouble: Option<Trouble>,
    pub(crate) held: Vec<Datagram>,
    /// Bytes of notices and of answers sent.
    pub(crate) sent: usize,
}

impl Node {
    fn is(&self, trouble: &[Trouble]) -> bool {
        self.trouble.is_some_and(|it| trouble.contains(&it))
    }

    fn rate(&self) -> f64 {
        if self.is(&[Trouble::Slow]) { VERY_SLOW } else { self.rate }
    }

    pub(crate) fn runs(&self) -> bool {
        !self.is(&[Trouble::Frozen, Trouble::Killed])
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    /// Maximum additional delay, in milliseconds, which also reorders.
    pub(crate) jitter_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Network {
    /// The gateways, and the store as the last one.
    pub(crate) nodes: Vec<Node>,
    pub(crate) faults: Faults,
    pub(crate) calls: Vec<Call>,
    /// Cuts in force, by the number of each.
    pub(crate) cuts: BTreeMap<usize, Cut>,
    rng: Pcg64Mcg,
    queue: BTreeMap<(u64, u64), Datagram>,
    count: u64,
}

impl Network {
    pub(crate) fn new(gateways: usize, faults: Faults, seed: u64) -> Self {
        let node = |rate| Node { rate, free_at: 0.0, trouble: None, held: Vec::new(), sent: 0 };
        let rate = |it: usize| if it % 8 == 5 { WIDE } else { NARROW };
        let mut nodes: Vec<_> = (0..gateways).map(|it| node(rate(it))).collect();
        nodes.push(node(STORE_LINK));
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (queue, calls, cuts) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Self { nodes, faults, calls, cuts, rng, queue, count: 0 }
    }

    pub(crate) fn store(&self) -> usize {
        self.nodes.len() - 1
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        use Trouble::{CutOff, Deaf, Killed, Mute, StoreCutOff};
        let is_store = [from, to].contains(&self.store());
        let is_cut = |it: usize| is_store && self.nodes[it].is(&[StoreCutOff]);
        !self.nodes[from].is(&[Mute, CutOff, Killed])
            && !self.nodes[to].is(&[Deaf, CutOff, Killed])
            && !is_cut(from)
            && !is_cut(to)
            && !self.cuts.values().any(|it| it.from.contains(&from) && it.to.contains(&to))
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        let slow = [from, to].iter().filter(|it| self.nodes[**it].is(&[Trouble::Slow])).count();
        let jitter_ms = self.rng.random_range(0..=self.faults.jitter_ms);
        1 + jitter_ms + slow as u64 * SLOW_DELAY_MS
    }

    pub(crate) fn send(&mut self, datagram: &Datagram, bytes: usize, now: u64) {
        let Datagram { from, to, .. } = *datagram;
        let node = &mut self.nodes[from];
        if node.free_at > (now + MAX_QUEUE_MS) as f64 {
            return;
        }
        node.free_at = node.free_at.max(now as f64) + bytes as f64 / node.rate();
        if matches!(datagram.message, Message::Notice(_)) {
            node.sent += bytes;
        }
        let left_at = node.free_at as u64;
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            if !self.passes(from, to) || self.rng.random_bool(self.faults.loss) {
                continue;
            }
            self.count += 1;
            let at = left_at + self.delay_ms(from, to);
            self.queue.insert((at, self.count), datagram.clone());
        }
    }

    pub(crate) fn call(&mut self, client: usize, server: usize, request: Request, now: u64) {
        let is_lost = self.rng.random_bool(self.faults.loss);
        // The connection is opened before the request.
        let delay_ms = 3 * self.delay_ms(client, server);
        let call = Call {
            client,
            server,
            request,
            arrives_at: now + delay_ms + u64::from(is_lost) * RETRANSMISSION_MS,
            started_at: now,
            progress_at: now,
            left: 0.0,
            bytes: 0,
            answer: None,
        };
        self.calls.push(call);
    }

    /// Returns a datagram that arrives now. Those to a frozen gateway wait.
    pub(crate) fn receive(&mut self, now: u64) -> Option<Datagram> {
        while let Some(first) = self.queue.first_entry().filter(|it| it.key().0 <= now) {
            let datagram = first.remove();
            let node = &mut self.nodes[datagram.to];
            if node.is(&[Trouble::Killed]) {
                continue;
            }
            if node.runs() {
                return Some(datagram);
            }
            if node.held.len() < MAX_HELD {
                node.held.push(datagram);
            }
        }
        None
    }

    /// Reports whether the two ends of a call exchange segments.
    pub(crate) fn is_connected(&self, call: &Call) -> bool {
        let (client, server) = (call.client, call.server);
        self.passes(client, server) && self.passes(server, client) && self.nodes[server].runs()
    }

    /// Moves the answers on, and returns the calls that made progress.
    pub(crate) fn transfer(&mut self, now: u64) -> Vec<usize> {
        let moving: Vec<_> = (0..self.calls.len())
            .filter(|it| self.calls[*it].answer.is_some() && self.is_connected(&self.calls[*it]))
            .collect();
        let mut shares = vec![(0_u32, 0_u32); self.nodes.len()];
        for call in moving.iter().map(|it| &self.calls[*it]) {
            shares[call.server].0 += 1;
            shares[call.client].1 += 1;
        }
        for number in &moving {
            let call = &mut self.calls[*number];
            let sends = self.nodes[call.server].rate() / f64::from(shares[call.server].0);
            let receives = self.nodes[call.client].rate() / f64::from(shares[call.client].1);
            call.left -= sends.min(receives) * STEP_MS as f64;
            call.progress_at = now;
        }
        moving
    }
}
