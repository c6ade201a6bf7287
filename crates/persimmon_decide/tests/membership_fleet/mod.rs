//! An in-memory fleet of [`Membership`]s on a simulated network with delays, losses and partitions.

#![allow(dead_code, reason = "each test uses a part")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use persimmon_decide::MonoMs;
use persimmon_decide::load::Work;
use persimmon_decide::membership::{
    Digest, Membership, NodeId, OutgoingDigest, OwnState, Vm, VmList, VmName, VmRole, VmState,
    incarnation_at,
};
use persimmon_decide::recovery::{Quarantine, QuarantineSettings};
use persimmon_records::{EndpointBuilder, Generation, RecordSet, Serves, SetVersion, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Network delay from sender to receiver.
pub(crate) const HOP_MS: u64 = 100;
const TICK_MS: u64 = 1_000;
const LOSS: f64 = 0.01;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    pub(crate) zones: usize,
    pub(crate) models: usize,
}

pub(crate) const TODAY: Size = Size { routers: 5, endpoints: 20, zones: 4, models: 2 };

pub(crate) struct Fleet {
    pub(crate) size: Size,
    pub(crate) nodes: Vec<Membership>,
    pub(crate) states: Vec<OwnState>,
    pub(crate) now: MonoMs,
    pub(crate) sent_bytes: Vec<u64>,
    pub(crate) quarantines: Vec<Quarantine>,
    /// Whether a node is on the first side of a partition, if there is one.
    pub(crate) side: Option<fn(usize) -> bool>,
    pub(crate) urgent: bool,
    rng: Pcg64,
    phase: Vec<u64>,
    in_flight: Vec<(SocketAddr, usize, Digest)>,
}

pub(crate) fn name(index: usize) -> VmName {
    format!("vm-{index}").as_str().into()
}

fn address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + index as u32);
    SocketAddr::new(IpAddr::V4(ip), 7000)
}

impl Size {
    pub(crate) fn nodes(self) -> usize {
        self.routers + self.endpoints
    }

    pub(crate) fn model(self, index: usize) -> usize {
        index % self.models
    }

    pub(crate) fn vms(self, version: u64) -> VmList {
        let vm = |index: usize| Vm {
            name: name(index),
            role: if index < self.routers { VmRole::Router } else { VmRole::Endpoint },
            peer: address(index),
            zone: format!("zone-{}", index % self.zones).as_str().into(),
            state: VmState::Live,
        };
        VmList { version, vms: (0..self.nodes()).map(vm).collect() }
    }

    pub(crate) fn records(self) -> RecordSet {
        let endpoint = |index: usize| {
            let model = format!("model-{}", self.model(index));
            EndpointBuilder::new(name(index).as_str(), address(index))
                .with_serves(Serves::Model(model.as_str().into()))
                .build()
        };
        let endpoints = (self.routers..self.nodes()).map(endpoint).collect();
        RecordSet { generation: Generation(1), endpoints, ..RecordSet::empty() }
    }
}

impl Fleet {
    pub(crate) fn new(size: Size, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (vms, records) = (size.vms(1), size.records());
        let version = records.version();
        let nodes = (0..size.nodes()).map(|index| {
            let zone = vms.vms[index].zone.clone();
            let incarnation = incarnation_at(UnixMs(1_000_000), rng.random());
            let mut node = Membership::new(&name(index), zone, incarnation, MonoMs(0));
            node.apply_vms(vms.clone(), MonoMs(0));
            node.apply_records(&records, MonoMs(0));
            node
        });
        let nodes = nodes.collect();
        let settings = QuarantineSettings::default();
        let state = OwnState { records: Some(version), work: Work(100), ..OwnState::default() };
        let phase = (0..size.nodes()).map(|_| rng.random_range(0..TICK_MS / HOP_MS)).collect();
        Self {
            size,
            nodes,
            states: vec![state; size.nodes()],
            now: MonoMs(0),
            sent_bytes: vec![0; size.nodes()],
            quarantines: (0..size.nodes()).map(|_| Quarantine::new(settings)).collect(),
            side: None,
            urgent: true,
            rng,
            phase,
            in_flight: Vec::new(),
        }
    }

