//! The pool of connections from one traffic thread to sidecars.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use persimmon_decide::MonoMs;
use persimmon_decide::outcome::{HeartbeatLimits, Stamp};
use persimmon_records::EndpointName;
use persimmon_wire::fleet_capnp::sidecar;
use persimmon_wire::{Connection, FleetKey, HandshakeError, dial, read_stamp};
use thiserror::Error;
use tokio::time::{Duration, timeout};

use super::command::PlannedEndpoint;
use crate::common::Clock;

/// Timeout for an identification request, to which a sidecar replies with its name, its stamp and
/// its RPC client.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age at which a stamp is renewed before it is sent with another request, in milliseconds.
/// Sidecars refuse requests with much older stamps.
const MAX_STAMP_AGE_MS: u64 = 10_000;
/// Delay before requesting a stamp that must be newer than a refusal. It exceeds the resolution of
/// stamps, which is one millisecond.
const NEW_STAMP_DELAY: Duration = Duration::from_millis(2);
/// Idle time after which a connection is no longer reused, in milliseconds.
const MAX_IDLE_MS: u64 = 30_000;
/// Maximum number of pooled connections per traffic thread.
const MAX_CONNECTIONS: usize = 4_096;

/// The reason why no connection is available. No part of a request was sent.
#[derive(Debug, Error)]
pub(crate) enum PoolError {
    /// The connection or its handshake failed.
    #[error("{0}")]
    Dial(#[from] HandshakeError),
    /// The identification request failed.
    #[error("the sidecar's identification failed ({0}); trying another endpoint")]
    Identification(#[from] capnp::Error),
    /// The sidecar didn't reply to the identification request within the timeout.
    #[error("the sidecar's identification timed out; trying another endpoint")]
    IdentificationTimeout,
    /// Another endpoint listens at the address.
    #[error("{found} listens at the address of {expected}; publish the endpoint's new address")]
    OtherEndpoint {
        /// The endpoint to which the router connects.
        expected: EndpointName,
        /// The endpoint that listens at the address.
        found: String,
    },
}

/// A connection to a sidecar.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) sidecar: sidecar::Client,
    /// The newest known stamp of the sidecar.
    pub(crate) stamp: Stamp,
    /// The time at which the stamp was obtained, by this router's clock.
    stamped_at: MonoMs,
    /// Whether the connection was used before, and may have been lost while it was idle.
    pub(crate) is_reused: bool,
    connection: Connection,
    address: SocketAddr,
    used_at: MonoMs,
    uses: Rc<()>,
}

/// Guard that keeps a connection open while it carries an answer.
#[derive(Debug, Clone)]
pub(crate) struct LinkGuard {
    _uses: Rc<()>,
}

impl Link {
    /// Returns a guard that keeps the connection open until it is dropped.
    pub(crate) fn keep_open(&self) -> LinkGuard {
        LinkGuard { _uses: self.uses.clone() }
    }

    /// Reports whether no guard keeps the connection open.
    fn is_unused(&self) -> bool {
        Rc::strong_count(&self.uses) == 1
    }

    /// Replaces the stamp with the one that an earlier request was sent with.
    #[must_use]
    pub(crate) fn with_stamp(mut self, stamp: Stamp) -> Self {
        self.stamp = stamp;
        self
    }

    /// Waits until the connection is silent. Probes it with identification requests, to which the
    /// sidecar replies immediately even while other calls on the connection are in progress.
    pub(crate) async fn wait_until_silent(&self) {
        let limits = HeartbeatLimits::default();
        let silent = Duration::from_millis(limits.silent_ms);
        loop {
            let identity = self.connection.node.sidecar_request().send().promise;
            if !matches!(timeout(silent, identity).await, Ok(Ok(_))) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(limits.interval_ms)).await;
        }
    }
}

/// The pool of connections of one traffic thread.
pub(crate) struct Pool {
    key: FleetKey,
    clock: Clock,
    links: RefCell<HashMap<EndpointName, Link>>,
    /// Connections that accept no new requests and are closed once no guard keeps them open.
    retired: RefCell<Vec<Link>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(key: FleetKey, clock: Clock) -> Self {
        let links = RefCell::new(HashMap::new());
        Self { key, clock, links, retired: RefCell::new(Vec::new()) }
    }

