//! Index of published endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Endpoint, EndpointId, EndpointState};

/// Published endpoints, by ID and by service.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    by_id: BTreeMap<EndpointId, Arc<Endpoint>>,
    by_service: BTreeMap<Arc<str>, Vec<Arc<Endpoint>>>,
}

impl EndpointDirectory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces an endpoint, and returns the replaced one.
    pub fn insert(&mut self, endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        let previous = self.remove(&endpoint.id.clone());
        let endpoint = Arc::new(endpoint);
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        self.by_service.entry(endpoint.service.clone()).or_default().push(endpoint);
        previous
    }

    /// Removes an endpoint and returns it.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Endpoint>> {
        let endpoint = self.by_id.remove(id)?;
        if let Some(peers) = self.by_service.get_mut(&endpoint.service) {
            peers.retain(|peer| peer.id != endpoint.id);
        }
        Some(endpoint)
    }

    /// Returns all endpoints of a service, including draining ones.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.of_service(service).iter().filter(|it| it.state == EndpointState::Ready)
    }

    /// Returns an endpoint by its ID.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
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
