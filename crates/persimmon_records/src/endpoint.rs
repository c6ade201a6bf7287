//! Endpoint records, one for each model engine or worker of a plain service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{EndpointName, LenderName, ModelName, ServiceName, UnixMs, ZoneName};

/// Model or plain service that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model engine with this model loaded.
    Model(ModelName),
    /// A worker of this plain service.
    Service(ServiceName),
}

/// Behaviour of an endpoint when it receives an order with an outdated fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint refuses the order.
    Refuses,
    /// The endpoint carries out the order anyway, so its sidecar must not send outdated orders.
    #[default]
    Ignores,
}

/// One endpoint and the terms of its loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The endpoint's name, unique in the set.
    pub name: EndpointName,
    /// The address at which the endpoint's sidecar listens, on TCP for calls and on UDP for
    /// membership digests.
    pub address: SocketAddr,
    /// The availability zone of the endpoint's VM.
    pub zone: ZoneName,
    /// The model or plain service that the endpoint serves.
    pub serves: Serves,
    /// Number of requests that the endpoint runs at the same time.
    pub slots: u32,
    /// The team that lends the endpoint.
    pub lender: LenderName,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether the endpoint authenticates the sender of an order.
    #[serde(default)]
    pub checks_identity: bool,
    /// Whether a call to the endpoint may be run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// The time at which the loan ends. The endpoint admits no new requests from then on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loan_ends_at: Option<UnixMs>,
    /// Whether an operator has asked for the endpoint to be drained.
    #[serde(default)]
    pub draining: bool,
}

/// Builds an [`Endpoint`].
///
/// ```
/// use persimmon_records::{EndpointBuilder, Serves};
///
/// let endpoint = EndpointBuilder::new("engine-1", "127.0.0.1:7000".parse().unwrap())
///     .with_zone("zone-a")
///     .with_serves(Serves::Model("chat-large".into()))
///     .with_slots(8)
///     .build();
/// assert_eq!(endpoint.slots, 8);
/// ```
#[derive(Debug)]
pub struct EndpointBuilder(Endpoint);

impl EndpointBuilder {
    /// Creates a builder for an endpoint with one slot that serves a model named `default`.
    pub fn new(name: impl Into<EndpointName>, address: SocketAddr) -> Self {
        Self(Endpoint {
            name: name.into(),
            address,
            zone: "default".into(),
            serves: Serves::Model("default".into()),
            slots: 1,
            lender: "default".into(),
            fencing: Fencing::default(),
            checks_identity: false,
            repeatable: false,
            loan_ends_at: None,
            draining: false,
        })
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn with_zone(mut self, zone: impl Into<ZoneName>) -> Self {
        self.0.zone = zone.into();
        self
    }

    /// Sets the model or service.
    #[must_use]
    pub fn with_serves(mut self, serves: Serves) -> Self {
        self.0.serves = serves;
        self
    }

    /// Sets how many requests run at the same time.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.0.slots = slots;
        self
    }

    /// Sets the team that lends the endpoint.
    #[must_use]
    pub fn with_lender(mut self, lender: impl Into<LenderName>) -> Self {
        self.0.lender = lender.into();
        self
    }

    /// Sets whether the endpoint refuses orders with an outdated fencing number.
    #[must_use]
    pub fn with_fencing(mut self, fencing: Fencing) -> Self {
        self.0.fencing = fencing;
        self
    }

    /// Sets whether the endpoint authenticates the sender of an order.
    #[must_use]
    pub fn with_checks_identity(mut self, checks_identity: bool) -> Self {
        self.0.checks_identity = checks_identity;
        self
    }

    /// Sets whether calls may be run more than once.
    #[must_use]
    pub fn with_repeatable(mut self, repeatable: bool) -> Self {
        self.0.repeatable = repeatable;
        self
    }

    /// Sets the time at which the loan ends.
    #[must_use]
    pub fn with_loan_ends_at(mut self, at: UnixMs) -> Self {
        self.0.loan_ends_at = Some(at);
        self
    }

    /// Sets whether the endpoint is being drained.
    #[must_use]
    pub fn with_draining(mut self, draining: bool) -> Self {
        self.0.draining = draining;
        self
    }

    /// Returns the endpoint.
    pub fn build(self) -> Endpoint {
        self.0
    }
}
