//! Parsing of record sets: each fault and its place, both schema versions, arbitrary text.

use persimmon_records::{
    Class, EndpointBuilder, FaultKind, Generation, Limits, MAX_ENDPOINTS, MAX_FAULTS,
    MAX_SET_BYTES, MAX_WORKSPACE_KEYS, MAX_WORKSPACES, Policy, RecordErrors, RecordSet,
    SchemaVersion, Serves, WorkspaceBuilder,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const DIGEST: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn endpoint(name: &str, port: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"10.0.0.1:{port}","zone":"a","serves":{{"model":"m"}},"slots":2,"lender":"l"}}"#
    )
}

fn set_of(policy: &str, workspaces: &str, endpoints: &str) -> String {
    format!(
        r#"{{"schema_version":2,"generation":7,"policy":{{{policy}}},"workspaces":[{workspaces}],"endpoints":[{endpoints}]}}"#
    )
}

fn faults(text: &str) -> Vec<String> {
    let errors = RecordSet::parse(text).expect_err("the text has faults");
    errors.faults.iter().map(ToString::to_string).collect()
}

fn valid_set() -> RecordSet {
    let endpoint = EndpointBuilder::new("engine-1", "10.0.0.1:7000".parse().unwrap())
        .with_serves(Serves::Model("m".into()))
        .build();
    let workspace = WorkspaceBuilder::new("desk").with_key("wk-1").with_model("m").build();
    RecordSet {
        generation: Generation(1),
        workspaces: vec![workspace],
        endpoints: vec![endpoint],
        ..RecordSet::empty()
    }
}

#[rstest]
#[case::multiple(
    r#""load_multiple":0.99"#,
    "policy, load_multiple: is 0.99; write a number of at least 1"
)]
#[case::multiple_type(r#""load_multiple":"x""#, "policy, load_multiple: can't be read")]
#[case::share_above(
    r#""quick_share":1.01"#,
    "policy, quick_share: is 1.01; write a share from 0 to 1"
)]
#[case::share_below(r#""retry_share":-0.1"#, "policy, retry_share: is -0.1; write a share")]
#[case::share_huge(r#""retry_share":1e999"#, "policy, retry_share: can't be read")]
#[case::floor(r#""load_floor":0"#, "policy, load_floor: is 0")]
#[case::load_rate(r#""loads_per_minute":0"#, "policy, loads_per_minute: is 0")]
#[case::unknown(r#""load_multipel":2"#, "policy, load_multipel: isn't a field")]
#[case::repeated(r#""load_floor":2,"load_floor":3"#, "policy, load_floor: occurs more than once")]
fn parse_policy_fault(#[case] policy: &str, #[case] expected: &str) {
    let found = faults(&set_of(policy, "", ""));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(expected), "{found:?}");
}

#[rstest]
#[case::zero_slots(r#""slots":2"#, r#""slots":0"#, "slots: is 0")]
#[case::negative_slots(r#""slots":2"#, r#""slots":-1"#, "slots: can't be read")]
#[case::unspecified("10.0.0.1:1", "0.0.0.0:1", "address: is an unspecified address")]
#[case::port("10.0.0.1:1", "10.0.0.1:0", "address: has port 0")]
#[case::host("10.0.0.1:1", "vm-1:1", "address: can't be read")]
#[case::zone(r#""zone":"a""#, r#""zone":"a b""#, "zone: has characters")]
#[case::lender(r#""lender":"l""#, r#""lender":"""#, "lender: has 0 characters")]
#[case::serves(r#"{"model":"m"}"#, r#"{"modle":"m"}"#, "serves: can't be read")]
#[case::model(r#"{"model":"m"}"#, r#"{"model":"../m"}"#, "serves.model: has characters")]
#[case::missing(r#","lender":"l""#, "", "lender: is missing")]
#[case::unknown(r#""slots":2"#, r#""slots":2,"slot":2"#, "slot: isn't a field")]
#[case::fencing(r#""slots":2"#, r#""slots":2,"fencing":"maybe""#, "fencing: can't be read")]
fn parse_endpoint_fault(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = endpoint("engine-1", 1).replace(from, to);
    let found = faults(&set_of("", "", &text));
    assert_eq!(found.len(), 1, "{found:?}");
    let expected = format!("endpoints[0] (engine-1), {expected}");
    assert!(found[0].starts_with(&expected), "{found:?}");
}

