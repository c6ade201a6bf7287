//! Lookup of routes and keys.

use persimmon_decide::forward::{
    CallerLimits, CallerLookup, Rank, Repeatable, Route, RouteTable, ServiceWeight, Workspace,
};
use rstest::rstest;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "calls.example".into(),
        prefix: prefix.into(),
        is_stream: false,
        repeatable: Repeatable::Never,
        timeout_ms: 1_000,
        target_ms: 100,
        pause_ms: None,
        priority: 0,
        max_attempts: 1,
        is_public: false,
        has_prompt: false,
        services: vec![ServiceWeight { service: "ledger".into(), weight: 1 }],
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1_000,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    RouteTable::new(7, limits, routes, Vec::new())
}

fn desk() -> Workspace {
    Workspace { name: "desk".into(), priority: Some(1) }
}

#[rstest]
#[case::longest_prefix("calls.example", "/a/b/c", Some("deep"))]
#[case::shorter_prefix("calls.example", "/a/x", Some("shallow"))]
#[case::port_in_host("calls.example:8080", "/a/x", Some("shallow"))]
#[case::other_case_of_host("Calls.Example", "/a/x", Some("shallow"))]
#[case::prefix_without_slash("calls.example", "/ab", None)]
#[case::other_host("other.example", "/a/x", None)]
fn find_route(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let table = table(vec![route("shallow", "/a/"), route("deep", "/a/b/")]);
    assert_eq!(table.find(host, path).map(|route| &*route.name), expected);
}

#[test]
fn caller_requires_key_if_workspaces_exist() {
    let route = route("a", "/a/");
    let open = table(vec![route.clone()]);
    assert_eq!(open.caller(&route, None), CallerLookup::Anonymous);
    let workspace = Workspace { name: "desk".into(), priority: Some(1) };
    let closed = table(vec![route.clone()]).with_keys(&workspace, vec!["key-1".into()]);
    assert_eq!(closed.caller(&route, Some("key-1")), CallerLookup::Known(workspace));
    assert_eq!(closed.caller(&route, Some("key-2")), CallerLookup::Unknown);
    assert_eq!(closed.caller(&route, None), CallerLookup::Unknown);
    let public = Route { is_public: true, ..route };
    assert_eq!(closed.caller(&public, None), CallerLookup::Anonymous);
}

#[rstest]
#[case::workspace_without_keys(|it: RouteTable| it.with_keys(&desk(), Vec::new()))]
#[case::no_workspaces(RouteTable::requiring_key)]
#[case::replaces_keys(|it: RouteTable| it.replacing(&table(Vec::new()).with_keys(&desk(), vec!["key-1".into()])))]
#[case::replaces_no_keys(|it: RouteTable| it.replacing(&table(Vec::new()).requiring_key()))]
fn caller_is_unknown_without_keys(#[case] close: fn(RouteTable) -> RouteTable) {
    let route = route("a", "/a/");
    let closed = close(table(vec![route.clone()]));
    assert_eq!(closed.caller(&route, Some("key-1")), CallerLookup::Unknown);
    assert_eq!(closed.caller(&route, None), CallerLookup::Unknown);
    let public = Route { is_public: true, ..route };
    assert_eq!(closed.caller(&public, None), CallerLookup::Anonymous);
    assert_eq!(closed.rank("ledger", None, 0).count, 1);
}

#[test]
fn caller_is_anonymous_if_no_table_required_a_key() {
    let route = route("a", "/a/");
    let open = table(vec![route.clone()]).replacing(&table(Vec::new()));
    assert_eq!(open.caller(&route, Some("key-1")), CallerLookup::Anonymous);
}

#[test]
fn service_for_draws_in_proportion_to_weights() {
    let services = [("a", 90), ("b", 10), ("c", 0)];
    let services = services.map(|(name, weight)| ServiceWeight { service: name.into(), weight });
    let route = Route { services: services.to_vec(), ..route("r", "/a/") };
    let drawn = |name: &str| {
        (0..1_000).filter(|draw| route.service_for(*draw).is_some_and(|it| &**it == name)).count()
    };
    assert_eq!((drawn("a"), drawn("b"), drawn("c")), (900, 100, 0));
}

#[rstest]
#[case::no_workspaces(&[], None, 2, (1, 3))]
#[case::same_priority_goes_by_route(&[Some(1), Some(1)], Some(1), 2, (1, 3))]
#[case::workspace_before_route(&[Some(0), Some(1)], Some(1), 0, (3, 6))]
#[case::most_urgent(&[Some(0), Some(1)], Some(0), 0, (0, 6))]
#[case::workspace_without_priority(&[None, Some(9)], None, 5, (2, 6))]
fn rank_of_request(
    #[case] workspaces: &[Option<u8>],
    #[case] workspace: Option<u8>,
    #[case] priority: u8,
    #[case] (position, count): (usize, usize),
) {
    let routes = [0, 2, 5].map(|it| Route { priority: it, ..route(&format!("r{it}"), "/a/") });
    let mut table = table(routes.to_vec());
    for (number, priority) in workspaces.iter().enumerate() {
        let workspace = Workspace { name: format!("w{number}").into(), priority: *priority };
        table = table.with_keys(&workspace, vec![format!("key-{number}").into()]);
    }
    assert_eq!(table.rank("ledger", workspace, priority), Rank { position, count });
}

#[test]
fn rank_counts_workspaces_without_keys() {
    let routes = [0, 2, 5].map(|it| Route { priority: it, ..route(&format!("r{it}"), "/a/") });
    let first = Workspace { name: "first".into(), priority: Some(0) };
    let table = table(routes.to_vec()).with_keys(&first, Vec::new());
    let table = table.with_keys(&desk(), vec!["key-1".into()]);
    assert_eq!(table.rank("ledger", Some(1), 0), Rank { position: 3, count: 6 });
}

#[test]
fn rank_of_unknown_service_is_the_only_one() {
    let rank = table(vec![route("a", "/a/")]).rank("other", None, 3);
    assert_eq!(rank, Rank { position: 0, count: 0 });
}