    /// Returns a connection to an endpoint: the pooled one if it is usable, else a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub(crate) async fn link(&self, endpoint: &PlannedEndpoint) -> Result<Link, PoolError> {
        let now = self.clock.now();
        let Some(link) = self.open_link(endpoint, now) else {
            return self.new_link(endpoint).await;
        };
        if now.ms_since(link.stamped_at) < MAX_STAMP_AGE_MS {
            return Ok(link);
        }
        match self.renew_stamp(endpoint, link).await {
            Ok(link) => Ok(link),
            Err(_) => self.new_link(endpoint).await,
        }
    }

    /// Returns the pooled connection to an endpoint if it is usable.
    fn open_link(&self, endpoint: &PlannedEndpoint, now: MonoMs) -> Option<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(&endpoint.name)?;
        let is_usable = !link.connection.is_closed()
            && link.address == endpoint.address
            && now.ms_since(link.used_at) < MAX_IDLE_MS;
        if !is_usable {
            return None;
        }
        link.used_at = now;
        Some(Link { is_reused: true, ..link.clone() })
    }

    /// Opens a new connection to an endpoint, which replaces the pooled one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub(crate) async fn new_link(&self, endpoint: &PlannedEndpoint) -> Result<Link, PoolError> {
        let connection = dial(endpoint.address, &self.key).await?;
        let identity =
            timeout(IDENTIFICATION_TIMEOUT, connection.node.sidecar_request().send().promise);
        let identity = identity.await.map_err(|_| PoolError::IdentificationTimeout)??;
        let identity = identity.get()?;
        let found = identity.get_name()?.to_str().unwrap_or_default();
        if found != endpoint.name.as_str() {
            let (expected, found) = (endpoint.name.clone(), found.to_owned());
            connection.close();
            return Err(PoolError::OtherEndpoint { expected, found });
        }
        let link = Link {
            sidecar: identity.get_sidecar()?,
            stamp: read_stamp(identity.get_stamp()?),
            stamped_at: self.clock.now(),
            is_reused: false,
            connection,
            address: endpoint.address,
            used_at: self.clock.now(),
            uses: Rc::new(()),
        };
        self.insert(endpoint.name.clone(), link.clone());
        Ok(link)
    }

    /// Returns a connection to an endpoint with a stamp that is newer than any refusal that this
    /// thread has received from it, so that a refused request can be offered to it again.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub(crate) async fn link_with_new_stamp(
        &self,
        endpoint: &PlannedEndpoint,
    ) -> Result<Link, PoolError> {
        let link = self.link(endpoint).await?;
        tokio::time::sleep(NEW_STAMP_DELAY).await;
        self.renew_stamp(endpoint, link).await
    }

    /// Obtains a new stamp over an open connection, which also confirms that the connection works.
    async fn renew_stamp(&self, endpoint: &PlannedEndpoint, link: Link) -> Result<Link, PoolError> {
        let identity =
            timeout(IDENTIFICATION_TIMEOUT, link.connection.node.sidecar_request().send().promise);
        let identity = identity.await.map_err(|_| PoolError::IdentificationTimeout)??;
        let stamp = read_stamp(identity.get()?.get_stamp()?);
        self.update_stamp(&endpoint.name, stamp);
        Ok(Link { stamp, is_reused: false, ..link })
    }

    /// Updates the stamp of the pooled connection, unless it belongs to another incarnation of the
    /// sidecar.
    pub(crate) fn update_stamp(&self, name: &EndpointName, stamp: Stamp) {
        if let Some(link) = self.links.borrow_mut().get_mut(name)
            && link.stamp.incarnation == stamp.incarnation
        {
            link.stamp = stamp;
            link.stamped_at = self.clock.now();
        }
    }

    /// Retires a connection: it is no longer used for new requests, while those in progress on it
    /// continue.
    pub(crate) fn discard(&self, name: &EndpointName) {
        let discarded = self.links.borrow_mut().remove(name);
        self.retired.borrow_mut().extend(discarded);
    }

    /// Retires connections that have been idle for [`MAX_IDLE_MS`], and closes unused retired ones.
    pub(crate) fn close_idle(&self) {
        let now = self.clock.now();
        let is_idle = |link: &Link| now.ms_since(link.used_at) >= MAX_IDLE_MS;
        let mut links = self.links.borrow_mut();
        let idle: Vec<_> =
            links.extract_if(|_, link| is_idle(link)).map(|(_, link)| link).collect();
        let mut retired = self.retired.borrow_mut();
        retired.extend(idle);
        for link in retired.extract_if(.., |link| link.is_unused()) {
            link.connection.close();
        }
    }

    /// Adds a connection and retires the one that it replaces. A full pool first retires its idle
    /// connections; if it remains full, the connection isn't pooled.
    fn insert(&self, name: EndpointName, link: Link) {
        let mut links = self.links.borrow_mut();
        if links.len() >= MAX_CONNECTIONS {
            let now = self.clock.now();
            let is_idle = |link: &Link| now.ms_since(link.used_at) >= MAX_IDLE_MS;
            let idle = links.extract_if(|_, link| is_idle(link)).map(|(_, link)| link);
            self.retired.borrow_mut().extend(idle);
        }
        if links.len() < MAX_CONNECTIONS {
            let replaced = links.insert(name, link);
            self.retired.borrow_mut().extend(replaced);
        }
    }
}
