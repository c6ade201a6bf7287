//! Which endpoints a workspace may use.

use persimmon_records::{EndpointBuilder, Serves, Workspace, WorkspaceBuilder};
use rstest::rstest;

fn workspace() -> WorkspaceBuilder {
    WorkspaceBuilder::new("swap-desk").with_model("chat-large").with_service("booking")
}

#[rstest]
#[case::model(workspace(), Serves::Model("chat-large".into()), true)]
#[case::other_model(workspace(), Serves::Model("chat-small".into()), false)]
#[case::service(workspace(), Serves::Service("booking".into()), true)]
#[case::service_named_like_model(workspace(), Serves::Service("chat-large".into()), false)]
#[case::named_endpoint(workspace().with_endpoint("one"), Serves::Model("chat-large".into()), true)]
#[case::other_endpoint(workspace().with_endpoint("two"), Serves::Model("chat-large".into()), false)]
fn may_use_endpoint(
    #[case] workspace: WorkspaceBuilder,
    #[case] serves: Serves,
    #[case] expected: bool,
) {
    let workspace: Workspace = workspace.build();
    let endpoint = EndpointBuilder::new("one", ([127, 0, 0, 1], 7_000).into()).with_serves(serves);
    assert_eq!(workspace.may_use(&endpoint.build()), expected);
}
