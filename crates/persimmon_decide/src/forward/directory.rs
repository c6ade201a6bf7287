//! Index of published endpoints.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Endpoint, EndpointId, EndpointState, EvacuatedZones};
use crate::MonoMs;
use crate::load::EndpointHash;

/// Published endpoints, by ID and by service, and those that have said that they leave.
///
/// An endpoint that leaves may still be published as ready, for example while it can't reach the
/// store. An endpoint that starts again has another hash, and isn't leaving.
///
/// Handles crashes of many endpoints at one moment, which start again at their addresses under other IDs
/// while their earlier records are still published: an endpoint isn't used once a later one is published
/// at its address, or once another process has answered there.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    by_id: BTreeMap<EndpointId, Arc<Endpoint>>,
    by_service: BTreeMap<Arc<str>, Vec<Arc<Endpoint>>>,
    /// Leaving endpoints, each with the time when it was last published or said so.
    leaving: HashMap<EndpointHash, MonoMs>,
    /// Endpoints at whose address another process has answered, each with the time.
    replaced: HashMap<EndpointHash, MonoMs>,
    /// Published endpoints at whose address one that started later is published.
    succeeded: HashSet<EndpointHash>,
    /// Zones whose endpoints get no requests.
    evacuated: EvacuatedZones,
    /// Services of the routes in force; none until there are routes.
    services: Option<HashSet<Arc<str>>>,
}

impl EndpointDirectory {
    /// Time for which an endpoint that isn't published stays marked as leaving, in milliseconds. An
    /// outage of the store removes its record for far less.
    pub const LEAVING_KEPT_MS: u64 = 120_000;
    /// Maximum number of endpoints marked as leaving; further ones aren't marked.
    pub const MAX_LEAVING: usize = 4_096;

    /// Time for which an endpoint isn't used after another process has answered at its address, in
    /// milliseconds. The record of an endpoint that has ended lapses sooner.
    pub const REPLACED_KEPT_MS: u64 = 5_000;

    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the services of the routes in force. The records of others name no endpoint to use, so that they
    /// succeed none at their addresses.
    pub fn set_services(&mut self, services: HashSet<Arc<str>>) {
        if self.services.as_ref() == Some(&services) {
            return;
        }
        self.services = Some(services);
        let addresses: HashSet<_> = self.by_id.values().map(|it| it.address).collect();
        addresses.into_iter().for_each(|it| self.update_succeeded(it));
    }

    /// Reports whether the routes in force name a service, or there are none yet.
    pub fn is_service_known(&self, service: &str) -> bool {
        self.services.as_ref().is_none_or(|it| it.contains(service))
    }

    /// Adds or replaces an endpoint, and returns the replaced one.
    pub fn insert(&mut self, endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        let previous = self.remove(&endpoint.id.clone());
        let endpoint = Arc::new(endpoint);
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        self.update_succeeded(endpoint.address);
        self.by_service.entry(endpoint.service.clone()).or_default().push(endpoint);
        previous
    }

    /// Removes an endpoint and returns it.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Endpoint>> {
        let endpoint = self.by_id.remove(id)?;
        if let Some(peers) = self.by_service.get_mut(&endpoint.service) {
            peers.retain(|peer| peer.id != endpoint.id);
        }
        self.succeeded.remove(&endpoint.hash);
        self.update_succeeded(endpoint.address);
        Some(endpoint)
    }

    fn update_succeeded(&mut self, address: SocketAddr) {
        let at_address: Vec<_> = self.at_address(address).cloned().collect();
        let known = at_address.iter().filter(|it| self.is_service_known(&it.service));
        let latest = known.map(|it| it.started_unix_ms()).max().flatten();
        for endpoint in at_address {
            if endpoint.started_unix_ms() < latest {
                self.succeeded.insert(endpoint.hash);
            } else {
                self.succeeded.remove(&endpoint.hash);
            }
        }
    }

    /// Returns all endpoints of a service, including draining ones.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.accepting(service).filter(|it| !self.replaced.contains_key(&it.hash))
    }

    /// Returns the endpoints of a service that would be ready, had no other process answered at their
    /// addresses.
    pub fn replaced(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.accepting(service).filter(|it| self.replaced.contains_key(&it.hash))
    }

    fn accepting(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        let accepts = |it: &&Arc<Endpoint>| {
            it.state == EndpointState::Ready
                && !self.is_leaving(it.hash)
                && !self.succeeded.contains(&it.hash)
                && !self.evacuated.contains(&it.zone)
        };
        self.of_service(service).iter().filter(accepts)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns the evacuated zones, to change them.
    pub fn evacuated_mut(&mut self) -> &mut EvacuatedZones {
        &mut self.evacuated
    }

    /// Marks an endpoint at whose address another process has answered.
    pub fn mark_replaced(&mut self, endpoint: EndpointHash, now: MonoMs) {
        self.replaced.insert(endpoint, now);
    }

    /// Reports whether another process has an endpoint's address, by its answer or by a record.
    pub fn is_replaced(&self, endpoint: EndpointHash) -> bool {
        self.replaced.contains_key(&endpoint) || self.succeeded.contains(&endpoint)
    }

    /// Marks an endpoint that says that it leaves, or of which a peer says so. Returns whether that
    /// is new.
    pub fn mark_leaving(&mut self, endpoint: EndpointHash, now: MonoMs) -> bool {
        if self.leaving.len() >= Self::MAX_LEAVING && !self.is_leaving(endpoint) {
            return false;
        }
        self.leaving.insert(endpoint, now).is_none()
    }

    /// Reports whether an endpoint has said that it leaves.
    pub fn is_leaving(&self, endpoint: EndpointHash) -> bool {
        self.leaving.contains_key(&endpoint)
    }

    /// Returns the published endpoints that are marked as leaving, for peers.
    pub fn leaving(&self) -> impl Iterator<Item = EndpointHash> {
        self.by_id.values().map(|it| it.hash).filter(|hash| self.is_leaving(*hash))
    }

    /// Removes the marks of endpoints that have long not been published, and of those at whose address
    /// another process answered some time ago.
    pub fn expire_marks(&mut self, now: MonoMs) {
        self.replaced.retain(|_, at| now.ms_since(*at) < Self::REPLACED_KEPT_MS);
        for endpoint in self.by_id.values() {
            if let Some(at) = self.leaving.get_mut(&endpoint.hash) {
                *at = now;
            }
        }
        self.leaving.retain(|_, at| now.ms_since(*at) < Self::LEAVING_KEPT_MS);
    }

    /// Returns an endpoint by its ID.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }

    /// Returns the endpoints that are published at an address.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.iter().filter(move |it| it.address == address)
    }

    /// Returns an endpoint by its hash.
    pub fn by_hash(&self, hash: EndpointHash) -> Option<&Arc<Endpoint>> {
        self.iter().find(|it| it.hash == hash)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    /// Returns the number of published endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Reports whether no endpoint is published.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
