//! Progress of evacuations, for operators.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::load::EndpointHash;
use serde::Serialize;

use crate::control::Control;
use crate::gateway::Gateway;
use crate::platform::Platform;

/// What is reported of the evacuated zones.
#[derive(Debug, Default)]
pub(crate) struct EvacuationReports {
    zones: RefCell<BTreeMap<Arc<str>, ZoneReport>>,
}

#[derive(Debug, Default)]
struct ZoneReport {
    /// Endpoints that were published in the zone since it is evacuated. Their requests go on when their records
    /// are gone.
    endpoints: HashSet<EndpointHash>,
    /// Requests of this gateway in the zone when they were last logged.
    logged: Option<u32>,
}

impl ZoneReport {
    fn update(&mut self, control: &Control, zone: &str) {
        let published = control.directory.iter().filter(|it| *it.zone == *zone);
        self.endpoints.extend(published.map(|it| it.hash));
    }

    fn requests(&self, control: &Control) -> u32 {
        self.endpoints.iter().map(|it| control.loads.own(*it)).sum()
    }
}

/// An evacuated zone, on the status page.
#[derive(Debug, Serialize)]
pub(crate) struct EvacuationStatus {
    zone: Arc<str>,
    /// Milliseconds since this gateway learned of the evacuation.
    since_ms: u64,
    /// This gateway's requests that still run in the zone.
    requests: u32,
    /// Services with endpoints in the zone.
    services: Vec<RemainingSlots>,
}

/// Whether a service's remaining endpoints can carry its load.
#[derive(Debug, Serialize)]
struct RemainingSlots {
    service: Arc<str>,
    /// Requests of all gateways at all of its endpoints.
    load: u64,
    /// Slots of the endpoints that accept requests.
    slots: u64,
    is_enough: bool,
}

impl RemainingSlots {
    fn of(control: &Control, service: &Arc<str>) -> Self {
        let all = control.directory.of_service(service).iter();
        let load = all.map(|it| u64::from(control.loads.total(it.hash).requests)).sum();
        let slots = control.directory.ready(service).map(|it| u64::from(it.slots)).sum();
        Self { service: service.clone(), load, slots, is_enough: load <= slots }
    }
}

/// Returns the evacuated zones for the status page.
pub(crate) fn status<P: Platform>(
    gw: &Gateway<P>,
    control: &Control,
    now: MonoMs,
) -> Vec<EvacuationStatus> {
    let mut reports = gw.evacuations.zones.borrow_mut();
    let evacuated = control.directory.evacuated().iter();
    let status = evacuated.map(|(zone, since)| {
        let report = reports.entry(zone.clone()).or_default();
        report.update(control, zone);
        let in_zone = control.directory.iter().filter(|it| it.zone == *zone);
        let services: BTreeSet<_> = in_zone.map(|it| &it.service).collect();
        EvacuationStatus {
            zone: zone.clone(),
            since_ms: now.ms_since(since),
            requests: report.requests(control),
            services: services.into_iter().map(|it| RemainingSlots::of(control, it)).collect(),
        }
    });
    status.collect()
}

/// Updates the metrics of evacuations and of cold endpoints, and logs how far evacuations have got.
pub(crate) fn report<P: Platform>(gw: &Gateway<P>) {
    let now = gw.clock.now();
    let control = gw.control.borrow();
    let mut reports = gw.evacuations.zones.borrow_mut();
    let metrics = &gw.metrics.records.evacuation;
    let evacuated = control.directory.evacuated();
    // Zones that were taken back have no value from here on.
    metrics.requests.reset();
    reports.retain(|zone, _| evacuated.contains(zone));
    let mut zones = 0;
    for (zone, since) in evacuated.iter() {
        zones += 1;
        let report = reports.entry(zone.clone()).or_default();
        report.update(&control, zone);
        let requests = report.requests(&control);
        metrics.requests.with_label_values(&[zone]).set(i64::from(requests));
        if report.logged == Some(requests) {
            continue;
        }
        report.logged = Some(requests);
        let since_ms = now.ms_since(since);
        let Some(suppressed) = gw.log_limiter.admit("evacuation", now) else { continue };
        match requests {
            0 => tracing::info!(target: "records", zone = &**zone, since_ms, suppressed,
                "no request of this gateway runs in an evacuated zone any more"),
            _ => tracing::info!(target: "records", zone = &**zone, requests, since_ms, suppressed,
                "requests still run in an evacuated zone"),
        }
    }
    metrics.zones.set(zones);
    let is_cold = |it: &&Arc<_>| control.cold.cold_ms(it, now).is_some();
    let cold = control.directory.iter().filter(is_cold).count();
    metrics.cold_endpoints.set(i64::try_from(cold).unwrap_or(i64::MAX));
}
