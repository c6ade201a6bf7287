//! Tests of what is refused because endpoints crashed, while gateways start again.

use std::net::IpAddr;

use persimmon_decide::forward::{
    ChangeNotice, CrashMessage, CrashTracker, CrashVerdict, Digest, PromptPart, Quarantined,
    RequestSignature, StreamMessage,
};
use persimmon_decide::load::EndpointHash;
use persimmon_decide::{Fingerprint, MonoMs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const BAD_PART: u64 = 99;
const DIGEST_MS: u64 = 250;
const HOLDER_MS: u64 = 4_000;
/// Time after the fifth crash from which requests with the part count, and those that may reach endpoints then, from
/// the specification.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, 0, u8::try_from(number).unwrap()])
}

fn request(number: u64, part: u64) -> RequestSignature {
    let prompt = [1, part, 1_000 + number].map(|id| PromptPart { id, tokens: 9 });
    RequestSignature::new(Fingerprint(1_000_000 + number), &prompt)
}

/// What the gateways go through once the part is refused.
#[derive(Debug, Clone, Copy)]
enum Restarts {
    /// Nothing.
    None,
    /// One after the other, again and again.
    InTurn,
    /// One at a time, in any order, at any moment.
    Drawn,
    /// All at one moment, with holders that go on.
    Together,
    /// As drawn, and the holders too.
    DrawnWithHolders,
}

/// Gateways, endpoints that crash under the bad part, and holders.
struct Fleet {
    rng: Pcg64Mcg,
    now: u64,
    gateways: Vec<CrashTracker>,
    /// Time at which each gateway started, from which its clock counts.
    started: Vec<u64>,
    holders: Vec<CrashTracker>,
    endpoints: Vec<EndpointHash>,
    lives: u64,
    loss: f64,
    requests: u64,
    crashes: Vec<u64>,
    /// Times at which requests with the part reached endpoints, by gateways in touch.
    arrivals: Vec<u64>,
    refused: usize,
    /// Whether endpoints answer requests with the part from now on.
    is_sound: bool,
}

