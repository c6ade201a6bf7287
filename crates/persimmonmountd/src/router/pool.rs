//! Connections of one traffic thread to sidecars.

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

/// Time that a sidecar has for its greeting on a new connection.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age from which a kept stamp is renewed before a request, in milliseconds. Sidecars refuse
/// requests whose stamp is much older.
const MAX_STAMP_AGE_MS: u64 = 10_000;
/// Pause before a stamp that has to be newer than a refusal; stamps count milliseconds.
const NEW_STAMP_DELAY: Duration = Duration::from_millis(2);
/// Time without use after which a connection isn't used again, in milliseconds.
const MAX_IDLE_MS: u64 = 30_000;
/// Connections that one traffic thread keeps.
const MAX_CONNECTIONS: usize = 4_096;

/// Why no connection could be had. Nothing of any request was sent.
#[derive(Debug, Error)]
pub(crate) enum PoolError {
    /// The connection or its handshake failed.
    #[error("{0}")]
    Dial(#[from] HandshakeError),
    /// The greeting failed.
    #[error("the sidecar's greeting failed ({0}); another endpoint is tried")]
    Greeting(#[from] capnp::Error),
    /// The greeting didn't come in time.
    #[error("the sidecar's greeting didn't come in time; another endpoint is tried")]
    GreetingTimeout,
    /// Another endpoint answers at the address.
    #[error("{found} answers at the address of {expected}; publish the endpoint's new address")]
    OtherEndpoint {
        /// The endpoint that was meant.
        expected: EndpointName,
        /// The endpoint that answers.
        found: String,
    },
}

/// A connection to a sidecar.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) sidecar: sidecar::Client,
    /// The newest stamp that is known of the sidecar.
    pub(crate) stamp: Stamp,
    /// When the stamp was obtained, by this router's clock.
    stamped_at: MonoMs,
    /// Whether the connection was used before and may have gone silent since.
    pub(crate) is_reused: bool,
    connection: Connection,
    address: SocketAddr,
    used_at: MonoMs,
    uses: Rc<()>,
}

/// Keeps a connection open while an answer comes over it.
#[derive(Debug, Clone)]
pub(crate) struct LinkGuard {
    _uses: Rc<()>,
}

impl Link {
    /// Keeps the connection open until the value is dropped.
    pub(crate) fn keep_open(&self) -> LinkGuard {
        LinkGuard { _uses: self.uses.clone() }
    }

    /// Whether nothing holds the connection but the pool.
    fn is_unused(&self) -> bool {
        Rc::strong_count(&self.uses) == 1
    }

    /// The same connection, for a request that was sent with another stamp.
    #[must_use]
    pub(crate) fn with_stamp(mut self, stamp: Stamp) -> Self {
        self.stamp = stamp;
        self
    }

    /// Ends once the connection has gone silent. The sidecar answers a greeting at once, whatever
    /// else it is asked on the connection.
    pub(crate) async fn wait_until_silent(&self) {
        let limits = HeartbeatLimits::default();
        let silent = Duration::from_millis(limits.silent_ms);
        loop {
            let greeting = self.connection.node.sidecar_request().send().promise;
            if !matches!(timeout(silent, greeting).await, Ok(Ok(_))) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(limits.interval_ms)).await;
        }
    }
}

/// The connections of one traffic thread.
pub(crate) struct Pool {
    key: FleetKey,
    clock: Clock,
    links: RefCell<HashMap<EndpointName, Link>>,
    /// Connections that take no new requests and are closed once nothing comes over them.
    retired: RefCell<Vec<Link>>,
}

impl Pool {
    /// An empty pool.
    pub(crate) fn new(key: FleetKey, clock: Clock) -> Self {
        let links = RefCell::new(HashMap::new());
        Self { key, clock, links, retired: RefCell::new(Vec::new()) }
    }

    /// A connection to an endpoint, an open one if there is one.
    ///
    /// # Errors
    ///
    /// No connection could be had.
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

    /// The connection that is kept for an endpoint, if it may still be used.
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

    /// A new connection to an endpoint, which takes the place of the one kept.
    ///
    /// # Errors
    ///
    /// No connection could be had.
    pub(crate) async fn new_link(&self, endpoint: &PlannedEndpoint) -> Result<Link, PoolError> {
        let connection = dial(endpoint.address, &self.key).await?;
        let greeting = timeout(GREETING_TIMEOUT, connection.node.sidecar_request().send().promise);
        let greeting = greeting.await.map_err(|_| PoolError::GreetingTimeout)??;
        let greeting = greeting.get()?;
        let found = greeting.get_name()?.to_str().unwrap_or_default();
        if found != endpoint.name.as_str() {
            let (expected, found) = (endpoint.name.clone(), found.to_owned());
            connection.close();
            return Err(PoolError::OtherEndpoint { expected, found });
        }
        let link = Link {
            sidecar: greeting.get_sidecar()?,
            stamp: read_stamp(greeting.get_stamp()?),
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

    /// A connection to an endpoint with a stamp that is newer than any refusal that this thread
    /// has seen of it, so that a request which it refused can be offered to it again.
    ///
    /// # Errors
    ///
    /// No connection could be had.
    pub(crate) async fn link_with_new_stamp(
        &self,
        endpoint: &PlannedEndpoint,
    ) -> Result<Link, PoolError> {
        let link = self.link(endpoint).await?;
        tokio::time::sleep(NEW_STAMP_DELAY).await;
        self.renew_stamp(endpoint, link).await
    }

    /// Obtains a new stamp over an open connection, which also shows that it works.
    async fn renew_stamp(&self, endpoint: &PlannedEndpoint, link: Link) -> Result<Link, PoolError> {
        let greeting =
            timeout(GREETING_TIMEOUT, link.connection.node.sidecar_request().send().promise);
        let greeting = greeting.await.map_err(|_| PoolError::GreetingTimeout)??;
        let stamp = read_stamp(greeting.get()?.get_stamp()?);
        self.record_stamp(&endpoint.name, stamp);
        Ok(Link { stamp, is_reused: false, ..link })
    }

    /// Notes a newer stamp of a sidecar.
    pub(crate) fn record_stamp(&self, name: &EndpointName, stamp: Stamp) {
        if let Some(link) = self.links.borrow_mut().get_mut(name)
            && link.stamp.incarnation == stamp.incarnation
        {
            link.stamp = stamp;
            link.stamped_at = self.clock.now();
        }
    }

    /// Stops using a connection for new requests. Those in progress on it go on.
    pub(crate) fn discard(&self, name: &EndpointName) {
        let discarded = self.links.borrow_mut().remove(name);
        self.retired.borrow_mut().extend(discarded);
    }

    /// Closes connections that have been idle for too long, and retired ones that nothing uses.
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
