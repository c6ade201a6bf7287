//! Tests of gateway processes whose store comes back from an older copy.

use std::thread;
use std::time::{Duration, Instant};

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, RouteSpec, StoreCopy, StoreMode, wait_until,
};
use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const KEY: &str = "key-1";
const REVOKED_KEY: &str = "key-2";
const LATER_KEY: &str = "key-3";
const GATEWAYS: usize = 3;
/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(300);
/// Time for which a restored store is observed.
const OBSERVED: Duration = Duration::from_millis(2_500);
/// Time within which endpoints write themselves again, and after which gateways are in touch with the
/// store again, from the specification.
const REWRITTEN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const PAUSE: Duration = Duration::from_millis(20);

fn start(endpoints: &[&EndpointStandin], keys: &[&str], names_era: bool) -> Deployment {
    let mut deployment = Deployment::new(PROGRAM, GATEWAYS as u8).unwrap();
    if names_era {
        deployment.store.name_era();
    }
    endpoints.iter().for_each(|it| deployment.publish_endpoint(it, false));
    deployment.publish_routes(&[RouteSpec::once("commit")], keys);
    deployment.start_all().unwrap();
    for gateway in 0..GATEWAYS {
        assert!(wait_until(|| endpoints.iter().all(|it| deployment.knows(gateway, it.id()))));
    }
    deployment
}

/// Returns the status of a call; none if the connection broke.
fn call(deployment: &Deployment, gateway: usize, key: &str) -> Option<u16> {
    let caller = deployment.caller(gateway).ok()?.request("POST", "/commit/x", "request");
    let answer = caller.with_key(key).with_deadline_ms(2_000).call("body").ok()?;
    Some(answer.status)
}

fn restore(deployment: &Deployment, copy: &StoreCopy) {
    deployment.store.set_mode(StoreMode::Silent);
    thread::sleep(AWAY);
    deployment.store.restore(copy);
    deployment.store.set_mode(StoreMode::Serving);
}

#[rstest]
#[case::first_era(false)]
#[case::later_era(true)]
fn revoked_key_stays_revoked_after_the_store_is_restored(
    #[case] names_era: bool,
    #[values(false, true)] is_gateway_restarted: bool,
    #[values(1, 2)] restorations: usize,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut deployment = start(&[&one], &[KEY, REVOKED_KEY], names_era);
    let copy = deployment.store.copy();
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY]);
    let is_revoked = |gateway| call(&deployment, gateway, REVOKED_KEY) == Some(401);
    assert!(wait_until(|| (0..GATEWAYS).all(is_revoked)));
    for _ in 0..restorations {
        restore(&deployment, &copy);
    }
    if is_gateway_restarted {
        deployment.kill(0).unwrap();
        deployment.restart(0).unwrap();
    }
    let until = Instant::now() + OBSERVED;
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        for gateway in 0..GATEWAYS {
            let revoked = call(&deployment, gateway, REVOKED_KEY);
            let log = || deployment.log(gateway);
            let is_refused = [None, Some(401), Some(503)].contains(&revoked);
            assert!(is_refused, "{gateway}: {revoked:?}, {:#?}", log());
            sent += 1;
            served += usize::from(call(&deployment, gateway, KEY) == Some(200));
        }
        thread::sleep(PAUSE);
    }
    // The restarted gateway needs some time.
    assert!(10 * served >= 8 * sent, "{served} of {sent} served");
    // Revisions that were given out before are given out again.
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY, LATER_KEY]);
    let is_applied = |gateway| call(&deployment, gateway, LATER_KEY) == Some(200);
    assert!(wait_until(|| (0..GATEWAYS).all(is_applied)));
    assert!((0..GATEWAYS).all(|gateway| call(&deployment, gateway, REVOKED_KEY) == Some(401)));
    deployment.close();
}