impl Fleet {
    fn new(gateways: usize, loss: f64, seed: u64) -> Self {
        let mut fleet = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 10_000,
            gateways: (0..gateways).map(|_| CrashTracker::new()).collect(),
            started: vec![0; gateways],
            holders: (0..4).map(|_| CrashTracker::new()).collect(),
            endpoints: (0..8).map(EndpointHash).collect(),
            lives: 8,
            loss,
            requests: 0,
            crashes: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
            is_sound: false,
        };
        (0..gateways).for_each(|it| fleet.set_gateways(it));
        fleet
    }

    /// Returns the time by a gateway's clock.
    fn clock(&self, gateway: usize) -> MonoMs {
        MonoMs(self.now - self.started[gateway] + 1)
    }

    fn set_gateways(&mut self, number: usize) {
        let all = 0..self.gateways.len();
        self.gateways[number].set_gateways(ip(number), all.map(ip));
    }

    fn restart(&mut self, number: usize, has_peers: bool) {
        self.gateways[number] = CrashTracker::new();
        self.started[number] = self.now;
        self.set_gateways(number);
        let own = self.clock(number);
        let peers = (0..self.gateways.len()).filter(|it| *it != number && has_peers);
        let peers = peers.map(|it| self.gateways[it].reports(64, self.clock(it)));
        for reports in peers.collect::<Vec<_>>() {
            if !self.rng.random_bool(self.loss) {
                self.gateways[number].record_peer_reports(&reports, own);
            }
        }
        let now = MonoMs(self.now);
        for holder in 0..self.holders.len() {
            self.holders[holder].expire(now);
            let reports = self.holders[holder].reports(CrashMessage::MAX_CRASHES, now);
            // The question and the reply.
            if !self.rng.random_bool(self.loss) && !self.rng.random_bool(self.loss) {
                self.gateways[number].record_peer_reports(&reports, own);
            }
        }
    }

    fn send_digest(&mut self, from: usize) {
        let reports = self.gateways[from].reports(64, self.clock(from));
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            let now = self.clock(to);
            if !self.rng.random_bool(self.loss) {
                self.gateways[to].record_peer_reports(&reports, now);
            }
        }
    }

    fn store(&mut self, from: usize) {
        let now = MonoMs(self.now);
        if !self.gateways[from].has_refused_or_cleared() {
            return;
        }
        let reports = self.gateways[from].reports(CrashMessage::MAX_CRASHES, self.clock(from));
        for holder in &mut self.holders {
            if !self.rng.random_bool(self.loss) {
                holder.record_peer_reports(&reports, now);
            }
        }
    }

    /// Sends a request with the part through any gateway.
    fn send(&mut self) {
        self.requests += 1;
        let request = request(self.requests, BAD_PART);
        let gateway = self.rng.random_range(0..self.gateways.len());
        let index = self.rng.random_range(0..self.endpoints.len());
        let endpoint = self.endpoints[index];
        let now = self.clock(gateway);
        let tracker = &mut self.gateways[gateway];
        if tracker.refuses(&request, now)
            || tracker.verdict(&request, endpoint, now) == CrashVerdict::Refused
        {
            tracker.record_turned_away(&request, now);
            self.refused += 1;
            return;
        }
        if tracker.begin(&request, endpoint, now) {
            self.send_digest(gateway);
            self.store(gateway);
        }
        if self.is_sound {
            let tracker = &mut self.gateways[gateway];
            tracker.end(&request, endpoint, now);
            tracker.record_alive(endpoint, now);
            tracker.record_answered(&request, now);
            return self.send_digest(gateway);
        }
        if self.now - self.started[gateway] > CONTACT_MS {
            self.arrivals.push(self.now);
        }
        self.crashes.push(self.now);
        self.endpoints[index] = EndpointHash(self.lives);
        self.lives += 1;
        let tracker = &mut self.gateways[gateway];
        tracker.end(&request, endpoint, now);
        tracker.record_unanswered(&request, endpoint, now, now);
        for from in 0..self.gateways.len() {
            let now = self.clock(from);
            self.gateways[from].record_refused(endpoint, now);
            self.gateways[from].record_alive(self.endpoints[index], now);
        }
        self.send_digest(gateway);
        self.store(gateway);
    }

    /// Sound requests, so that endpoints are known to live.
    fn answer_sound_requests(&mut self) {
        for number in 0..self.gateways.len() {
            let now = self.clock(number);
            self.requests += 1;
            let request = request(self.requests, 500 + self.requests % 20);
            let endpoint = self.endpoints[self.rng.random_range(0..self.endpoints.len())];
            let tracker = &mut self.gateways[number];
            tracker.begin(&request, endpoint, now);
            tracker.end(&request, endpoint, now);
            tracker.record_alive(endpoint, now);
            tracker.record_answered(&request, now);
        }
    }

    fn play(&mut self, restarts: Restarts, seconds: u64) {
        let end = self.now + seconds * 1_000;
        let begin = self.now;
        while self.now < end {
            self.now += 50;
            let elapsed = self.now - begin;
            if elapsed.is_multiple_of(1_000) {
                self.send();
            }
            if elapsed.is_multiple_of(200) {
                self.answer_sound_requests();
            }
            if elapsed.is_multiple_of(DIGEST_MS) {
                for from in 0..self.gateways.len() {
                    let now = self.clock(from);
                    self.gateways[from].expire(now);
                    self.send_digest(from);
                }
            }
            if elapsed.is_multiple_of(HOLDER_MS) {
                (0..self.gateways.len()).for_each(|it| self.store(it));
            }
            if elapsed > 20_000 {
                self.play_restarts(restarts, elapsed);
            }
        }
    }

    fn play_restarts(&mut self, restarts: Restarts, elapsed: u64) {
        let count = self.gateways.len();
        match restarts {
            Restarts::InTurn if elapsed.is_multiple_of(2_000) => {
                let number = usize::try_from(elapsed / 2_000).unwrap() % count;
                self.restart(number, true);
            }
            Restarts::Drawn | Restarts::DrawnWithHolders if self.rng.random_bool(0.02) => {
                let number = self.rng.random_range(0..count);
                self.restart(number, true);
            }
            Restarts::DrawnWithHolders if self.rng.random_bool(0.02) => {
                let number = self.rng.random_range(0..self.holders.len());
                self.holders[number] = CrashTracker::new();
            }
            Restarts::Together if elapsed.is_multiple_of(15_000) => {
                (0..count).for_each(|it| self.gateways[it] = CrashTracker::new());
                (0..count).for_each(|it| self.restart(it, false));
            }
            _ => {}
        }
    }

    fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.arrivals.iter().filter(|at| **at > fifth + CONTACT_MS).count()
    }
}

