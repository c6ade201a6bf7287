//! Locations of cached prompt parts.

mod forward_common;

use forward_common::prompt;
use persimmon_decide::MonoMs;
use persimmon_decide::forward::PrefixMap;
use persimmon_decide::load::EndpointHash;

const ONE: EndpointHash = EndpointHash(1);
const TWO: EndpointHash = EndpointHash(2);

#[test]
fn cached_requires_all_earlier_parts() {
    let mut map = PrefixMap::new();
    map.record(&prompt(5, 1), ONE, MonoMs(0));
    map.record(&prompt(6, 1)[..1], TWO, MonoMs(0));
    let cached = map.cached(&prompt(5, 2), MonoMs(10));
    assert_eq!(cached, [(ONE, 10_500), (TWO, 500)]);
    // A later part alone is of no use, so an endpoint that has cached only such a part isn't
    // returned.
    assert!(map.cached(&prompt(5, 1)[1..2], MonoMs(10)).iter().all(|it| it.0 != TWO));
}

#[test]
fn cached_drops_expired_and_removed_holders() {
    let mut map = PrefixMap::new();
    map.record(&prompt(5, 1), ONE, MonoMs(0));
    map.record(&prompt(5, 1), TWO, MonoMs(50_000));
    assert_eq!(map.cached(&prompt(5, 1), MonoMs(70_000)), [(TWO, 11_800)]);
    map.forget(TWO);
    assert!(map.cached(&prompt(5, 1), MonoMs(70_000)).is_empty());
}

#[test]
fn take_announcements_returns_new_holders_once() {
    let (mut here, mut there) = (PrefixMap::new(), PrefixMap::new());
    here.record(&prompt(5, 1), ONE, MonoMs(0));
    for holder in here.take_announcements(48, 0, MonoMs(10)) {
        there.record_peer_holder(holder, MonoMs(10));
    }
    // The last part belongs to one request and isn't announced.
    assert_eq!(there.cached(&prompt(5, 1), MonoMs(20)), [(ONE, 10_500)]);
    assert!(here.take_announcements(48, 0, MonoMs(20)).is_empty());
}

#[test]
fn take_announcements_repeats_holders_of_peers() {
    let (mut here, mut there, mut late) = (PrefixMap::new(), PrefixMap::new(), PrefixMap::new());
    here.record(&prompt(5, 1), ONE, MonoMs(0));
    for holder in here.take_announcements(48, 0, MonoMs(10)) {
        there.record_peer_holder(holder, MonoMs(10));
    }
    // `here` is gone; a gateway that starts later learns of the holder from `there`.
    there.record(&prompt(5, 2), ONE, MonoMs(20));
    for holder in there.take_announcements(0, 6, MonoMs(30)) {
        late.record_peer_holder(holder, MonoMs(30));
    }
    assert_eq!(late.cached(&prompt(5, 3), MonoMs(40)), [(ONE, 10_500)]);
}
