//! Tests of gateways whose store contains entries of another writer: they keep running, keep following
//! changes, and use the other endpoints only.

use persimmon_platform::standin::{
    Behaviour, Deployment, EndpointStandin, RouteSpec, StoreMode, wait_until,
};
use rstest::rstest;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_persimmonmountd");
const KEY: &str = "key-1";
const GATEWAYS: usize = 2;
const DEPTH: usize = 200_000;
const LARGE_VALUE_BYTES: usize = 1024 * 1024;
/// Number of large values that don't fit into one answer of the store that a gateway reads.
const LARGE_WRITES: usize = 14;
const CALLS: usize = 6;
const ODD_KEY: &str = "servers/odd";

/// Returns the entry of an endpoint in which every field is in order.
fn entry(endpoint: &EndpointStandin) -> Value {
    json!({
        "Service": "desk", "Address": endpoint.address(), "Zone": "zone-a", "Version": "v1",
        "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Seq": 4, "born": 1_600_000_000_000_u64,
    })
}

fn with_text(endpoint: &EndpointStandin, field: &str, text: &str) -> Vec<u8> {
    let mut entry = entry(endpoint);
    entry[field] = json!("REPLACED");
    entry.to_string().replace("\"REPLACED\"", text).into_bytes()
}

fn start(endpoints: &[&EndpointStandin], before_start: impl FnOnce(&Deployment)) -> Deployment {
    let mut deployment = Deployment::new(PROGRAM, GATEWAYS as u8).unwrap();
    before_start(&deployment);
    endpoints.iter().for_each(|it| deployment.publish_endpoint(it, false));
    deployment.publish_routes(&[RouteSpec::once("commit")], &[KEY]);
    deployment.start_all().unwrap();
    let knows_all = |gateway| endpoints.iter().all(|it| deployment.knows(gateway, it.id()));
    assert!(wait_until(|| (0..GATEWAYS).all(knows_all)), "{:#?}", deployment.log(0));
    deployment
}

/// Starts gateways before an endpoint. What `put` writes is in the store before that, or comes later.
fn start_beside(
    endpoint: &EndpointStandin,
    put: impl Fn(&Deployment),
    is_before_start: bool,
) -> Deployment {
    let deployment = start(&[endpoint], |it| {
        if is_before_start {
            put(it);
        }
    });
    if !is_before_start {
        put(&deployment);
    }
    deployment
}

fn status_of_call(deployment: &Deployment, gateway: usize) -> u16 {
    let caller = deployment.caller(gateway).unwrap().request("POST", "/commit/x", "request");
    caller.with_key(KEY).with_deadline_ms(2_000).call("body").unwrap().status
}

/// Checks that gateways follow later changes and serve calls, and that no process has ended.
fn assert_follows(deployment: &mut Deployment, gone: &EndpointStandin) {
    let later = EndpointStandin::start("later", Behaviour::ok()).unwrap();
    deployment.publish_endpoint(&later, false);
    deployment.withdraw_endpoint(gone);
    let follows =
        |gateway| deployment.knows(gateway, later.id()) && !deployment.knows(gateway, gone.id());
    let is_followed = wait_until(|| (0..GATEWAYS).all(follows));
    let logs: Vec<_> = (0..GATEWAYS).map(|it| deployment.log(it)).collect();
    assert!(is_followed, "{logs:#?}");
    for call in 0..CALLS {
        assert_eq!(status_of_call(deployment, call % GATEWAYS), 200, "{logs:#?}");
    }
    assert!(!later.received().is_empty());
    assert_all_run(deployment);
    assert!(!logs.concat().join("\n").contains("panicked"), "{logs:#?}");
}

fn assert_all_run(deployment: &mut Deployment) {
    for gateway in 0..GATEWAYS {
        assert!(!deployment.has_ended(gateway), "gateway {gateway} has ended");
    }
}

fn check(key: &str, value: &[u8], odd: &EndpointStandin, is_before_start: bool) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let put = |deployment: &Deployment| deployment.store.put(key, value);
    let mut deployment = start_beside(&one, put, is_before_start);
    assert_follows(&mut deployment, &one);
    // What is rewritten at each heartbeat.
    (0..CALLS).for_each(|_| put(&deployment));
    for call in 0..CALLS {
        assert_eq!(status_of_call(&deployment, call % GATEWAYS), 200);
    }
    assert_eq!(odd.received().len(), 0, "the entry was used");
    deployment.close();
}

fn odd_endpoint() -> EndpointStandin {
    EndpointStandin::start("odd", Behaviour::Answer { status: 500, body: "odd".to_owned() })
        .unwrap()
}

