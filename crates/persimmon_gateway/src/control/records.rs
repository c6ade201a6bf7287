//! The platform's records: what is in force, and when it changes.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_decide::MonoMs;
use persimmon_decide::forward::{
    Endpoint, RecordsVersion, RouteTable, StoreChange, StoreRecord, StoreView,
};

use super::Control;
use crate::platform::{DecodeError, DecodedRecord, Platform, RecordSubject};

/// Effect of one change to the records.
#[derive(Debug)]
pub(crate) enum Applied {
    /// New routes are in force.
    Routes(u64),
    /// Routes with a lower version than those in force were ignored.
    StaleRoutes(u64),
    /// An endpoint was added or changed.
    Endpoint(Arc<Endpoint>),
    /// The record of a restored store for this endpoint, which is as it was, was older and ignored.
    OutdatedEndpoint(Arc<Endpoint>),
    /// An endpoint was removed.
    EndpointRemoved(Arc<Endpoint>),
    /// A zone is evacuated.
    ZoneEvacuated(Arc<str>),
    /// A zone that was evacuated is taken back.
    ZoneTakenBack(Arc<str>),
    /// The record with this key can't be read.
    Unreadable(Arc<str>, DecodeError),
}

impl Control {
    /// Reports whether routes and endpoints are known, and aren't older than those of the peers that a
    /// gateway hears as it starts.
    pub(crate) fn can_route(&self) -> bool {
        self.startup.is_complete() && self.routes.is_some() && !self.directory.is_empty()
    }

    /// Returns the routes; none while a gateway that has just started doesn't know whether they are in
    /// force.
    pub(crate) fn routes_in_force(&self) -> Option<Rc<RouteTable>> {
        self.routes.clone().filter(|_| self.startup.is_complete())
    }

    /// Returns the version of the routes in force, or zero if there are none.
    pub(crate) fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Compares the records of a gateway that has just started with those of its peers. Returns whether
    /// they may be used from now on.
    pub(crate) fn update_startup(&mut self, now: MonoMs) -> bool {
        if self.startup.is_complete() {
            return false;
        }
        let latest = self.peers.latest_records(now);
        let own = RecordsVersion { position: self.view.revision(), routes: self.routes_version() };
        self.startup.update(own, latest, now)
    }

    /// Reports whether an endpoint of the service is published.
    pub(crate) fn has_endpoints(&self, service: &str) -> bool {
        !self.directory.of_service(service).is_empty()
    }

    /// Applies changes to the platform's records and returns their effects.
    pub(crate) fn apply<P: Platform>(
        &mut self,
        platform: &P,
        changes: Vec<StoreChange>,
        now: MonoMs,
    ) -> Vec<Applied> {
        let mut applied = Vec::new();
        for change in changes {
            match change {
                StoreChange::Written(record) => {
                    applied.extend(self.apply_record(platform, record, now));
                }
                StoreChange::Restored { record, known } => {
                    applied.extend(self.apply_restored(platform, record, known, now));
                }
                StoreChange::Removed(key) => {
                    match platform.subject(&key) {
                        RecordSubject::Endpoint(id) => {
                            applied.extend(self.remove_endpoint(&id, now));
                        }
                        // Only a store that lost them has no routes.
                        RecordSubject::Routes => self.view.keep(&key, self.routes_value.clone()),
                        RecordSubject::EvacuatedZone(zone) => {
                            applied.extend(self.take_back(zone, now));
                        }
                        RecordSubject::Other => {}
                    }
                }
            }
        }
        applied
    }

    fn apply_record<P: Platform>(
        &mut self,
        platform: &P,
        record: StoreRecord,
        now: MonoMs,
    ) -> Vec<Applied> {
        let value = record.value.as_deref().unwrap_or_default();
        match platform.decode(&record.key, value) {
            Ok(DecodedRecord::Endpoint(endpoint)) => vec![self.put_endpoint(endpoint, now)],
            Ok(DecodedRecord::Routes(routes)) => vec![self.put_routes(routes, record.value)],
            Ok(DecodedRecord::EvacuatedZone(zone)) => {
                let is_new = self.directory.evacuated_mut().insert(&zone, now);
                is_new.then_some(Applied::ZoneEvacuated(zone)).into_iter().collect()
            }
            Ok(DecodedRecord::Other) => Vec::new(),
            Err(err) => {
                // Without a readable record, the endpoint's address and state are unknown.
                let removed = match platform.subject(&record.key) {
                    RecordSubject::Endpoint(id) => self.remove_endpoint(&id, now),
                    _ => None,
                };
                removed.into_iter().chain([Applied::Unreadable(record.key, err)]).collect()
            }
        }
    }

