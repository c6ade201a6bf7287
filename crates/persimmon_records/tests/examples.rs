//! The example records of both deployments are valid and match their documentation.

use std::collections::BTreeSet;

use persimmon_records::{
    Class, EndpointBuilder, Generation, Limits, PerClass, RecordSet, Serves, UnixMs,
    WorkspaceBuilder,
};
use rstest::rstest;

const MWAKILEMA: &str = include_str!("../../../examples/records/mwakilema.json");
const KALAHARI: &str = include_str!("../../../examples/records/kalahari.json");

/// A time at which no loan or record of the examples has ended.
const NOW: UnixMs = UnixMs(1_790_000_000_000);

#[rstest]
#[case::mwakilema(MWAKILEMA, 1.25, 4, 4)]
#[case::kalahari(KALAHARI, 2.0, 3, 3)]
fn parse_example(
    #[case] text: &str,
    #[case] load_multiple: f64,
    #[case] zone_count: usize,
    #[case] service_workers: usize,
) {
    let set = RecordSet::parse(text).unwrap();
    assert_eq!(set.policy.load_multiple, load_multiple);
    assert_eq!(set.workspaces.len(), 10);
    let zones: BTreeSet<_> = set.endpoints.iter().map(|endpoint| &endpoint.zone).collect();
    assert_eq!(zones.len(), zone_count);
    let models = |endpoint: &&_| matches!(endpoint, Serves::Model(_));
    assert_eq!(set.endpoints.iter().map(|endpoint| &endpoint.serves).filter(models).count(), 20);
    assert_eq!(set.endpoints.len(), 20 + service_workers);
    assert_eq!(set.warnings(NOW), []);
}

#[test]
fn warnings_each_kind() {
    let mut set = RecordSet { generation: Generation(1), ..RecordSet::empty() };
    let endpoint = |name: &str, port: u16| {
        EndpointBuilder::new(name, ([10, 0, 0, 1], port).into())
            .with_serves(Serves::Model("m".into()))
    };
    set.endpoints = vec![
        endpoint("ended", 1).with_loan_ends_at(NOW).build(),
        endpoint("draining", 2).with_draining(true).build(),
        endpoint("running", 3).with_loan_ends_at(NOW.plus_ms(1)).build(),
    ];
    let mut limits = PerClass::<Limits>::default();
    limits.get_mut(Class::Quick).in_progress = 0;
    let keyed = |name: &str| WorkspaceBuilder::new(name).with_key(name).with_model("m");
    set.workspaces = vec![
        keyed("sound").build(),
        keyed("expired").with_expires_at(NOW).build(),
        WorkspaceBuilder::new("keyless").with_model("m").build(),
        WorkspaceBuilder::new("idle").with_key("idle").build(),
        keyed("closed").with_limits(limits).build(),
        keyed("closed-whole").with_total_limits(*limits.get(Class::Quick)).build(),
        keyed("unserved").with_endpoint("ended").with_endpoint("draining").build(),
    ];
    let found: Vec<_> = set.warnings(NOW).iter().map(ToString::to_string).collect();
    let expected = [
        "endpoints (ended), loan_ends_at: has passed",
        "workspaces (expired), expires_at: has passed",
        "workspaces (keyless), key_digests: is empty",
        "workspaces (idle), models: may use no model",
        "workspaces (closed), limits.quick: is 0",
        "workspaces (closed-whole), total_limits: is 0",
        "workspaces (unserved), models: m has no endpoint",
    ];
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for (found, expected) in found.iter().zip(expected) {
        assert!(found.starts_with(expected), "{found}");
    }
}
