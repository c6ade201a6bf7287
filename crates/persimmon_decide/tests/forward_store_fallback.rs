//! Tests of when a gateway reads from the store what its peers don't send.

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Digest, PeerTable, StoreFallback, StoreFallbackInput};
use rstest::rstest;

const START: MonoMs = MonoMs(10_000);
/// Interval between two checks, in milliseconds.
const CHECK_MS: u64 = 100;
/// Time in which a gateway must have what it lacks, from the change on, in milliseconds: the shortest bound of
/// the deployments. Before a gateway knows of the change, a watcher's digest interval may pass.
const LIMIT_MS: u64 = 2_000;
const WATCHER_INTERVAL_MS: u64 = 500;
/// Time that the read of the store takes, in milliseconds.
const READ_MS: u64 = 200;

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8])
}

/// A gateway with its peers.
struct Gateway {
    peers: PeerTable,
    fallback: StoreFallback,
    sequence: u64,
    own: u64,
    progress_at: Option<MonoMs>,
}

impl Gateway {
    /// Creates a gateway that has every change up to position 6, as all others have.
    fn new(number: usize, gateways: usize) -> Self {
        let mut gateway = Self {
            peers: PeerTable::new(ip(number), Vec::new()),
            fallback: StoreFallback::new(),
            sequence: 0,
            own: 6,
            progress_at: None,
        };
        (0..gateways).filter(|it| *it != number).for_each(|it| gateway.hear(it, 6, 0));
        gateway
    }

    /// Receives a digest that names this position, `ms` after the start.
    fn hear(&mut self, from: usize, revision: u64, ms: u64) {
        self.sequence += 1;
        let sequence = self.sequence;
        let digest =
            Digest { incarnation: 1, sequence, revision, reads_notices: true, ..Digest::default() };
        self.peers.record_digest(ip(from), &digest, START.plus_ms(ms));
    }

    fn is_due(&mut self, ms: u64) -> bool {
        let Self { own, progress_at, ref peers, .. } = *self;
        let input = StoreFallbackInput { own, progress_at, peers, now: START.plus_ms(ms) };
        self.fallback.is_due(&input)
    }

    /// Checks at the usual interval; returns the time of the first read, in milliseconds after the start.
    fn first_read(&mut self, times: std::ops::Range<u64>) -> Option<u64> {
        times.step_by(CHECK_MS as usize).find(|ms| self.is_due(*ms))
    }
}

/// Hears of a change at the start, and keeps hearing of it.
fn behind(number: usize, gateways: usize) -> Gateway {
    let mut gateway = Gateway::new(number, gateways);
    gateway.hear(0, 7, 0);
    gateway
}

#[test]
fn gateway_with_all_changes_never_reads() {
    assert_eq!(Gateway::new(3, 22).first_read(0..5_000), None);
}

#[test]
fn change_that_arrives_soon_needs_no_read() {
    let mut gateway = behind(3, 22);
    assert_eq!(gateway.first_read(0..500), None);
    gateway.own = 7;
    assert_eq!(gateway.first_read(500..5_000), None);
    assert_eq!(gateway.fallback.lacking_ms(START.plus_ms(5_000)), None);
}

/// A zone whose packets get nowhere kept its routes for as long as that lasted, beside a store in reach.
#[rstest]
#[case::two(2)]
#[case::tens(22)]
#[case::hundred(103)]
fn every_gateway_that_lacks_a_change_reads_it_in_time(#[case] gateways: usize) {
    for number in 1..gateways {
        let read_at = behind(number, gateways).first_read(0..LIMIT_MS);
        let limit_ms = LIMIT_MS - WATCHER_INTERVAL_MS - READ_MS;
        let is_in_time = read_at.is_some_and(|it| it < limit_ms);
        assert!(is_in_time, "gateway {number} reads at {read_at:?}");
    }
}