#[rstest]
#[case::service_of_another_type("Service", "7")]
#[case::service_null("Service", "null")]
#[case::service_without_a_name("Service", "\"\"")]
#[case::service_that_is_not_named("Service", "\"nowhere\"")]
#[case::service_with_odd_characters("Service", "\"de\\u0000sk\\n\"")]
#[case::zone_of_another_type("Zone", "[]")]
#[case::state_that_is_not_named("State", "\"resting\"")]
#[case::slots_negative("Slots", "-1")]
#[case::slots_too_large("Slots", "4294967296")]
#[case::slots_with_a_fraction("Slots", "8.5")]
#[case::sequence_infinite("Seq", "1e400")]
#[case::sequence_too_large("Seq", "18446744073709551616")]
#[case::sequence_as_exponent("Seq", "1e19")]
#[case::sequence_negative("Seq", "-1")]
#[case::start_infinite("born", "1e400")]
#[case::start_too_large("born", "18446744073709551616")]
#[case::start_negative("born", "-1")]
#[case::start_with_a_fraction("born", "1.5")]
#[case::port_zero("Address", "\"127.0.0.1:0\"")]
#[case::port_too_large("Address", "\"127.0.0.1:65536\"")]
#[case::port_far_too_large("Address", "\"127.0.0.1:99999\"")]
#[case::port_negative("Address", "\"127.0.0.1:-1\"")]
#[case::address_unspecified("Address", "\"0.0.0.0:PORT\"")]
#[case::address_unspecified_v6("Address", "\"[::]:PORT\"")]
#[case::address_broadcast("Address", "\"255.255.255.255:PORT\"")]
#[case::address_multicast("Address", "\"224.0.0.1:PORT\"")]
#[case::address_by_name("Address", "\"localhost:PORT\"")]
#[case::cold_of_another_type("ColdRemainingMs", "\"long\"")]
#[case::cold_infinite("ColdRemainingMs", "1e400")]
fn entry_with_an_odd_field_is_not_used(
    #[case] field: &str,
    #[case] text: &str,
    #[values(false, true)] is_before_start: bool,
) {
    let odd = odd_endpoint();
    let text = text.replace("PORT", &odd.address().port().to_string());
    check(ODD_KEY, &with_text(&odd, field, &text), &odd, is_before_start);
}

#[rstest]
#[case::empty("")]
#[case::null("null")]
#[case::number_too_large("1e400")]
#[case::list_of_entries("[ENTRY]")]
#[case::two_entries("ENTRY ENTRY")]
#[case::cut("{\"Service\":\"desk\"")]
#[case::field_twice("{\"Seq\":1,\"Seq\":2}")]
fn entry_that_is_not_an_object_is_not_used(
    #[case] text: &str,
    #[values(false, true)] is_before_start: bool,
) {
    let odd = odd_endpoint();
    let value = text.replace("ENTRY", &entry(&odd).to_string());
    check(ODD_KEY, value.as_bytes(), &odd, is_before_start);
}

#[rstest]
#[case::lists("[".repeat(DEPTH).into_bytes())]
#[case::closed_lists(format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)).into_bytes())]
#[case::objects("{\"a\":".repeat(DEPTH).into_bytes())]
#[case::unreadable_bytes((0..=255).cycle().take(1_000).collect())]
#[case::large(vec![b' '; LARGE_VALUE_BYTES])]
fn value_that_cannot_be_read_is_not_used(
    #[case] value: Vec<u8>,
    #[values(false, true)] is_before_start: bool,
) {
    check(ODD_KEY, &value, &odd_endpoint(), is_before_start);
}

#[rstest]
#[case::in_a_field("Zone")]
#[case::in_a_number("Seq")]
fn deeply_nested_field_is_not_used(
    #[case] field: &str,
    #[values(false, true)] is_before_start: bool,
) {
    let odd = odd_endpoint();
    let text = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    check(ODD_KEY, &with_text(&odd, field, &text), &odd, is_before_start);
}

#[rstest]
#[case::line_break("servers/od\nd".to_owned())]
#[case::null("servers/\u{0}".to_owned())]
#[case::not_ascii(format!("servers/{}", "\u{e9}".repeat(96)))]
#[case::empty_id("servers/".to_owned())]
#[case::long_controls(format!("servers/{}", "\u{1}".repeat(192)))]
fn entry_with_an_odd_id_is_not_used(
    #[case] key: String,
    #[values(false, true)] is_before_start: bool,
) {
    let odd = odd_endpoint();
    check(&key, entry(&odd).to_string().as_bytes(), &odd, is_before_start);
}

