//! Builder of a fleet: its routers, engines, services, workspaces and policy.

use std::collections::BTreeMap;
use std::path::PathBuf;

use persimmon_records::{
    Endpoint, EndpointBuilder, Generation, Policy, RecordSet, Serves, Workspace, WorkspaceBuilder,
};

use super::{Daemons, Fleet, FleetError};
use crate::engine::EngineBuilder;
use crate::platform::{Platform, PlatformBuilder};
use crate::service::Service;

/// Key of the default workspace, which a fleet has if the test adds none.
pub const CALLER_KEY: &str = "wk-for-tests-only";

/// Maximum number of concurrent calls per service endpoint.
const SERVICE_SLOTS: u32 = 16;

/// Name and availability zone of a daemon.
#[derive(Debug)]
struct DaemonSpec {
    name: String,
    zone: String,
}

#[derive(Debug)]
struct EngineSpec {
    daemon: DaemonSpec,
    engine: EngineBuilder,
}

#[derive(Debug)]
struct ServiceSpec {
    daemon: DaemonSpec,
    service: String,
}

/// Builds a [`Fleet`].
#[derive(Debug)]
pub struct FleetBuilder {
    daemon: PathBuf,
    platform: PlatformBuilder,
    routers: Vec<DaemonSpec>,
    engines: Vec<EngineSpec>,
    services: Vec<ServiceSpec>,
    /// Operation that crashes the workers of services.
    crash_operation: Option<String>,
    workspaces: Vec<Workspace>,
    policy: Policy,
    variables: Vec<(String, String)>,
}

impl FleetBuilder {
    pub(super) fn new(daemon: impl Into<PathBuf>) -> Self {
        Self {
            daemon: daemon.into(),
            platform: Platform::builder(),
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            crash_operation: None,
            workspaces: Vec::new(),
            policy: Policy::default(),
            variables: Vec::new(),
        }
    }

    /// Sets the platform stand-in.
    #[must_use]
    pub fn with_platform(mut self, platform: PlatformBuilder) -> Self {
        self.platform = platform;
        self
    }

    /// Adds a router.
    #[must_use]
    pub fn with_router(mut self, name: &str, zone: &str) -> Self {
        self.routers.push(DaemonSpec::new(name, zone));
        self
    }

    /// Adds an engine and its sidecar.
    #[must_use]
    pub fn with_engine(mut self, name: &str, zone: &str, engine: EngineBuilder) -> Self {
        self.engines.push(EngineSpec { daemon: DaemonSpec::new(name, zone), engine });
        self
    }

    /// Adds a worker of the plain service `service` and its sidecar.
    #[must_use]
    pub fn with_service(mut self, name: &str, zone: &str, service: &str) -> Self {
        self.services
            .push(ServiceSpec { daemon: DaemonSpec::new(name, zone), service: service.to_owned() });
        self
    }

    /// Sets an operation that crashes each worker of a service that runs it.
    #[must_use]
    pub fn with_crash_operation(mut self, operation: &str) -> Self {
        self.crash_operation = Some(operation.to_owned());
        self
    }

    /// Adds a workspace. The default one, which may use every model and service, is then left out.
    #[must_use]
    pub fn with_workspace(mut self, workspace: Workspace) -> Self {
        self.workspaces.push(workspace);
        self
    }

    /// Sets the fleet's policy.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets an environment variable for all daemons.
    #[must_use]
    pub fn with_variable(mut self, name: &str, value: &str) -> Self {
        self.variables.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Starts the stand-ins and daemons, publishes the records and waits until every daemon applies
    /// them and is ready to serve requests.
    ///
    /// # Errors
    /// Returns an error if a stand-in or daemon can't be started, or if a daemon doesn't apply the
    /// records or become ready in time.
    pub fn start(self) -> Result<Fleet, FleetError> {
        let workspaces = self.workspaces_or_default();
        let platform = self.platform.start()?;
        let mut daemons = Daemons::new(self.daemon, platform.address());
        for (name, value) in &self.variables {
            daemons.set_variable(name, value);
        }
        let mut started = StartedDaemons { daemons, endpoints: Vec::new() };
        let mut engines = BTreeMap::new();
        for EngineSpec { daemon, engine } in self.engines {
            let (model, slots) = (engine.model(), engine.slots());
            let engine = engine.start()?;
            started.daemons.start_sidecar(&daemon.name, &daemon.zone, engine.address())?;
            started.add_endpoint(&daemon, Serves::Model(model.as_str().into()), slots)?;
            engines.insert(daemon.name, engine);
        }
        let mut services = BTreeMap::new();
        for ServiceSpec { daemon, service } in self.services {
            let worker = Service::start_crashing_on(self.crash_operation.clone())?;
            started.daemons.start_sidecar(&daemon.name, &daemon.zone, worker.address())?;
            let serves = Serves::Service(service.as_str().into());
            started.add_endpoint(&daemon, serves, SERVICE_SLOTS)?;
            services.insert(daemon.name, worker);
        }
        for daemon in &self.routers {
            started.daemons.start_router(&daemon.name, &daemon.zone)?;
        }
        let records = RecordSet {
            generation: Generation(1),
            policy: self.policy,
            workspaces,
            endpoints: started.endpoints,
            ..RecordSet::empty()
        };
        let daemons = started.daemons;
        let leaving = Vec::new();
        let mut fleet =
            Fleet { daemons, platform, engines, services, records: RecordSet::empty(), leaving };
        fleet.publish_vms()?;
        fleet.publish(records);
        fleet.wait_in_force()?;
        fleet.wait_serving()?;
        Ok(fleet)
    }

    /// Returns the configured workspaces, or one that may use every model and service.
    fn workspaces_or_default(&self) -> Vec<Workspace> {
        if !self.workspaces.is_empty() {
            return self.workspaces.clone();
        }
        let mut workspace = WorkspaceBuilder::new("swap-desk").with_key(CALLER_KEY);
        let mut models: Vec<String> = self.engines.iter().map(|spec| spec.engine.model()).collect();
        models.sort();
        models.dedup();
        for model in &models {
            workspace = workspace.with_model(model.as_str());
        }
        let mut services: Vec<&str> =
            self.services.iter().map(|spec| spec.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            workspace = workspace.with_service(service);
        }
        vec![workspace.build()]
    }
}

/// The daemons that have been started and the records of their endpoints.
struct StartedDaemons {
    daemons: Daemons,
    endpoints: Vec<Endpoint>,
}

impl StartedDaemons {
    fn add_endpoint(
        &mut self,
        daemon: &DaemonSpec,
        serves: Serves,
        slots: u32,
    ) -> Result<(), FleetError> {
        let address = self.daemons.peer(&daemon.name)?;
        let endpoint = EndpointBuilder::new(daemon.name.as_str(), address)
            .with_zone(daemon.zone.as_str())
            .with_serves(serves)
            .with_slots(slots)
            .build();
        self.endpoints.push(endpoint);
        Ok(())
    }
}

impl DaemonSpec {
    fn new(name: &str, zone: &str) -> Self {
        Self { name: name.to_owned(), zone: zone.to_owned() }
    }
}