    /// Advances the simulation by `ms`.
    pub(crate) fn run_ms(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while self.now < until {
            self.step();
        }
    }

    /// Advances the simulation until `done` returns true, and returns how many milliseconds it
    /// took, or `None` if it takes longer than `within_ms`.
    pub(crate) fn run_until(
        &mut self,
        within_ms: u64,
        done: impl Fn(&Self) -> bool,
    ) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now.ms_since(start) >= within_ms {
                return None;
            }
            self.step();
        }
        Some(self.now.ms_since(start))
    }

    /// Makes a node leave and send its urgent digests.
    pub(crate) fn leave(&mut self, index: usize) {
        self.states[index].leaving = true;
        self.announce(index);
    }

    /// Puts records into force on one node and sends its urgent digests.
    pub(crate) fn adopt(&mut self, index: usize, version: SetVersion) {
        self.states[index].records = Some(version);
        self.announce(index);
    }

    pub(crate) fn knows_left(&self, observer: usize, left: usize) -> bool {
        self.nodes[observer].is_leaving(NodeId::of(&name(left)))
    }

    /// Returns the number of routers that know that a node is leaving.
    pub(crate) fn informed_routers(&self, left: usize) -> usize {
        (0..self.size.routers).filter(|router| self.knows_left(*router, left)).count()
    }

    fn announce(&mut self, index: usize) {
        self.nodes[index].set_state(self.states[index], self.now);
        self.send_urgent(index);
    }

    fn step(&mut self) {
        for (to, from, digest) in std::mem::take(&mut self.in_flight) {
            let IpAddr::V4(ip) = to.ip() else { unreachable!("addresses are IPv4") };
            let index = (u32::from(ip) - 0x0a00_0000) as usize;
            self.deliver(index, from, &digest);
        }
        let phase = self.now.0 / HOP_MS % (TICK_MS / HOP_MS);
        for index in
            (0..self.nodes.len()).filter(|index| self.phase[*index] == phase).collect::<Vec<_>>()
        {
            let random = self.rng.random();
            if let Some(out) = self.nodes[index].tick(self.states[index], self.now, random) {
                self.send(index, out);
            }
        }
        self.now = self.now.plus_ms(HOP_MS);
    }

    fn deliver(&mut self, index: usize, from: usize, digest: &Digest) {
        let received = self.nodes[index].receive(digest, self.now);
        if let Some(digest) = received.reply {
            self.send(index, OutgoingDigest { to: address(from), digest });
        }
        if digest.records > self.states[index].records {
            self.states[index].records = digest.records;
            self.nodes[index].set_state(self.states[index], self.now);
        }
        for mark in &digest.suspects {
            self.quarantines[index].merge_mark(mark, self.now);
        }
        self.send_suspects(index);
    }

    /// Adds the marks of a node's quarantine to its digests, and sends urgent digests if a verdict
    /// has changed.
    pub(crate) fn send_suspects(&mut self, index: usize) {
        let quarantine = &mut self.quarantines[index];
        let marks = quarantine.marks(Digest::MAX_SUSPECTS, self.now);
        let has_changed = quarantine.take_changed();
        self.nodes[index].set_suspects(marks, has_changed);
        self.send_urgent(index);
    }

    fn send_urgent(&mut self, index: usize) {
        if !self.urgent {
            return;
        }
        let rng = &mut self.rng;
        for out in self.nodes[index].urgent_digests(self.now, || rng.random()) {
            self.send(index, out);
        }
    }

    fn send(&mut self, from: usize, OutgoingDigest { to, digest }: OutgoingDigest) {
        assert!(digest.encoded_bytes() <= Digest::MAX_BYTES, "{}", digest.encoded_bytes());
        self.sent_bytes[from] += digest.wire_bytes() as u64;
        let IpAddr::V4(ip) = to.ip() else { unreachable!("addresses are IPv4") };
        let index = (u32::from(ip) - 0x0a00_0000) as usize;
        let is_partitioned = self.side.is_some_and(|side| side(from) != side(index));
        if !is_partitioned && self.rng.random::<f64>() >= LOSS {
            self.in_flight.push((to, from, digest));
        }
    }
}
