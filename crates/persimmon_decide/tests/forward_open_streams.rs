//! Tests of telling others again what began streams that are still in progress.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{OpenStreams, StreamKey, StreamOrigin, StreamVersions};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn origin() -> Arc<StreamOrigin> {
    Arc::new(StreamOrigin { service: "chat".into(), version: "v1".into() })
}

fn open(count: u64, at: u64) -> OpenStreams {
    let mut open = OpenStreams::new();
    (0..count).for_each(|it| open.begin(StreamKey(it), &origin(), MonoMs(at)));
    open
}

#[test]
fn take_due_waits_for_the_interval() {
    let mut open = open(2, 0);
    assert!(open.take_due(MonoMs(OpenStreams::RENEWAL_MS - 1)).is_empty());
    assert_eq!(open.take_due(MonoMs(OpenStreams::RENEWAL_MS)).len(), 2);
    assert!(open.take_due(MonoMs(2 * OpenStreams::RENEWAL_MS - 1)).is_empty());
    assert_eq!(open.take_due(MonoMs(2 * OpenStreams::RENEWAL_MS)).len(), 2);
}

/// Streams that begin at different times soon share their messages.
#[test]
fn take_due_joins_streams() {
    let mut open = OpenStreams::new();
    let (mut times, mut now) = (HashSet::new(), 0);
    while now < 60_000 {
        if now < 4_000 {
            open.begin(StreamKey(now), &origin(), MonoMs(now));
        }
        if !open.take_due(MonoMs(now)).is_empty() && now >= 20_000 {
            times.insert(now);
        }
        now += OpenStreams::CHECK_INTERVAL_MS;
    }
    assert!(times.len() <= 2 * 40_000 / OpenStreams::RENEWAL_MS as usize, "{times:?}");
}

#[test]
fn end_stops_renewals_after_the_last_request() {
    let mut open = open(1, 0);
    open.begin(StreamKey(0), &origin(), MonoMs(100));
    assert_eq!(open.end(StreamKey(0)), Some(origin()));
    assert_eq!(open.take_due(MonoMs(5_000)).len(), 1);
    assert_eq!(open.end(StreamKey(0)), Some(origin()));
    assert_eq!(open.end(StreamKey(0)), None);
    assert!(open.is_empty() && open.take_due(MonoMs(60_000)).is_empty());
}

/// With 100,000 streams in progress at one gateway, each is still told twice while others remember it.
#[test]
fn take_due_is_bounded_with_many_streams() {
    const STREAMS: u64 = 100_000;
    let mut open = open(STREAMS, 0);
    let mut told = vec![0; STREAMS as usize];
    for now in (0..StreamVersions::KEPT_MS).step_by(OpenStreams::CHECK_INTERVAL_MS as usize) {
        let due = open.take_due(MonoMs(now));
        assert!(due.len() <= OpenStreams::MAX_TOGETHER);
        due.iter().for_each(|(stream, _)| told[stream.0 as usize] += 1);
    }
    assert!(told.iter().all(|it| *it >= 2), "{:?}", told.iter().min());
}

/// Guards against the loss of streams that outlast the time for which others remember them.
#[test]
fn stream_in_progress_is_remembered_however_long_it_lasts() {
    let mut open = open(1, 0);
    let mut others = StreamVersions::new();
    others.record(StreamKey(0), &origin(), MonoMs(0));
    for now in (0..600_000).step_by(OpenStreams::CHECK_INTERVAL_MS as usize) {
        let due = open.take_due(MonoMs(now));
        due.iter().for_each(|(stream, origin)| others.record(*stream, origin, MonoMs(now)));
        others.expire(MonoMs(now));
        assert!(others.origin(StreamKey(0)).is_some(), "forgotten after {now} ms");
    }
    open.end(StreamKey(0));
    others.expire(MonoMs(600_000 + StreamVersions::KEPT_MS));
    assert!(others.is_empty());
}

/// A stream whose caller is told to come back later is remembered from its last attempt on.
#[test]
fn look_up_keeps_a_stream() {
    let mut streams = StreamVersions::new();
    streams.record(StreamKey(0), &origin(), MonoMs(0));
    assert_eq!(streams.look_up(StreamKey(1), MonoMs(50_000)), None);
    assert_eq!(streams.look_up(StreamKey(0), MonoMs(50_000)), Some(origin()));
    streams.expire(MonoMs(50_000 + StreamVersions::KEPT_MS - 1));
    assert_eq!(streams.len(), 1);
    streams.expire(MonoMs(50_000 + StreamVersions::KEPT_MS));
    assert!(streams.is_empty());
}

