//! Workspace records, one for each customer.

use serde::{Deserialize, Serialize};

use crate::{
    Class, Endpoint, EndpointName, KeyDigest, ModelName, PerClass, Serves, ServiceName, UnixMs,
    WorkspaceName,
};

/// Limits on a workspace's requests over the whole fleet, for one class or for all together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests per second.
    pub requests_per_second: u32,
    /// Maximum number of requests that run or wait at the same time.
    pub in_progress: u32,
}

impl Limits {
    /// Reports whether the limits admit no requests at all.
    pub fn is_closed(&self) -> bool {
        self.requests_per_second == 0 || self.in_progress == 0
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { requests_per_second: 100, in_progress: 64 }
    }
}

/// One workspace: its callers' keys, the models and services they may use, and its expiry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name, unique in the set.
    pub name: WorkspaceName,
    /// Digests of the keys that callers may present.
    pub key_digests: Vec<KeyDigest>,
    /// Models that the workspace may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Plain services that the workspace may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The only endpoints that the workspace may use; every endpoint if empty.
    #[serde(default)]
    pub endpoints: Vec<EndpointName>,
    /// Limits for each class.
    #[serde(default)]
    pub limits: PerClass<Limits>,
    /// Limits on all classes together, in addition to those for each class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub total_limits: Option<Limits>,
    /// The class of requests that don't specify one.
    #[serde(default)]
    pub default_class: Class,
    /// The time from which the workspace's callers are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<UnixMs>,
}

impl Workspace {
    /// Reports whether the workspace may send requests to `endpoint`, judging by both the
    /// endpoint's name and the model or service that it serves.
    pub fn may_use(&self, endpoint: &Endpoint) -> bool {
        let is_served = match &endpoint.serves {
            Serves::Model(model) => self.models.contains(model),
            Serves::Service(service) => self.services.contains(service),
        };
        is_served && (self.endpoints.is_empty() || self.endpoints.contains(&endpoint.name))
    }
}

/// Builds a [`Workspace`].
///
/// ```
/// use persimmon_records::WorkspaceBuilder;
///
/// let workspace = WorkspaceBuilder::new("swap-desk")
///     .with_key("wk-example")
///     .with_model("chat-large")
///     .build();
/// assert_eq!(workspace.models.len(), 1);
/// ```
#[derive(Debug)]
pub struct WorkspaceBuilder(Workspace);

impl WorkspaceBuilder {
    /// Creates a builder for a workspace without keys, models or services.
    pub fn new(name: impl Into<WorkspaceName>) -> Self {
        Self(Workspace {
            name: name.into(),
            key_digests: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
            endpoints: Vec::new(),
            limits: PerClass::default(),
            total_limits: None,
            default_class: Class::default(),
            expires_at: None,
        })
    }

    /// Adds the digest of `key`.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.0.key_digests.push(KeyDigest::of_key(key));
        self
    }

    /// Adds a model.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<ModelName>) -> Self {
        self.0.models.push(model.into());
        self
    }

    /// Adds a plain service.
    #[must_use]
    pub fn with_service(mut self, service: impl Into<ServiceName>) -> Self {
        self.0.services.push(service.into());
        self
    }

    /// Restricts the workspace to this endpoint and any others added by this method.
    #[must_use]
    pub fn with_endpoint(mut self, endpoint: impl Into<EndpointName>) -> Self {
        self.0.endpoints.push(endpoint.into());
        self
    }

    /// Sets the limits of every class.
    #[must_use]
    pub fn with_limits(mut self, limits: PerClass<Limits>) -> Self {
        self.0.limits = limits;
        self
    }

    /// Sets the limits of all classes together.
    #[must_use]
    pub fn with_total_limits(mut self, limits: Limits) -> Self {
        self.0.total_limits = Some(limits);
        self
    }

    /// Sets the class of requests that don't specify one.
    #[must_use]
    pub fn with_default_class(mut self, class: Class) -> Self {
        self.0.default_class = class;
        self
    }

    /// Sets the time from which callers are refused.
    #[must_use]
    pub fn with_expires_at(mut self, at: UnixMs) -> Self {
        self.0.expires_at = Some(at);
        self
    }

    /// Returns the workspace.
    pub fn build(self) -> Workspace {
        self.0
    }
}