#[test]
fn few_gateways_read_first() {
    let times: Vec<_> = (1..103).filter_map(|it| behind(it, 103).first_read(0..5_000)).collect();
    let first = times.iter().min().unwrap();
    let first = times.iter().filter(|it| *it == first).count();
    assert_eq!((times.len(), first), (102, 2));
}

/// Changes that follow each other don't hold up the first one, and reading doesn't begin anew with each.
#[test]
fn series_of_changes_is_read_once_in_a_while() {
    let mut gateway = Gateway::new(1, 2);
    let (mut reads, mut max_lacking_ms) = (0, 0);
    for ms in (0..10_000).step_by(CHECK_MS as usize) {
        let position = 7 + ms / CHECK_MS;
        gateway.hear(0, position, ms);
        if gateway.is_due(ms) {
            reads += 1;
            gateway.own = position;
            gateway.fallback.record_read(position);
        }
        let lacking_ms = gateway.fallback.lacking_ms(START.plus_ms(ms));
        max_lacking_ms = max_lacking_ms.max(lacking_ms.unwrap_or(0));
    }
    assert!((5..=17).contains(&reads), "{reads} reads");
    assert!(max_lacking_ms <= 700, "{max_lacking_ms} ms");
}

/// Peers that send one change after another, each in time, leave nothing to read.
#[test]
fn steady_lag_needs_no_read() {
    let mut gateway = Gateway::new(1, 2);
    for ms in (0..10_000).step_by(CHECK_MS as usize) {
        let position = 7 + ms / CHECK_MS;
        gateway.hear(0, position, ms);
        gateway.own = position.saturating_sub(3).max(6);
        assert!(!gateway.is_due(ms), "at {ms} ms");
    }
}

#[test]
fn fetch_that_moves_delays_the_read_for_a_limited_time() {
    let mut gateway = behind(1, 2);
    let mut read_at = None;
    for ms in (0..3_000_u64).step_by(CHECK_MS as usize) {
        gateway.progress_at = Some(START.plus_ms(ms.saturating_sub(50)));
        if read_at.is_none() && gateway.is_due(ms) {
            read_at = Some(ms);
        }
    }
    let read_at = read_at.unwrap();
    assert!((900..=LIMIT_MS - WATCHER_INTERVAL_MS - READ_MS).contains(&read_at), "{read_at} ms");
}

#[test]
fn fetch_that_is_stuck_does_not_delay_the_read() {
    let mut gateway = behind(1, 2);
    gateway.progress_at = Some(START.plus_ms(100));
    assert!(gateway.first_read(0..LIMIT_MS).is_some_and(|it| it <= 700));
}

#[test]
fn failed_reads_are_repeated_less_and_less_often() {
    let mut gateway = behind(1, 2);
    let mut reads = Vec::new();
    for ms in (0..10_000).step_by(CHECK_MS as usize) {
        gateway.hear(0, 7, ms);
        if gateway.is_due(ms) {
            reads.push(ms);
            gateway.fallback.record_failure(START.plus_ms(ms));
        }
    }
    let pauses: Vec<_> = reads.windows(2).map(|it| it[1] - it[0]).collect();
    assert!(pauses.is_sorted() && pauses[0] == 100, "{pauses:?}");
    assert_eq!(pauses.last(), Some(&1_000));
}

/// A position that the store doesn't have can't be reached by any number of reads.
#[test]
fn position_that_the_store_lacks_is_asked_for_once() {
    let mut gateway = behind(1, 2);
    gateway.hear(0, 1_000, 10);
    assert!(gateway.first_read(100..LIMIT_MS).is_some());
    gateway.own = 8;
    gateway.fallback.record_read(8);
    for ms in (LIMIT_MS..10_000).step_by(CHECK_MS as usize) {
        gateway.hear(0, 1_000, ms);
        assert!(!gateway.is_due(ms), "at {ms} ms");
    }
    gateway.hear(0, 1_001, 10_000);
    assert!(gateway.first_read(10_000..12_000).is_some());
}