#[rstest]
#[case::unknown_model(r#""models":["m","n"]"#, "models[1]: names model n")]
#[case::unknown_service(r#""services":["s"]"#, "services[0]: names service s")]
#[case::unknown_endpoint(r#""endpoints":["e"]"#, "endpoints[0]: names endpoint e")]
#[case::twice(r#""models":["m","m"]"#, "models[1]: occurs earlier")]
#[case::class(r#""default_class":"slow""#, "default_class: can't be read")]
#[case::class_missing(
    r#""limits":{"quick":{"requests_per_second":1,"in_progress":1},"conversation":{"requests_per_second":1,"in_progress":1}}"#,
    "limits.drafting: is missing"
)]
#[case::limit(
    r#""total_limits":{"requests_per_second":1,"in_progress":"x"}"#,
    "total_limits.in_progress: can't be read"
)]
#[case::limit_unknown(
    r#""total_limits":{"requests_per_second":1,"in_progress":1,"burst":1}"#,
    "total_limits.burst: isn't a field"
)]
#[case::limits_shape(r#""limits":7"#, "limits: can't be read")]
fn parse_workspace_fault(#[case] field: &str, #[case] expected: &str) {
    let workspace = format!(r#"{{"name":"desk","key_digests":["{DIGEST}"],{field}}}"#);
    let found = faults(&set_of("", &workspace, &endpoint("engine-1", 1)));
    assert_eq!(found.len(), 1, "{found:?}");
    let expected = format!("workspaces[0] (desk), {expected}");
    assert!(found[0].starts_with(&expected), "{found:?}");
}

#[rstest]
#[case::not_json("{", "set: can't be read")]
#[case::not_object("[]", "set: can't be read")]
#[case::no_version(r#"{"generation":1}"#, "set, schema_version: is missing")]
#[case::version_3(r#"{"schema_version":3,"generation":1}"#, "set, schema_version: schema version")]
#[case::zero_generation(r#"{"schema_version":2,"generation":0}"#, "set, generation: is 0")]
#[case::list(r#"{"schema_version":2,"generation":1,"endpoints":{}}"#, "set, endpoints: can't be")]
#[case::record(r#"{"schema_version":2,"generation":1,"endpoints":[1]}"#, "endpoints[0]: can't be")]
fn parse_set_fault(#[case] text: &str, #[case] expected: &str) {
    let found = faults(text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(expected), "{found:?}");
}

#[test]
fn parse_duplicates_across_records() {
    let workspaces = format!(
        r#"{{"name":"a","key_digests":["{DIGEST}"]}},{{"name":"b","key_digests":["{DIGEST}"]}},{{"name":"a","key_digests":[]}}"#
    );
    let mapped = endpoint("engine-2", 1).replace("10.0.0.1:1", "[::ffff:10.0.0.1]:1");
    let endpoints = [endpoint("engine-1", 1), mapped, endpoint("engine-1", 2)].join(",");
    let found = faults(&set_of("", &workspaces, &endpoints));
    let expected = [
        "workspaces[1] (b), key_digests[0]: is also a key of workspace a",
        "workspaces[2] (a), name: is also the name of the record at [0]",
        "endpoints[1] (engine-2), address: is also the address of endpoint engine-1",
        "endpoints[2] (engine-1), name: is also the name of the record at [0]",
    ];
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}");
    }
}

