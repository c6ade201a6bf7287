//! Tests of gateway processes before endpoints of several software versions.

mod version_streams;

use persimmon_platform::standin::{Deployment, GatewayFixture, RouteSpec};
use rstest::rstest;

use version_streams::{
    BREAK_AT, ENDPOINTS, EVENTS, GATEWAYS, MIN_TAKEN_UP, PROGRAM, STREAMS, Stream, TakenUp, begin,
    publish_versions, read_stream, streaming, take_up, wait_until_published,
};

/// Starts gateways before endpoints of two versions.
fn start(is_isolated: bool) -> GatewayFixture {
    let mut deployment = Deployment::new(PROGRAM, GATEWAYS).unwrap();
    if is_isolated {
        deployment.isolate_gateways();
    }
    let fixture = GatewayFixture::start_on(deployment, &ENDPOINTS).unwrap();
    publish_versions(&fixture, 0..GATEWAYS.into());
    fixture
}

#[rstest]
#[case::at_others(&[1, 2])]
#[case::at_the_same(&[0, 0])]
#[case::there_and_back(&[1, 0])]
fn stream_taken_up_twice_stays_at_its_version(#[case] gateways: &[usize]) {
    let fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    for (round, gateway) in gateways.iter().enumerate() {
        let until = if round == 1 { EVENTS } else { 2 * BREAK_AT };
        let share = take_up(&fixture, *gateway, &mut streams, until, &format!("round-{round}"));
        assert!(share >= MIN_TAKEN_UP, "{share} went on");
    }
    // New streams begin as before.
    begin(&fixture, 1, "new", STREAMS);
    fixture.deployment.close();
}