/// Numbers of the right type at their limits, and unknown fields, however odd, only mustn't disturb.
#[rstest]
#[case::largest_numbers("Seq", "18446744073709551615")]
#[case::latest_start("born", "18446744073709551615")]
#[case::most_slots("Slots", "4294967295")]
#[case::no_slots("Slots", "0")]
#[case::deep_unknown_field("More", "DEEP")]
fn entry_at_the_limits_disturbs_nothing(
    #[case] field: &str,
    #[case] text: &str,
    #[values(false, true)] is_before_start: bool,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let odd = EndpointStandin::start("odd", Behaviour::ok()).unwrap();
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let value = with_text(&odd, field, &text.replace("DEEP", &deep));
    let put = |deployment: &Deployment| deployment.store.put(ODD_KEY, value.as_slice());
    let mut deployment = start_beside(&one, put, is_before_start);
    let later = EndpointStandin::start("later", Behaviour::ok()).unwrap();
    deployment.publish_endpoint(&later, false);
    assert!(wait_until(|| (0..GATEWAYS).all(|it| deployment.knows(it, "later"))));
    for call in 0..CALLS {
        assert_eq!(status_of_call(&deployment, call % GATEWAYS), 200);
    }
    assert_all_run(&mut deployment);
    deployment.close();
}

/// An entry of a service that isn't configured names no worker, so that it doesn't replace the one at
/// its address either.
#[rstest]
fn entry_of_an_unknown_service_replaces_no_endpoint(#[values(false, true)] is_before_start: bool) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut value = entry(&one);
    value["Service"] = json!("nowhere");
    value["born"] = json!(1_700_000_000_000_u64);
    let put = |deployment: &Deployment| deployment.store.put(ODD_KEY, value.to_string());
    let deployment = start_beside(&one, put, is_before_start);
    // Follows all changes up to this one.
    let later = EndpointStandin::start("later", Behaviour::ok()).unwrap();
    deployment.publish_unrelated_endpoint(&later);
    assert!(wait_until(|| (0..GATEWAYS).all(|it| deployment.knows(it, "later"))));
    for call in 0..CALLS {
        assert_eq!(status_of_call(&deployment, call % GATEWAYS), 200, "{:#?}", deployment.log(0));
    }
    deployment.close();
}

/// A draining endpoint isn't used again because of an entry of another writer that lacks fields.
#[rstest]
fn draining_endpoint_stays_unused_after_an_entry_without_a_field(
    #[values("Version", "Seq", "born", "ColdRemainingMs", "State", "Zone")] field: &str,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let two = EndpointStandin::start("two", Behaviour::ok()).unwrap();
    let deployment = start(&[&one, &two], |_| {});
    deployment.publish_endpoint(&one, true);
    let mut value = entry(&one);
    value.as_object_mut().unwrap().remove(field);
    deployment.store.put("servers/one", value.to_string());
    // Follows all changes up to this one.
    let later = EndpointStandin::start("later", Behaviour::ok()).unwrap();
    deployment.publish_unrelated_endpoint(&later);
    assert!(wait_until(|| (0..GATEWAYS).all(|it| deployment.knows(it, "later"))));
    let before = one.received().len();
    for call in 0..CALLS {
        assert_eq!(status_of_call(&deployment, call % GATEWAYS), 200);
    }
    assert_eq!(one.received().len(), before, "{:#?}", deployment.log(0));
    deployment.close();
}

/// Item of the store that can't be read, among others: `from` is replaced with `to` in its answers.
#[rstest]
#[case::key_with_half_a_character("odd-key", "\\ud800")]
#[case::value_that_is_not_base64("\"b2RkLXZhbHVl\"", "\"b2Rk*\"")]
#[case::value_null("\"b2RkLXZhbHVl\"", "null")]
#[case::value_of_another_type("\"b2RkLXZhbHVl\"", "7")]
#[case::value_deep("\"b2RkLXZhbHVl\"", &format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)))]
#[case::deep_unknown_field("\"b2RkLXZhbHVl\"", &format!("\"\",\"More\":{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH)))]
fn item_that_cannot_be_read_leaves_the_others(
    #[case] from: &str,
    #[case] to: &str,
    #[values(false, true)] is_before_start: bool,
) {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let put = |deployment: &Deployment| {
        deployment.store.replace_in_answers(from, to);
        deployment.store.put("servers/odd-key", "odd-value");
    };
    let mut deployment = start_beside(&one, put, is_before_start);
    assert_follows(&mut deployment, &one);
    deployment.close();
}

/// A large value that is written again and again while no gateway reaches the store makes the next answer
/// too long to read.
#[test]
fn changes_that_do_not_fit_into_one_answer_are_followed() {
    let one = EndpointStandin::start("one", Behaviour::ok()).unwrap();
    let mut deployment = start(&[&one], |_| {});
    let refused = (0..GATEWAYS).map(|it| deployment.ip(it)).collect();
    deployment.store.set_mode(StoreMode::Refusing(refused));
    (0..LARGE_WRITES).for_each(|_| deployment.store.put(ODD_KEY, vec![b' '; LARGE_VALUE_BYTES]));
    deployment.store.set_mode(StoreMode::Serving);
    assert_follows(&mut deployment, &one);
    deployment.close();
}