#[test]
fn parse_reports_every_fault_at_once() {
    let workspaces = r#"{"name":"desk","key_digests":["wk-secret"],"models":["n"]}"#;
    let endpoints = endpoint("engine-1", 1).replace(r#""slots":2"#, r#""slots":0"#);
    let found = faults(&set_of(r#""load_multiple":0,"quick_share":2"#, workspaces, &endpoints));
    assert_eq!(found.len(), 5, "{found:?}");
    assert!(!found.join("").contains("wk-secret"), "a key must not be repeated");
}

/// The name and model of an endpoint with a fault are still known, so references of workspaces to
/// them are no faults.
#[test]
fn parse_endpoint_fault_causes_no_workspace_fault() {
    let workspace = r#"{"name":"desk","key_digests":[],"models":["m"],"endpoints":["engine-1"]}"#;
    let broken = endpoint("engine-1", 1).replace(r#""slots":2"#, r#""slots":"two""#);
    let found = faults(&set_of("", workspace, &broken));
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn parse_oversized_text() {
    let errors = RecordSet::parse(&" ".repeat(MAX_SET_BYTES + 1)).unwrap_err();
    assert!(matches!(errors.faults[0].kind, FaultKind::TooLong { .. }));
}

#[test]
fn check_too_many_records() {
    let mut set = valid_set();
    set.workspaces = (0..=MAX_WORKSPACES)
        .map(|i| WorkspaceBuilder::new(format!("w{i}").as_str()).build())
        .collect();
    set.endpoints = (0..=MAX_ENDPOINTS)
        .map(|i| {
            let address = ([10, 0, (i / 256) as u8, (i % 256) as u8], 7000).into();
            EndpointBuilder::new(format!("e{i}").as_str(), address).build()
        })
        .collect();
    let parsed = RecordSet::parse(&set.to_text()).unwrap_err();
    let checked = set.check().unwrap_err();
    for RecordErrors { faults, .. } in [parsed, checked] {
        let too_many = |fault: &&_| matches!(fault, FaultKind::TooMany { .. });
        assert_eq!(faults.iter().map(|fault| &fault.kind).filter(too_many).count(), 2);
        assert_eq!(faults.len(), 2);
    }
}

#[test]
fn check_too_many_keys() {
    let mut set = valid_set();
    let keys = (0..=MAX_WORKSPACE_KEYS).map(|i| format!("wk-{i}"));
    set.workspaces =
        vec![keys.fold(WorkspaceBuilder::new("desk"), |b, key| b.with_key(&key)).build()];
    let errors = set.check().unwrap_err();
    assert_eq!(errors.faults.len(), 1);
}

#[rstest]
#[case::multiple(|policy: &mut Policy| policy.load_multiple = f64::NAN)]
#[case::multiple_infinite(|policy: &mut Policy| policy.load_multiple = f64::INFINITY)]
#[case::quick(|policy: &mut Policy| policy.quick_share = f64::NAN)]
#[case::retry(|policy: &mut Policy| policy.retry_share = f64::NAN)]
fn check_not_a_number(#[case] break_policy: fn(&mut Policy)) {
    let mut set = valid_set();
    break_policy(&mut set.policy);
    assert_eq!(set.check().unwrap_err().faults.len(), 1);
}

#[test]
fn parse_version_1_bounds_the_total() {
    let text = set_of("", "", "").replace(r#""schema_version":2"#, r#""schema_version":1"#).replace(
        r#""workspaces":[]"#,
        r#""workspaces":[{"name":"a","key_digests":[],"limits":{"requests_per_second":9,"in_progress":5}}]"#,
    );
    let set = RecordSet::parse(&text).unwrap();
    let one = Limits { requests_per_second: 9, in_progress: 5 };
    assert_eq!(set.schema_version, SchemaVersion::V1);
    assert_eq!(set.workspaces[0].total_limits, Some(one));
    assert!(Class::ALL.iter().all(|class| *set.workspaces[0].limits.get(*class) == one));

    let rewritten = RecordSet::parse(&set.to_text()).unwrap();
    assert_eq!(rewritten, RecordSet { schema_version: SchemaVersion::V2, ..set });
}

#[rstest]
#[case::v1_with_classes(1, r#""limits":{"quick":{"requests_per_second":1,"in_progress":1}}"#, 3)]
#[case::v1_with_total(1, r#""total_limits":{"requests_per_second":1,"in_progress":1}"#, 1)]
#[case::v2_with_one(2, r#""limits":{"requests_per_second":1,"in_progress":1}"#, 5)]
fn parse_limits_of_other_version(#[case] version: u32, #[case] field: &str, #[case] count: usize) {
    let text = set_of("", &format!(r#"{{"name":"a","key_digests":[],{field}}}"#), "")
        .replace(r#""schema_version":2"#, &format!(r#""schema_version":{version}"#));
    assert_eq!(faults(&text).len(), count);
}

#[test]
fn parse_expired_record_is_valid() {
    let workspace = r#"{"name":"a","key_digests":[],"expires_at":1}"#;
    assert!(RecordSet::parse(&set_of("", workspace, "")).is_ok());
}

/// The faults, fields and entries that are kept in memory are bounded; further ones are counted.
#[test]
fn parse_bounds_memory() {
    let endpoints = vec!["{}"; MAX_ENDPOINTS].join(",");
    let errors = RecordSet::parse(&set_of("", "", &endpoints)).unwrap_err();
    let required = ["name", "address", "zone", "serves", "slots", "lender"].len();
    assert_eq!(errors.faults.len(), MAX_FAULTS);
    assert_eq!(errors.faults.len() + errors.omitted, required * MAX_ENDPOINTS);
    assert!(errors.to_string().ends_with("more faults; correct these first"));

    let entries = vec!["1"; 1_000_000].join(",");
    let found = faults(&set_of("", &entries, ""));
    assert!(found.contains(&format!(
        "set, workspaces: has 1000000 entries, over the {MAX_WORKSPACES} permitted; remove those \
         no longer used"
    )));

    let fields = vec![r#""x":1"#; 1_000_000].join(",");
    let found = faults(&set_of(&fields, "", ""));
    assert_eq!(found.len(), 65, "the surplus and each unknown field that was read");
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(
        Config { cases: 2_000, failure_persistence: None, ..Config::default() },
        rng,
    )
}

#[test]
fn parse_arbitrary_text_never_panics() {
    runner()
        .run(&any::<String>(), |text| {
            let _ = RecordSet::parse(&text);
            Ok(())
        })
        .unwrap();
}

/// Replaces a random range of a valid text, which reaches deeper into the parser than arbitrary
/// text does.
#[test]
fn parse_damaged_text_never_panics() {
    let valid = set_of(
        r#""load_multiple":2"#,
        &format!(r#"{{"name":"é","key_digests":["{DIGEST}"],"models":["m"]}}"#),
        &endpoint("engine-1", 1),
    );
    let bytes = valid.len();
    let damage = (0..bytes, 0..bytes, "[\\x20-\\x7e\u{e9}]{0,3}");
    runner()
        .run(&damage, |(a, b, inserted)| {
            let (from, to) = (a.min(b), a.max(b));
            let mut damaged = valid.as_bytes()[..from].to_vec();
            damaged.extend(inserted.bytes());
            damaged.extend(&valid.as_bytes()[to..]);
            let text = String::from_utf8_lossy(&damaged);
            if let Ok(set) = RecordSet::parse(&text) {
                prop_assert_eq!(set.check(), Ok(()));
            }
            Ok(())
        })
        .unwrap();
}