/// Streams that have ended give way to those that are renewed.
#[test]
fn memory_is_left_to_streams_in_progress() {
    let mut streams = StreamVersions::new();
    let max = StreamVersions::MAX_STREAMS as u64;
    (0..100).for_each(|it| streams.record(StreamKey(it), &origin(), MonoMs(0)));
    for round in 1..=20 {
        let now = MonoMs(round * OpenStreams::RENEWAL_MS);
        let others = (0..max / 10).map(|it| StreamKey(1_000 + round * max + it));
        others.for_each(|it| streams.record(it, &origin(), now));
        (0..100).for_each(|it| streams.record(StreamKey(it), &origin(), now));
        assert!(streams.len() <= StreamVersions::MAX_STREAMS);
    }
    assert!((0..100).all(|it| streams.origin(StreamKey(it)).is_some()));
}

/// A message that is on its way.
#[derive(Debug)]
struct Datagram {
    to: usize,
    arrives_at: u64,
    streams: Vec<StreamKey>,
}

/// One gateway with long streams, and others that are told of them; all of these start again in any order, and
/// datagrams are lost, late and repeated.
#[rstest]
fn stream_is_known_elsewhere_while_those_told_start_again(
    #[values(4, 8, 40)] others: usize,
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    const STREAMS: u64 = 50;
    /// Pause between two restarts: two renewals, and the delay of the last one.
    const RESTART_MS: u64 = 2 * OpenStreams::RENEWAL_MS + 1_500;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ip = |number: usize| IpAddr::from([10, 0, 0, u8::try_from(number).unwrap()]);
    let fleet: Vec<_> = (0..others).map(ip).collect();
    let number_of = |it: IpAddr| fleet.iter().position(|ip| *ip == it).unwrap();
    let mut open = OpenStreams::new();
    let mut memories: Vec<_> = (0..others).map(|_| StreamVersions::new()).collect();
    let mut sent: Vec<Datagram> = Vec::new();
    let (mut known, mut looked_up) = (0, 0);
    for step in 0..400 {
        let now = step * OpenStreams::CHECK_INTERVAL_MS;
        let mut told: Vec<_> = open.take_due(MonoMs(now)).into_iter().map(|it| it.0).collect();
        if step == 0 {
            told.extend((0..STREAMS).map(|it| StreamKey::of("desk", &it.to_string())));
            told.iter().for_each(|it| open.begin(*it, &origin(), MonoMs(now)));
        }
        for stream in told {
            for holder in stream.holders(ip(others), &fleet, StreamVersions::HOLDERS) {
                let copies = if rng.random_bool(0.1) { 2 } else { 1 };
                for _ in 0..copies {
                    let arrives_at = now + rng.random_range(0..1_500);
                    let (to, streams) = (number_of(holder), vec![stream]);
                    if !rng.random_bool(loss) {
                        sent.push(Datagram { to, arrives_at, streams });
                    }
                }
            }
        }
        let arrived = sent.extract_if(.., |it| it.arrives_at <= now);
        for datagram in arrived.collect::<Vec<_>>() {
            let memory = &mut memories[datagram.to];
            datagram.streams.into_iter().for_each(|it| memory.record(it, &origin(), MonoMs(now)));
        }
        memories.iter_mut().for_each(|it| it.expire(MonoMs(now)));
        if now % RESTART_MS < OpenStreams::CHECK_INTERVAL_MS && step > 0 {
            // The stream's own gateway could be killed at this moment.
            for (stream, _) in open.iter() {
                looked_up += 1;
                let asked = stream.holders(ip(others), &fleet, 2 * StreamVersions::HOLDERS);
                known += u32::from(
                    asked.into_iter().any(|it| memories[number_of(it)].origin(stream).is_some()),
                );
            }
            let restarted = rng.random_range(0..others);
            memories[restarted] = StreamVersions::new();
        }
    }
    let share = f64::from(known) / f64::from(looked_up);
    assert!(share >= 0.99, "{share} of {looked_up} known");
}
