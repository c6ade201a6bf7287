//! Each workspace's share of a service.

use std::sync::Arc;

use persimmon_decide::forward::WorkspaceShares;

#[test]
fn share_counts_requests_in_progress() {
    let (service, large, small): (Arc<str>, Arc<str>, Arc<str>) =
        ("engines".into(), "large".into(), "small".into());
    let mut shares = WorkspaceShares::new();
    assert_eq!(shares.share(&service, &large), (0.0, 0));
    for workspace in [&large, &large, &large, &small] {
        shares.begin(&service, workspace);
    }
    assert_eq!(shares.share(&service, &large), (0.75, 2));
    assert_eq!(shares.share(&service, "none"), (0.0, 2));
    assert_eq!(shares.share("other", &large), (0.0, 0));
    shares.end(&service, &small);
    assert_eq!(shares.share(&service, &large), (1.0, 1));
}

#[test]
fn end_without_begin_changes_nothing() {
    let mut shares = WorkspaceShares::new();
    shares.begin(&"engines".into(), &"desk".into());
    shares.end("engines", "other");
    shares.end("ledger", "desk");
    assert_eq!(shares.share("engines", "desk"), (1.0, 1));
}
