//! Published routes, services and workspaces.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Whether a request that may have run can be sent to an endpoint again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatable {
    /// A request that may run any number of times.
    Always,
    /// A request for an event stream that another endpoint can continue after the last delivered
    /// event.
    FromLastEvent,
    /// A request that may run only once.
    Never,
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service, relative to the sum of all weights.
    pub weight: u32,
}

/// The handling of requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches.
    pub prefix: Arc<str>,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Whether requests may be repeated.
    pub repeatable: Repeatable,
    /// Maximum time to answer a caller, in milliseconds.
    pub timeout_ms: u64,
    /// Target time for an answer, in milliseconds.
    pub target_ms: u64,
    /// Target for the longest gap between events of a stream, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether requests run faster at an endpoint that has cached their prompt's prefix.
    pub has_prompt: bool,
    /// Services that handle the requests.
    pub services: Vec<ServiceWeight>,
}

impl Route {
    /// Chooses the service for a request by weight; `draw` is a random number.
    pub fn service_for(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.services.first().map(|share| &share.service);
        }
        let mut rest = draw % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Published figures of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Number of requests that the engine runs at once.
    pub slots: u32,
    /// Capacity of the engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Whether endpoints can copy cached prompts from each other.
    pub shares_cache: bool,
}

/// What a cold endpoint of a service bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Requests per second that a cold endpoint takes from all gateways together.
    pub per_s: f64,
    /// Time for which an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
}

/// A service provided by endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections to each endpoint, summed over all gateways.
    pub max_connections: u32,
    /// Model engine of the service, if it runs models.
    pub engine: Option<EngineSpec>,
    /// What its cold endpoints bear; none if they bear as much as others.
    pub cold: Option<ColdTerms>,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Priority of the workspace, which takes precedence over a route's.
    pub priority: Option<u8>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Result of looking up a caller's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerLookup {
    /// An unidentified caller: the route needs no key, or no route does.
    Anonymous,
    /// The workspace that owns the key.
    Known(Workspace),
    /// A missing key, or one that no workspace owns.
    Unknown,
}

/// One version of the published routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the table.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    services: HashMap<Arc<str>, ServiceSpec>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Workspace>,
    /// Whether callers need a key, even if no workspace has one.
    requires_key: bool,
    /// Priorities of each service's routes.
    route_priorities: HashMap<Arc<str>, BTreeSet<u8>>,
    /// Priorities of the workspaces; `None` stands for workspaces without one. Empty without workspaces.
    workspace_priorities: BTreeSet<Option<u8>>,
}

/// Rank of a request among those of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Position of the rank, from 0 for the most urgent.
    pub position: usize,
    /// Number of ranks.
    pub count: usize,
}

impl RouteTable {
    /// Creates a table of these routes and services.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = impl Into<Arc<Route>>>,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut route_priorities: HashMap<Arc<str>, BTreeSet<u8>> = HashMap::new();
        for route in routes.into_iter().map(Into::into) {
            for share in &route.services {
                match route_priorities.get_mut(&share.service) {
                    Some(priorities) => priorities.insert(route.priority),
                    None => {
                        let service = share.service.clone();
                        route_priorities.insert(service, [route.priority].into()).is_none()
                    }
                };
            }
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self {
            version,
            limits,
            services,
            by_host,
            keys: HashMap::new(),
            requires_key: false,
            route_priorities,
            workspace_priorities: BTreeSet::new(),
        }
    }

    /// Refuses callers without a workspace's key, except on routes that need none.
    #[must_use]
    pub fn requiring_key(mut self) -> Self {
        self.requires_key = true;
        self
    }

    /// Requires a key if the table `previous`, which this one replaces, does. Keys that are taken away
    /// never open a route.
    #[must_use]
    pub fn replacing(self, previous: &Self) -> Self {
        if previous.requires_key { self.requiring_key() } else { self }
    }

    /// Adds a workspace and its keys, of which there may be none.
    #[must_use]
    pub fn with_keys(mut self, workspace: &Workspace, keys: Vec<Arc<str>>) -> Self {
        self = self.requiring_key();
        self.workspace_priorities.insert(workspace.priority);
        self.keys.extend(keys.into_iter().map(|key| (key, workspace.clone())));
        self
    }

    /// Returns the longest timeout of all routes, in milliseconds.
    pub fn max_timeout_ms(&self) -> u64 {
        self.by_host.values().flatten().map(|it| it.timeout_ms).max().unwrap_or(0)
    }

    /// Returns the names of the services that are configured or that routes lead to.
    pub fn service_names(&self) -> HashSet<Arc<str>> {
        self.services.keys().chain(self.route_priorities.keys()).cloned().collect()
    }

    /// Returns the route on this host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Identifies a caller by key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> CallerLookup {
        let known = key.and_then(|key| self.keys.get(key));
        match known {
            Some(workspace) => CallerLookup::Known(workspace.clone()),
            None if route.is_public || !self.requires_key => CallerLookup::Anonymous,
            None => CallerLookup::Unknown,
        }
    }

    /// Returns the rank of a request. The workspace's priority comes first; the route's priority
    /// breaks ties.
    pub fn rank(&self, service: &str, workspace: Option<u8>, route: u8) -> Rank {
        let key = |workspace: Option<u8>, route: u8| (workspace.unwrap_or(route), route);
        let routes = self.route_priorities.get(service);
        let no_workspace = self.workspace_priorities.is_empty().then_some(None);
        let workspaces = || self.workspace_priorities.iter().copied().chain(no_workspace);
        let keys: BTreeSet<_> = routes
            .into_iter()
            .flatten()
            .flat_map(|route| workspaces().map(move |it| key(it, *route)))
            .collect();
        let own = key(workspace, route);
        Rank { position: keys.iter().filter(|it| **it < own).count(), count: keys.len() }
    }

    /// Returns what the cold endpoints of each service bear, where that is less than usual.
    pub fn cold_terms(&self) -> impl Iterator<Item = (Arc<str>, ColdTerms)> {
        self.services.iter().filter_map(|(name, spec)| Some((name.clone(), spec.cold?)))
    }

    /// Returns the published figures of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