#[rstest]
#[case::at_others(false)]
#[case::where_it_began(true)]
fn stream_of_a_killed_gateway_stays_at_its_version(#[case] is_restarted: bool) {
    let mut fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.deployment.kill(0).unwrap();
    let gateway = if is_restarted {
        fixture.deployment.restart(0).unwrap();
        fixture.deployment.wait_ready(0).unwrap();
        wait_until_published(&fixture, 0, 1);
        0
    } else {
        1
    };
    let share = take_up(&fixture, gateway, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}

#[test]
fn stream_stays_at_its_version_at_a_gateway_that_hears_no_peers() {
    let fixture = start(true);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    take_up(&fixture, 1, &mut streams, EVENTS, "elsewhere");
    let mut streams = begin(&fixture, 0, "own", STREAMS);
    let share = take_up(&fixture, 0, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}

#[test]
fn stream_stays_at_its_version_at_a_restarted_gateway_that_hears_no_peers() {
    let mut fixture = start(true);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.deployment.kill(0).unwrap();
    // Only one version is left for the new process to see.
    fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
    fixture.deployment.restart(0).unwrap();
    fixture.deployment.wait_ready(0).unwrap();
    fixture.wait_for_log(0, "\"endpoint\":\"v2-b\"").unwrap();
    take_up(&fixture, 0, &mut streams, EVENTS, "again");
    fixture.deployment.close();
}

#[test]
fn stream_whose_version_is_gone_is_refused() {
    let fixture = start(false);
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
    for gateway in 0..usize::from(GATEWAYS) {
        fixture.wait_for_log(gateway, "endpoint removed").unwrap();
    }
    take_up(&fixture, 1, &mut streams, EVENTS, "again");
    let (ended, open): (Vec<_>, Vec<_>) =
        streams.into_iter().partition(|it| it.last_event == EVENTS);
    assert!(ended.iter().all(|it| it.versions() == ["v2"]));
    assert!(open.iter().all(|it| it.versions() == ["v1"]));
    assert!(!ended.is_empty() && !open.is_empty());
    fixture.deployment.close();
}

/// One endpoint after the other goes, and comes back.
#[test]
fn stream_stays_at_its_version_while_versions_change() {
    let fixture = start(false);
    for (round, changed) in fixture.endpoints.iter().enumerate().take(3) {
        let mut streams = begin(&fixture, round, &format!("stream-{round}"), STREAMS);
        let mut later = streams.clone();
        fixture.deployment.withdraw_endpoint(changed);
        let share = take_up(&fixture, (round + 1) % 3, &mut streams, EVENTS, "again");
        assert!(share >= MIN_TAKEN_UP, "{share} went on");
        fixture.deployment.publish_endpoint(changed, false);
        take_up(&fixture, (round + 2) % 3, &mut later, EVENTS, "later");
    }
    fixture.deployment.close();
}

#[test]
fn stream_resumed_inside_an_answer_stays_at_its_version() {
    let fixture = start(false);
    // The first endpoint of each version breaks its streams, and its second goes on with them.
    for number in [0, 2] {
        fixture.endpoints[number].set_behaviour(streaming(Some(BREAK_AT)));
    }
    let mut complete = 0;
    let mut resumed = 0;
    for number in 0..2 * STREAMS {
        let id = format!("stream-{number}");
        let mut stream = Stream::new(&id);
        let end = read_stream(&fixture, number % 3, &id, &mut stream, EVENTS).unwrap();
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
        complete += usize::from(matches!(end, TakenUp::GoesOn));
        resumed += usize::from(stream.endpoints.first() != stream.endpoints.last());
    }
    assert!(resumed > 0, "no stream was resumed");
    assert!(complete >= STREAMS, "{complete} complete");
    fixture.deployment.close();
}

/// Callers that don't name the first attempt are served as long as there is one version.
#[rstest]
#[case::one_version(true)]
#[case::two_versions(false)]
fn stream_without_the_id_of_its_first_attempt(#[case] has_one_version: bool) {
    let mut fixture = start(false);
    if has_one_version {
        fixture.endpoints[..2].iter().for_each(|it| fixture.deployment.withdraw_endpoint(it));
        fixture.wait_for_log(1, "endpoint removed").unwrap();
        fixture.deployment.kill(0).unwrap();
        fixture.deployment.restart(0).unwrap();
        fixture.deployment.wait_ready(0).unwrap();
        fixture.wait_for_log(0, "\"endpoint\":\"v2-b\"").unwrap();
    }
    for number in 0..STREAMS {
        let id = format!("stream-{number}");
        let mut stream = Stream { is_named: false, ..Stream::new(&id) };
        read_stream(&fixture, 0, &id, &mut stream, BREAK_AT).unwrap();
        let again = format!("{id}-again");
        let end = read_stream(&fixture, 0, &again, &mut stream, EVENTS).unwrap();
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
        assert!(!has_one_version || matches!(end, TakenUp::GoesOn), "{end:?}");
    }
    fixture.deployment.close();
}

/// Endpoints of both services have the same version, and only the second one's have a name with v2.
#[test]
fn stream_of_a_route_with_two_services_stays_at_its_service() {
    let mut fixture = start(false);
    fixture.deployment.publish_routes(
        &[RouteSpec::stream("draft", true).with_unrelated_service()],
        &[GatewayFixture::KEY],
    );
    for (endpoint, is_unrelated) in fixture.endpoints.iter().zip([false, false, true, true]) {
        endpoint.set_version("v1");
        match is_unrelated {
            false => fixture.deployment.publish_endpoint(endpoint, false),
            true => fixture.deployment.publish_unrelated_endpoint(endpoint),
        }
    }
    for gateway in 0..usize::from(GATEWAYS) {
        wait_until_published(&fixture, gateway, 3);
        fixture.wait_for_log(gateway, "\"version\":2").unwrap();
    }
    let mut streams = begin(&fixture, 0, "stream", STREAMS);
    let share = take_up(&fixture, 1, &mut streams, EVENTS, "again");
    assert!(share >= MIN_TAKEN_UP, "{share} went on");
    fixture.deployment.close();
}
