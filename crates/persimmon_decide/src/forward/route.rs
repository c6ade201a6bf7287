//! Routes, services and workspaces in force.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Whether a request may be sent to an endpoint again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatable {
    /// It may run any number of times.
    Always,
    /// An event stream that another endpoint may continue after the last event that was delivered.
    FromLastEvent,
    /// It may run once.
    Never,
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the others' sum.
    pub weight: u32,
}

/// Where requests with one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it serves.
    pub host: Arc<str>,
    /// The start of the paths that it serves.
    pub prefix: Arc<str>,
    /// Whether its answers are event streams.
    pub is_stream: bool,
    /// Whether its requests may be repeated.
    pub repeatable: Repeatable,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between events of a stream that is on time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether a caller needs no key.
    pub is_public: bool,
    /// Whether its requests profit from an endpoint that has read their prompt's start before.
    pub has_prompt: bool,
    /// Services that serve it.
    pub services: Vec<ServiceWeight>,
}

impl Route {
    /// The service for a request, by its weight; `draw` is any number.
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

/// A model engine's published figures.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Whether endpoints hand cached prompts to each other.
    pub shares_cache: bool,
}

/// A service that endpoints serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that each endpoint accepts from all gateways together.
    pub max_connections: u32,
    /// Its engine, if it runs models.
    pub engine: Option<EngineSpec>,
}

/// A customer's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// What a caller's key says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerLookup {
    /// The route needs no key, or no workspaces are published.
    Anonymous,
    /// The key's workspace.
    Known(Workspace),
    /// No workspace holds the key.
    Unknown,
}

/// One version of the published routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTable {
    /// Its version.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    services: HashMap<Arc<str>, ServiceSpec>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Workspace>,
    /// The priorities of each service's routes.
    route_priorities: HashMap<Arc<str>, BTreeSet<u8>>,
    /// The priorities of workspaces; none for those that have no priority of their own.
    workspace_priorities: BTreeSet<Option<u8>>,
}

/// Where a request stands among the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// How many ranks are more urgent.
    pub place: usize,
    /// How many ranks there are.
    pub count: usize,
}

impl RouteTable {
    /// A table of these routes and services.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut route_priorities: HashMap<Arc<str>, BTreeSet<u8>> = HashMap::new();
        for route in routes {
            for share in &route.services {
                route_priorities.entry(share.service.clone()).or_default().insert(route.priority);
            }
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        let (keys, workspace_priorities) = (HashMap::new(), BTreeSet::from([None]));
        Self { version, limits, services, by_host, keys, route_priorities, workspace_priorities }
    }

    /// Adds the keys of a workspace.
    #[must_use]
    pub fn with_keys(mut self, workspace: &Workspace, keys: Vec<Arc<str>>) -> Self {
        if self.keys.is_empty() {
            self.workspace_priorities.clear();
        }
        self.workspace_priorities.insert(workspace.priority);
        self.keys.extend(keys.into_iter().map(|key| (key, workspace.clone())));
        self
    }

    /// The route with the longest prefix of `path` on this host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Who a caller is, by its key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> CallerLookup {
        let known = key.and_then(|key| self.keys.get(key));
        match known {
            Some(workspace) => CallerLookup::Known(workspace.clone()),
            None if route.is_public || self.keys.is_empty() => CallerLookup::Anonymous,
            None => CallerLookup::Unknown,
        }
    }

    /// The rank of a request. Its workspace's priority goes before its route's, which decides
    /// between equals.
    pub fn rank(&self, service: &str, workspace: Option<u8>, route: u8) -> Rank {
        let key = |workspace: Option<u8>, route: u8| (workspace.unwrap_or(route), route);
        let routes = self.route_priorities.get(service);
        let keys: BTreeSet<_> = routes
            .into_iter()
            .flatten()
            .flat_map(|route| self.workspace_priorities.iter().map(move |it| key(*it, *route)))
            .collect();
        let own = key(workspace, route);
        Rank { place: keys.iter().filter(|it| **it < own).count(), count: keys.len() }
    }

    /// A service's published figures.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
