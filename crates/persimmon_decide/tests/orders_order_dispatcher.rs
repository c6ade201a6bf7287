//! One sidecar at a time sends orders to an engine, and outdated orders never take effect.

use persimmon_decide::orders::{
    EngineRole, EngineState, Fence, Order, OrderDispatcher, OrderRefusal, OrderReply,
    OrderSettings, OrderStatus,
};
use persimmon_decide::{Incarnation, MonoMs};
use persimmon_records::{Fencing, Generation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

fn load(model: &str) -> Order {
    Order::LoadModel(model.into())
}

fn dispatcher(fencing: Fencing) -> OrderDispatcher {
    OrderDispatcher::new(OrderSettings::default(), fencing, Incarnation(1), MonoMs(0))
}

#[rstest]
#[case::refuses_old(Fencing::Refuses, true)]
#[case::ignores(Fencing::Ignores, false)]
fn first_order_waits_where_fences_are_ignored(#[case] fencing: Fencing, #[case] at_once: bool) {
    let quiet_ms = OrderSettings::default().quiet_ms();
    let mut dispatcher = dispatcher(fencing);
    dispatcher.submit(load("a"), Generation(1)).unwrap();
    assert_eq!(dispatcher.next(MonoMs(quiet_ms - 1)).is_some(), at_once);
    if !at_once {
        assert_eq!(dispatcher.status(MonoMs(0)), OrderStatus::QuietUntil(MonoMs(quiet_ms)));
        assert!(dispatcher.next(MonoMs(quiet_ms)).is_some());
    }
}

#[test]
fn order_expires_before_late_write() {
    let mut dispatcher = dispatcher(Fencing::Refuses);
    dispatcher.submit(load("a"), Generation(1)).unwrap();
    let dispatch = dispatcher.next(MonoMs(0)).unwrap();
    assert!(dispatch.may_send(MonoMs(OrderSettings::default().ttl_ms - 1)));
    assert!(!dispatch.may_send(MonoMs(OrderSettings::default().ttl_ms)));
    dispatcher.answered(OrderReply::Unknown);
    assert!(
        dispatcher.next(MonoMs(60_000)).unwrap().may_send(MonoMs(60_000)),
        "the order is sent again"
    );
}

#[test]
fn next_sends_one_order_at_a_time() {
    let mut dispatcher = dispatcher(Fencing::Refuses);
    dispatcher.submit(load("a"), Generation(1)).unwrap();
    dispatcher.submit(Order::Role(EngineRole::Decode), Generation(1)).unwrap();
    dispatcher.submit(load("b"), Generation(2)).unwrap();
    let old = OrderRefusal::StaleGeneration { submitted: Generation(1), latest: Generation(2) };
    assert_eq!(dispatcher.submit(load("c"), Generation(1)), Err(old));

    let first = dispatcher.next(MonoMs(0)).unwrap();
    assert_eq!(first.order, Order::Role(EngineRole::Decode), "the load of a is superseded");
    assert_eq!(first.fence, Fence { generation: Generation(2), incarnation: Incarnation(1) });
    assert_eq!(dispatcher.next(MonoMs(0)), None, "the first order's reply is outstanding");
    dispatcher.answered(OrderReply::Done);
    assert_eq!(dispatcher.next(MonoMs(0)).unwrap().order, load("b"));
    dispatcher.submit(load("d"), Generation(3)).unwrap();
    dispatcher.answered(OrderReply::Unknown);
    assert_eq!(dispatcher.next(MonoMs(0)).unwrap().order, load("d"), "d replaced the unanswered b");
}

#[test]
fn stale_fence_stops_dispatcher() {
    let mut dispatcher = dispatcher(Fencing::Refuses);
    dispatcher.submit(load("a"), Generation(1)).unwrap();
    dispatcher.submit(Order::Role(EngineRole::Both), Generation(1)).unwrap();
    dispatcher.next(MonoMs(0)).unwrap();
    dispatcher.answered(OrderReply::StaleFence);
    assert_eq!(dispatcher.next(MonoMs(0)), None);
    assert_eq!(dispatcher.submit(load("b"), Generation(2)), Err(OrderRefusal::Superseded));
    assert_eq!(dispatcher.status(MonoMs(0)), OrderStatus::Superseded);
}

#[test]
fn waiting_orders_are_bounded() {
    let mut dispatcher = dispatcher(Fencing::Refuses);
    let adapter = |number: usize| Order::LoadAdapter(format!("adapter-{number}").as_str().into());
    for number in 0..OrderDispatcher::MAX_WAITING {
        dispatcher.submit(adapter(number), Generation(1)).unwrap();
    }
    let full = OrderRefusal::Full { waiting: OrderDispatcher::MAX_WAITING };
    assert_eq!(dispatcher.submit(adapter(99), Generation(1)), Err(full));
    assert_eq!(dispatcher.submit(adapter(0), Generation(1)), Ok(()), "an equal order is replaced");
}

#[test]
fn drift_reports_orders_of_other_senders() {
    let mut dispatcher = dispatcher(Fencing::Refuses);
    let mut engine = EngineState::default();
    assert_eq!(dispatcher.drift(&EngineState { role: EngineRole::Decode, ..engine.clone() }), None);
    dispatcher.submit(load("a"), Generation(1)).unwrap();
    dispatcher.next(MonoMs(0)).unwrap();
    assert_eq!(dispatcher.drift(&engine), None, "an order is in flight");
    dispatcher.answered(OrderReply::Done);
    engine.apply(&load("a"));
    assert_eq!(dispatcher.drift(&engine), None);
    engine.apply(&load("foreign"));
    assert_eq!(dispatcher.drift(&engine).unwrap().model, Some("a".into()));
}

/// Runs two incarnations of the sidecar of an engine that ignores fences, and returns the
/// orders as executed. The first incarnation is frozen, or its VM is partitioned and replaced, just
/// before it writes an order; the second starts meanwhile.
fn orders_as_executed(second_at: u64, frozen_ms: u64, transit_ms: u64) -> Vec<&'static str> {
    const STEP_MS: u64 = 100;
    let settings = OrderSettings::default();
    let mut executed = Vec::new();
    let mut first = OrderDispatcher::new(settings, Fencing::Ignores, Incarnation(1), MonoMs(0));
    first.submit(load("old"), Generation(1)).unwrap();
    let dispatched_at = MonoMs(settings.quiet_ms());
    let dispatch = first.next(dispatched_at).unwrap();
    let write_at = dispatched_at.plus_ms(frozen_ms);
    if dispatch.may_send(write_at) {
        executed.push((write_at.plus_ms(transit_ms), "old"));
    }
    let second_at = dispatched_at.plus_ms(second_at);
    let mut second = OrderDispatcher::new(settings, Fencing::Ignores, Incarnation(2), second_at);
    second.submit(load("new"), Generation(1)).unwrap();
    let mut ticks = (0..).map(|step| second_at.plus_ms(step * STEP_MS)).take(1_000);
    let sent_at = ticks.find(|now| second.next(*now).is_some()).unwrap();
    executed.push((sent_at, "new"));
    executed.sort();
    executed.into_iter().map(|(_, order)| order).collect()
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(9), cases: 2_000, ..Config::default() })]

    #[test]
    fn order_of_earlier_incarnation_never_runs_last(
        second_at in 0..30_000_u64,
        frozen_ms in 0..30_000_u64,
        transit_ms in 0..2_000_u64,
    ) {
        let executed = orders_as_executed(second_at, frozen_ms, transit_ms);
        prop_assert_eq!(executed.last(), Some(&"new"));
    }
}
