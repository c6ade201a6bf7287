//! Which connection of a caller gives way to a new one.

use std::net::IpAddr;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{CallerActivity, OpenConnection, connection_to_close};
use rstest::rstest;

const NOW: MonoMs = MonoMs(10_000);

fn open(key: u32, last: u8, activity: CallerActivity, age_ms: u64) -> OpenConnection<u32> {
    let address = IpAddr::from([10, 0, 0, last]);
    OpenConnection { key, address, activity, since: MonoMs(NOW.0 - age_ms) }
}

use CallerActivity::{Answered, Idle, PartialBody, PartialHead, Request};

#[rstest]
#[case::all_busy(&[open(1, 1, Request, 9_000), open(2, 2, Request, 10)], None)]
#[case::longest_idle(&[open(1, 1, Idle, 10), open(2, 1, Idle, 900), open(3, 1, Request, 9_000)], Some(2))]
#[case::unfinished_head_before_idle(&[open(1, 1, Idle, 9_000), open(2, 2, PartialHead, 600)], Some(2))]
#[case::idle_before_a_head_that_has_just_begun(
    &[open(1, 1, Idle, 10), open(2, 2, PartialHead, 100)],
    Some(1)
)]
#[case::of_the_address_with_most(
    &[
        open(1, 1, PartialHead, 2_900),
        open(2, 2, PartialHead, 600),
        open(3, 2, PartialHead, 700),
    ],
    Some(3)
)]
#[case::young_heads_if_nothing_else_is_left(
    &[open(1, 1, Request, 9_000), open(2, 2, PartialHead, 90), open(3, 2, PartialHead, 100)],
    Some(3)
)]
#[case::answered_before_stalled_body(
    &[open(1, 1, PartialBody, 9_000), open(2, 2, Answered, 10), open(3, 2, Answered, 20)],
    Some(3)
)]
#[case::old_head_before_answered(&[open(1, 1, Answered, 900), open(2, 2, PartialHead, 600)], Some(2))]
#[case::stalled_body_before_idle(&[open(1, 1, Idle, 9_000), open(2, 2, PartialBody, 2_000)], Some(2))]
#[case::idle_before_arriving_body(&[open(1, 1, Idle, 10), open(2, 2, PartialBody, 1_999)], Some(1))]
#[case::young_head_before_arriving_body(
    &[open(1, 1, PartialHead, 10), open(2, 2, PartialBody, 1_999)],
    Some(1)
)]
#[case::arriving_body_if_nothing_else_is_left(
    &[open(1, 1, Request, 9_000), open(2, 1, PartialBody, 10), open(3, 1, PartialBody, 30)],
    Some(3)
)]
#[case::body_of_the_address_with_most(
    &[
        open(1, 1, PartialBody, 9_000),
        open(2, 2, PartialBody, 2_500),
        open(3, 2, PartialBody, 2_600),
    ],
    Some(3)
)]
fn connection_to_close_is(
    #[case] connections: &[OpenConnection<u32>],
    #[case] expected: Option<u32>,
) {
    assert_eq!(connection_to_close(connections, NOW), expected);
}

/// Hostile callers open connections all the time and finish no head, from one address or from many. A
/// sound one sends its head in two parts.
#[rstest]
#[case::from_one_address(1, 300)]
#[case::from_many_addresses(200, 300)]
fn slow_caller_isnt_cut_beside_hostile_ones(#[case] addresses: u32, #[case] head_ms: u64) {
    const ROOM: usize = 500;
    let mut connections: Vec<OpenConnection<u32>> = Vec::new();
    let is_slow = |it: &OpenConnection<u32>| it.key == u32::MAX;
    for number in 0..5_000_u32 {
        // Three connections a millisecond.
        let now = MonoMs(u64::from(number / 3));
        if connections.len() >= ROOM {
            let key = connection_to_close(&connections, now).expect("an unfinished head");
            assert_ne!(key, u32::MAX, "the sound caller was cut at {now:?}");
            connections.retain(|it| it.key != key);
        }
        let address = IpAddr::from([10, 1, 0, (number % addresses) as u8]);
        let hostile = OpenConnection { key: number, address, activity: PartialHead, since: now };
        connections.push(hostile);
        let slow_since = connections.iter().find(|it| is_slow(it)).map(|it| it.since);
        match slow_since {
            Some(since) if now.ms_since(since) >= head_ms => connections.retain(|it| !is_slow(it)),
            None if number % 100 == 0 => {
                let address = IpAddr::from([10, 2, 0, 1]);
                let key = u32::MAX;
                connections.push(OpenConnection {
                    key,
                    address,
                    activity: PartialHead,
                    since: now,
                });
            }
            _ => {}
        }
    }
}

/// Hostile callers hold all connections with bodies that they don't end, and send a byte now and then. A sound
/// upload sends steadily.
#[rstest]
#[case::stopped_from_one_address(1, u64::MAX)]
#[case::stopped_from_many_addresses(200, u64::MAX)]
#[case::trickling_from_one_address(1, 500)]
#[case::trickling_from_many_addresses(200, 500)]
fn steady_upload_isnt_cut_beside_hostile_ones(#[case] addresses: u32, #[case] trickle_ms: u64) {
    const ROOM: usize = 500;
    /// Interval at which the bytes of the sound upload arrive, in milliseconds.
    const STEADY_MS: u64 = 100;
    const SOUND: u32 = u32::MAX;
    let sound = OpenConnection {
        key: SOUND,
        address: IpAddr::from([10, 2, 0, 1]),
        activity: PartialBody,
        since: MonoMs(0),
    };
    let mut connections = vec![sound];
    for number in 0..5_000_u32 {
        // A connection each millisecond.
        let now = MonoMs(u64::from(number));
        for it in &mut connections {
            let interval_ms = if it.key == SOUND { STEADY_MS } else { trickle_ms };
            if now.ms_since(it.since) >= interval_ms {
                it.since = now;
            }
        }
        if connections.len() >= ROOM {
            let key = connection_to_close(&connections, now).expect("an unfinished body");
            assert_ne!(key, SOUND, "the sound upload was cut at {now:?}");
            connections.retain(|it| it.key != key);
        }
        let address = IpAddr::from([10, 1, 0, (number % addresses) as u8]);
        connections.push(OpenConnection {
            key: number,
            address,
            activity: PartialBody,
            since: now,
        });
    }
}