    /// Applies a record of a store that has come back from an older copy, unless it is older than the one
    /// that was known, which then stays in force, and is passed on to peers, until it is written again.
    fn apply_restored<P: Platform>(
        &mut self,
        platform: &P,
        record: StoreRecord,
        known: StoreRecord,
        now: MonoMs,
    ) -> Vec<Applied> {
        let decode = |record: &StoreRecord| {
            platform.decode(&record.key, record.value.as_deref().unwrap_or_default())
        };
        let outdated = match (decode(&record), decode(&known)) {
            (Ok(DecodedRecord::Endpoint(restored)), Ok(DecodedRecord::Endpoint(known))) => {
                restored.is_older_than(&known).then(|| Applied::OutdatedEndpoint(Arc::new(known)))
            }
            (Ok(DecodedRecord::Routes(restored)), Ok(DecodedRecord::Routes(known))) => {
                let is_older = restored.version < known.version;
                is_older.then_some(Applied::StaleRoutes(restored.version))
            }
            _ => None,
        };
        match outdated {
            Some(outdated) => {
                self.view.keep(&record.key, known.value);
                vec![outdated]
            }
            None => self.apply_record(platform, record, now),
        }
    }

    /// Adopts the routes of a peer that are later than those in force. Returns whether there are any.
    pub(crate) fn adopt_routes<P: Platform>(
        &mut self,
        platform: &P,
        records: Vec<StoreRecord>,
    ) -> bool {
        let in_force = self.routes_version();
        let mut is_adopted = false;
        for record in records {
            let value = record.value.as_deref().unwrap_or_default();
            if let Ok(DecodedRecord::Routes(routes)) = platform.decode(&record.key, value)
                && routes.version > in_force
            {
                self.view.keep(&record.key, record.value.clone());
                self.put_routes(routes, record.value);
                is_adopted = true;
            }
        }
        is_adopted
    }

    /// Puts the endpoints of an evacuated zone into use again.
    fn take_back(&mut self, zone: Arc<str>, now: MonoMs) -> Option<Applied> {
        if !self.directory.evacuated_mut().remove(&zone) {
            return None;
        }
        for endpoint in self.directory.iter().filter(|it| it.zone == zone) {
            // It may have become cold shortly before, and its record may be from before that.
            self.cold.record_suspected(endpoint, now);
        }
        Some(Applied::ZoneTakenBack(zone))
    }

    fn put_endpoint(&mut self, endpoint: Endpoint, now: MonoMs) -> Applied {
        let id = endpoint.id.clone();
        let hash = endpoint.hash;
        let previous = self.directory.insert(endpoint);
        if previous.as_ref().is_none_or(|it| it.hash != hash) {
            self.crashes.record_alive(hash, now);
        }
        if let Some(previous) = previous.filter(|previous| previous.hash != hash) {
            self.prefixes.forget(previous.hash);
            self.record_ended(&previous, now);
        }
        self.record_predecessors_ended(&id, now);
        self.crashes.record_published(hash);
        let endpoint = self.directory.get(&id).cloned().expect("the endpoint was just inserted");
        self.cold.record_published(&endpoint, now);
        self.served.record(&endpoint.service, &endpoint.version, now);
        Applied::Endpoint(endpoint)
    }

    /// Records that the endpoints whose address now belongs to the endpoint `id` have ended. Their
    /// records may outlast them for seconds.
    fn record_predecessors_ended(&mut self, id: &str, now: MonoMs) {
        let Some(endpoint) = self.directory.get(id) else { return };
        if !self.directory.is_service_known(&endpoint.service) {
            return;
        }
        let address = endpoint.address;
        let at_address = self.directory.at_address(address);
        let predecessors: Vec<_> = at_address.filter(|it| *it.id != *id).cloned().collect();
        for endpoint in predecessors {
            self.record_ended(&endpoint, now);
        }
    }

    fn remove_endpoint(&mut self, id: &str, now: MonoMs) -> Option<Applied> {
        let endpoint = self.directory.remove(id)?;
        self.prefixes.forget(endpoint.hash);
        self.record_ended(&endpoint, now);
        Some(Applied::EndpointRemoved(endpoint))
    }

    fn put_routes(&mut self, routes: RouteTable, value: Option<Vec<u8>>) -> Applied {
        let version = routes.version;
        if self.routes.as_ref().is_some_and(|known| known.version > version) {
            return Applied::StaleRoutes(version);
        }
        self.directory.set_services(routes.service_names());
        self.cold.set_terms(routes.cold_terms());
        let routes = match &self.routes {
            Some(previous) => routes.replacing(previous),
            None => routes,
        };
        self.routes = Some(Rc::new(routes));
        self.routes_value = value;
        Applied::Routes(version)
    }

    /// Returns the removals of endpoints' records whose deferral has ended.
    pub(crate) fn take_due_removals<P: Platform>(
        &mut self,
        platform: &P,
        now: MonoMs,
    ) -> Vec<StoreChange> {
        let mut by_service: HashMap<Arc<str>, (Vec<Arc<str>>, MonoMs)> = HashMap::new();
        for (key, since) in self.view.deferred() {
            let RecordSubject::Endpoint(id) = platform.subject(key) else { continue };
            let Some(endpoint) = self.directory.get(&id) else { continue };
            let (keys, last) = by_service.entry(endpoint.service.clone()).or_default();
            keys.push(key.clone());
            *last = since.max(*last);
        }
        for (service, (keys, last)) in by_service {
            let published = self.directory.of_service(&service).len();
            if StoreView::may_release(keys.len(), published, last, now) {
                keys.iter().for_each(|key| self.view.release(key, now));
            }
        }
        self.view.expire(now)
    }
}
