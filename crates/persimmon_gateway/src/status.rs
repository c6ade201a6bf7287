//! The status page of a gateway, for operators.

use std::collections::HashSet;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{Endpoint, EndpointState, StoreEra};
use persimmon_decide::load::EndpointHash;
use serde::Serialize;

use crate::control::Control;
use crate::evacuation::{self, EvacuationStatus};
use crate::gateway::Gateway;
use crate::platform::Platform;

/// Status of a gateway. The first fields are the same for every process of the fleet.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    role: &'static str,
    name: Arc<str>,
    zone: Arc<str>,
    /// Version of the routes in force; zero without routes.
    generation: u64,
    records_source: &'static str,
    leaving: bool,
    load: Load,
    quarantined: Vec<String>,
    outcomes: Outcomes,
    /// Revision up to which every change to the records is known.
    revision: u64,
    /// Era of the store to which the revision belongs.
    store_era: u64,
    /// Milliseconds since the store last answered; none if this gateway doesn't watch the store.
    store_age_ms: Option<u64>,
    /// Milliseconds since the store last confirmed the records in force; none if it never has.
    records_age_ms: Option<u64>,
    /// Reason for that age.
    records_age_reason: &'static str,
    /// Number of live gateways, including this one.
    gateways: usize,
    endpoints: Vec<EndpointStatus>,
    retries: Vec<RetryStatus>,
    /// Zones that the operator has evacuated.
    evacuated_zones: Vec<EvacuationStatus>,
}

#[derive(Debug, Serialize)]
struct Load {
    running: usize,
    waiting: usize,
    /// Mean number of requests in progress at an endpoint, from all gateways.
    mean: f64,
}

#[derive(Debug, Serialize)]
struct Outcomes {
    done: u64,
    not_run: u64,
    unknown: u64,
}

/// Status of an endpoint, including whether it receives requests.
#[derive(Debug, Serialize)]
struct EndpointStatus {
    id: Arc<str>,
    service: Arc<str>,
    address: String,
    zone: Arc<str>,
    /// `in` if the endpoint receives requests, otherwise the reason why it doesn't.
    usage: &'static str,
    /// Limit that the endpoint names, in requests per second.
    limit_per_s: Option<f32>,
    /// Factor by which work there usually takes longer; none if the endpoint doesn't state its speed.
    lasting_slowdown: Option<f64>,
    /// The same factor as expected now.
    slowdown: Option<f64>,
    version: Arc<str>,
    requests: u32,
    own_requests: u32,
    failure_rate: f64,
    silent_ms: u64,
}

/// Numbers of first sends and retries to a service within the window of the fleet's retry limit.
#[derive(Debug, Serialize)]
struct RetryStatus {
    service: Arc<str>,
    fresh: u32,
    repeated: u32,
    others_fresh: u32,
    others_repeated: u32,
}

impl Status {
    /// Returns the current status.
    pub(crate) fn of<P: Platform>(gw: &Gateway<P>) -> Self {
        let control = gw.control.borrow();
        let now = gw.clock.now();
        let count = |outcome: &str| gw.metrics.requests.with_label_values(&[outcome]).get();
        let sum = |outcomes: &[&str]| outcomes.iter().map(|it| count(it)).sum();
        let failing = failing(&control, now);
        let endpoints: Vec<_> = control
            .directory
            .iter()
            .map(|it| EndpointStatus::of(&control, &failing, it, now))
            .collect();
        let requests: u32 = endpoints.iter().map(|it| it.requests).sum();
        Self {
            role: "gateway",
            name: gw.settings.name.clone(),
            zone: gw.settings.zone.clone(),
            generation: control.routes.as_ref().map_or(0, |routes| routes.version),
            records_source: if control.store_contact.is_some() { "store" } else { "peers" },
            leaving: control.shutdown.is_leaving(),
            load: Load {
                running: gw.requests.len(),
                waiting: 0,
                mean: f64::from(requests) / endpoints.len().max(1) as f64,
            },
            quarantined: control.crashes.refused(now).map(|it| it.to_string()).collect(),
            outcomes: Outcomes {
                done: count("answered"),
                not_run: sum(&NOT_RUN),
                unknown: sum(&UNKNOWN),
            },
            revision: StoreEra::revision(control.view.revision()),
            store_era: StoreEra::of(control.view.revision()).0,
            store_age_ms: control.store_contact.map(|at| now.ms_since(at)),
            records_age_ms: control.records_age.age_ms(now),
            records_age_reason: control
                .records_age
                .reason(control.fan_out.is_fetching(), now)
                .name(),
            gateways: control.peers.gateways(now),
            retries: control.retry_counts(now).map(RetryStatus::of).collect(),
            endpoints,
            evacuated_zones: evacuation::status(gw, &control, now),
        }
    }
}

/// Outcomes of requests that weren't run.
const NOT_RUN: [&str; 14] = [
    "not_configured",
    "crashing",
    "leaving",
    "no_endpoint",
    "overloaded",
    "paused",
    "limited",
    "cold",
    "unknown_stream",
    "version_gone",
    "body_too_slow",
    "body_stalled",
    "no_memory",
    "no_connection",
];
/// Outcomes of requests that may have run.
const UNKNOWN: [&str; 3] = ["unknown_outcome", "timed_out", "stream_cut"];

/// Returns the endpoints with a higher failure rate than the rest of their service.
fn failing(control: &Control, now: MonoMs) -> HashSet<EndpointHash> {
    let services: HashSet<_> = control.directory.iter().map(|it| &it.service).collect();
    let of_service = |service: &Arc<str>| {
        let members = control.directory.of_service(service).iter().map(|it| it.hash);
        control.health.failing(members, now)
    };
    services.into_iter().flat_map(of_service).collect()
}

impl EndpointStatus {
    fn of(
        control: &Control,
        failing: &HashSet<EndpointHash>,
        endpoint: &Arc<Endpoint>,
        now: MonoMs,
    ) -> Self {
        let hash = endpoint.hash;
        let usage = if endpoint.state == EndpointState::Draining {
            "draining"
        } else if control.directory.is_leaving(hash) {
            "leaving"
        } else if control.directory.is_replaced(hash) {
            "replaced"
        } else if control.directory.evacuated().contains(&endpoint.zone) {
            "evacuated"
        } else if control.pauses.left_ms(hash, now).is_some() {
            "paused"
        } else if control.limits.wait_ms(hash, now).is_some() {
            "limited"
        } else if control.cold.cold_ms(endpoint, now).is_some() {
            "cold"
        } else if control.health.is_ejected(hash, now) {
            "unreachable"
        } else if failing.contains(&hash) {
            "failing"
        } else {
            "in"
        };
        let lasting_slowdown = control.speeds.lasting(hash);
        Self {
            id: endpoint.id.clone(),
            service: endpoint.service.clone(),
            address: endpoint.address.to_string(),
            zone: endpoint.zone.clone(),
            usage,
            limit_per_s: control.limits.per_s(hash),
            lasting_slowdown,
            slowdown: lasting_slowdown.map(|_| control.speeds.slowdown(hash, now)),
            version: endpoint.version.clone(),
            requests: control.loads.total(hash).requests,
            own_requests: control.loads.own(hash),
            failure_rate: control.health.failure_rate(hash, now),
            silent_ms: control.health.silent_ms(hash, now),
        }
    }
}

impl RetryStatus {
    fn of((service, own, others): crate::control::RetryCounts) -> Self {
        Self {
            service,
            fresh: own.fresh,
            repeated: own.repeated,
            others_fresh: others.fresh,
            others_repeated: others.repeated,
        }
    }
}