#[rstest]
fn draining_endpoint_stays_unused_after_the_store_is_restored(
    #[values(false, true)] names_era: bool,
    #[values(false, true)] is_gateway_restarted: bool,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let two = EndpointStandin::start("two", Behaviour::ok()).unwrap();
    let mut deployment = start(&[&one, &two], &[KEY], names_era);
    let copy = deployment.store.copy();
    deployment.publish_endpoint(&one, true);
    let says_so = |gateway: usize| {
        deployment.log(gateway).iter().any(|line| line.contains("\"is_draining\":true"))
    };
    assert!(wait_until(|| (0..GATEWAYS).all(says_so)));
    let before = one.received().len();
    restore(&deployment, &copy);
    let kept = |gateway: usize| {
        let log = deployment.log(gateway);
        log.iter().any(|line| line.contains("it is older than the one in force"))
    };
    // The others get what it keeps.
    assert!(wait_until(|| (0..GATEWAYS).any(kept)));
    if is_gateway_restarted {
        deployment.kill(0).unwrap();
        deployment.restart(0).unwrap();
        deployment.wait_ready(0).unwrap();
    }
    let until = Instant::now() + OBSERVED;
    while Instant::now() < until {
        for gateway in 0..GATEWAYS {
            assert_eq!(call(&deployment, gateway, KEY), Some(200));
        }
        thread::sleep(PAUSE);
    }
    assert_eq!(one.received().len(), before, "the draining endpoint got requests");
    deployment.close();
}

/// The copy is older than the endpoint's first record.
#[rstest]
#[case::written_again(true)]
#[case::gone(false)]
fn endpoint_that_the_copy_lacks_is_used_until_it_should_be_back(
    #[case] is_written_again: bool,
    #[values(false, true)] names_era: bool,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let two = EndpointStandin::start("two", Behaviour::ok()).unwrap();
    let deployment = start(&[&one], &[KEY], names_era);
    let copy = deployment.store.copy();
    deployment.publish_endpoint(&two, false);
    assert!(wait_until(|| (0..GATEWAYS).all(|gateway| deployment.knows(gateway, two.id()))));
    restore(&deployment, &copy);
    let back = Instant::now();
    while back.elapsed() < REWRITTEN / 2 {
        assert!(
            (0..GATEWAYS).all(|gateway| deployment.knows(gateway, two.id())),
            "dropped too soon"
        );
        thread::sleep(PAUSE);
    }
    if is_written_again {
        deployment.publish_endpoint(&two, false);
    }
    thread::sleep((CONTACT + REWRITTEN).saturating_sub(back.elapsed()));
    for gateway in 0..GATEWAYS {
        let log = deployment.log(gateway);
        assert_eq!(deployment.knows(gateway, two.id()), is_written_again, "{gateway}: {log:#?}");
    }
    assert_eq!(call(&deployment, 0, KEY), Some(200));
    deployment.close();
}

/// Only some gateways reach the store when it comes back.
#[test]
fn gateways_that_miss_the_restoration_learn_of_it_from_peers() {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut deployment = start(&[&one], &[KEY, REVOKED_KEY], false);
    let copy = deployment.store.copy();
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY]);
    let is_revoked = |gateway| call(&deployment, gateway, REVOKED_KEY) == Some(401);
    assert!(wait_until(|| (0..GATEWAYS).all(is_revoked)));
    deployment.store.set_mode(StoreMode::Refusing(vec![deployment.ip(0), deployment.ip(1)]));
    deployment.store.restore(&copy);
    thread::sleep(AWAY);
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY, LATER_KEY]);
    let is_applied = |gateway| call(&deployment, gateway, LATER_KEY) == Some(200);
    assert!(wait_until(|| (0..GATEWAYS).all(is_applied)));
    deployment.store.set_mode(StoreMode::Serving);
    assert!((0..GATEWAYS).all(|gateway| call(&deployment, gateway, REVOKED_KEY) == Some(401)));
    deployment.close();
}