/// Guards against trials that are counted anew by each process that starts.
#[rstest]
fn part_is_tried_a_few_times_however_often_gateways_start_again(
    #[values(Restarts::InTurn, Restarts::Drawn, Restarts::Together, Restarts::DrawnWithHolders)]
    restarts: Restarts,
    #[values(2, 4, 12)] gateways: usize,
    #[values(0.0, 0.2)] loss: f64,
) {
    for seed in 0..6 {
        let mut fleet = Fleet::new(gateways, loss, seed);
        fleet.play(restarts, 150);
        assert!(fleet.late() <= MAX_LATE, "{} late, seed {seed}", fleet.late());
        assert!(fleet.refused > 100, "{} refused, seed {seed}", fleet.refused);
    }
}

/// What callers still send stays refused for longer than crashes are stored, with a trial now and then.
#[test]
fn part_stays_refused_while_it_is_requested() {
    let mut fleet = Fleet::new(3, 0.0, 1);
    fleet.play(Restarts::InTurn, 1_000);
    let crashes = fleet.crashes.len();
    assert!(crashes <= 5 + 2 * 4, "{crashes} crashes in 1,000 s");
    let refuses = |number: usize| {
        let mut refused = fleet.gateways[number].refused(fleet.clock(number));
        refused.any(|it| it == Quarantined::Part(BAD_PART))
    };
    assert!((0..3).all(refuses));
}

/// A part that is sound again, although its trials have failed, is served after some minutes.
#[test]
fn part_that_is_sound_again_is_cleared() {
    let mut fleet = Fleet::new(3, 0.0, 1);
    fleet.play(Restarts::None, 60);
    assert!(fleet.crashes.len() >= 5, "both trials have failed");
    fleet.is_sound = true;
    fleet.play(Restarts::None, 400);
    fleet.refused = 0;
    fleet.play(Restarts::None, 60);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn part_is_forgotten_once_nobody_requests_it() {
    let mut fleet = Fleet::new(3, 0.0, 1);
    fleet.play(Restarts::InTurn, 15);
    assert!(fleet.refused > 0);
    fleet.now += 300_001;
    for number in 0..3 {
        let now = fleet.clock(number);
        fleet.gateways[number].expire(now);
        assert_eq!(fleet.gateways[number].refused(now).count(), 0);
    }
}

/// Reports of before an answer don't bring a cleared part's trials back.
#[test]
fn reports_from_before_an_answer_are_ignored() {
    let mut fleet = Fleet::new(2, 0.0, 1);
    fleet.play(Restarts::Drawn, 15);
    let earlier = fleet.gateways[0].reports(64, fleet.clock(0));
    assert!(!earlier.part_refusals.is_empty());
    fleet.now += 1_000;
    let answered = request(1_000_000, BAD_PART);
    let now = fleet.clock(1);
    fleet.gateways[1].record_answered(&answered, now);
    // The report arrives late: its ages are those of when it was sent.
    fleet.gateways[1].record_peer_reports(&earlier, now);
    let refused = fleet.gateways[1].refused(now).collect::<Vec<_>>();
    assert!(!refused.contains(&Quarantined::Part(BAD_PART)), "{refused:?}");
}

#[test]
fn message_round_trips_and_is_of_its_own_kind() {
    let mut fleet = Fleet::new(2, 0.0, 1);
    fleet.play(Restarts::Drawn, 15);
    let reports = fleet.gateways[0].reports(CrashMessage::MAX_CRASHES, fleet.clock(0));
    let messages = [
        CrashMessage::Store(reports.clone()),
        CrashMessage::Stored,
        CrashMessage::Query,
        CrashMessage::Reply(reports),
    ];
    for message in messages {
        let bytes = message.to_bytes().unwrap();
        assert_eq!(CrashMessage::from_bytes(&bytes).unwrap().unwrap(), message);
        assert!(StreamMessage::from_bytes(&bytes).is_none());
        assert!(ChangeNotice::from_bytes(&bytes).is_none());
        assert!(Digest::from_bytes(&bytes).is_err());
        for length in 0..bytes.len() {
            let decoded = CrashMessage::from_bytes(&bytes[..length]);
            assert!(!matches!(decoded, Some(Ok(_))), "{length} bytes");
        }
    }
}
