//! Processes that the demo starts.

use std::collections::BTreeMap;
use std::error::Error;

use persimmon_records::{
    EndpointBuilder, Generation, RecordSet, Serves, Workspace, WorkspaceBuilder,
};
use persimmon_standins::fleet::{
    Caller, Daemons, FleetError, IN_FORCE_DEADLINE, SERVING_DEADLINE, StandIn,
};
use persimmon_standins::{EngineCounts, ServiceCounts};

use crate::programs::Programs;

/// Model that every engine has loaded.
pub(crate) const MODEL: &str = "chat-large";

/// Name of the plain service.
pub(crate) const SERVICE: &str = "booking";

/// Key of the demo's workspace.
pub(crate) const WORKSPACE_KEY: &str = "wk-demo";

/// Number of requests that an engine runs concurrently.
const ENGINE_SLOTS: u32 = 8;

/// Number of concurrent calls per worker of the service.
const SERVICE_SLOTS: u32 = 16;

const ROUTERS: [(&str, &str); 2] = [("router-1", "zone-a"), ("router-2", "zone-b")];
const ENGINES: [(&str, &str); 3] =
    [("engine-1", "zone-a"), ("engine-2", "zone-b"), ("engine-3", "zone-c")];
const SERVICES: [(&str, &str); 2] = [("booking-1", "zone-a"), ("booking-2", "zone-b")];

const PLATFORM_ARGS: [&str; 3] = ["platform", "--vm-lag-ms", "500"];
const ENGINE_ARGS: [&str; 15] = [
    "engine",
    "--model",
    MODEL,
    "--slots",
    "8",
    "--token-interval-ms",
    "10",
    "--prefill-us",
    "200",
    "--load-lag-ms",
    "100",
    "--event-delay-ms",
    "200",
    "--lost-event-interval",
    "7",
];

/// The processes of the demo. Dropping this kills them by id.
#[derive(Debug)]
pub(crate) struct DemoFleet {
    pub(crate) daemons: Daemons,
    platform: StandIn,
    engines: BTreeMap<String, StandIn>,
    services: BTreeMap<String, StandIn>,
}

impl DemoFleet {
    /// Starts every process, publishes the records and waits until every daemon applies them and is
    /// ready to serve requests.
    pub(crate) fn start(programs: &Programs) -> Result<Self, Box<dyn Error>> {
        let stand_in = |name: &str, args: &[&str]| StandIn::start(name, &programs.stand_in, args);
        let platform = stand_in("platform", &PLATFORM_ARGS)?;
        let mut daemons = Daemons::new(&programs.daemon, platform.address());
        let mut engines = BTreeMap::new();
        for (name, zone) in ENGINES {
            let engine = stand_in(name, &ENGINE_ARGS)?;
            daemons.start_sidecar(name, zone, engine.address())?;
            engines.insert(name.to_owned(), engine);
        }
        let mut services = BTreeMap::new();
        for (name, zone) in SERVICES {
            let service = stand_in(name, &["service"])?;
            daemons.start_sidecar(name, zone, service.address())?;
            services.insert(name.to_owned(), service);
        }
        for (name, zone) in ROUTERS {
            daemons.start_router(name, zone)?;
        }
        let fleet = Self { daemons, platform, engines, services };
        fleet.publish_vms(None)?;
        fleet.platform.put("/v1/values/records", &fleet.records()?.to_text())?;
        fleet.daemons.wait_in_force(1, IN_FORCE_DEADLINE)?;
        fleet.daemons.wait_serving(SERVING_DEADLINE)?;
        Ok(fleet)
    }

    /// Returns a caller that sends requests to the router `name`.
    pub(crate) fn caller(&self, name: &str) -> Result<Caller, FleetError> {
        Ok(Caller::new(self.daemons.listen(name)?, WORKSPACE_KEY))
    }

    /// Reads the counts of each engine.
    pub(crate) fn engine_counts(&self) -> Result<BTreeMap<String, EngineCounts>, FleetError> {
        self.engines.iter().map(|(name, engine)| Ok((name.clone(), engine.counts()?))).collect()
    }

    /// Returns the name of the engine that ran this request.
    pub(crate) fn engine_of(&self, request_id: &str) -> Result<String, Box<dyn Error>> {
        let counts = self.engine_counts()?;
        let ran = counts.into_iter().find(|(_, counts)| counts.runs.contains_key(request_id));
        Ok(ran.ok_or_else(|| format!("no engine ran the request {request_id}"))?.0)
    }

    /// Returns the total number of runs on all workers of the service.
    pub(crate) fn service_runs(&self) -> Result<u64, FleetError> {
        let runs = |service: &StandIn| {
            Ok::<u64, FleetError>(service.counts::<ServiceCounts>()?.runs.into_values().sum())
        };
        self.services.values().map(runs).sum()
    }

    /// Publishes the list of VMs, with the VM of the daemon `leaving` listed as leaving.
    pub(crate) fn publish_vms(&self, leaving: Option<&str>) -> Result<(), Box<dyn Error>> {
        let vms = self.daemons.vms(|name| leaving == Some(name))?;
        Ok(self.platform.put("/v1/vms", &serde_json::to_string(&vms)?)?)
    }

    /// Restarts the daemons that the steps have stopped and lists all VMs as live.
    pub(crate) fn restart_stopped(&mut self) -> Result<(), Box<dyn Error>> {
        self.publish_vms(None)?;
        for name in self.daemons.names() {
            if self.daemons.id(&name).is_err() {
                self.daemons.restart(&name)?;
            }
        }
        Ok(self.daemons.wait_in_force(1, IN_FORCE_DEADLINE)?)
    }

    /// Prints curl commands for callers and operators.
    pub(crate) fn print_curl_lines(&self) -> Result<(), FleetError> {
        let [first, second] = [self.daemons.listen("router-1")?, self.daemons.listen("router-2")?];
        let key = format!("-H 'Authorization: Bearer {WORKSPACE_KEY}'");
        let chat = format!(
            r#"{{"model":"{MODEL}","stream":true,"max_tokens":32,"messages":[{{"role":"user","content":"hello"}}]}}"#
        );
        let book = r#"{"operation":"book","body":{"week":15}}"#;
        println!("The fleet runs until Ctrl-C. Commands to try:\n");
        println!("curl -N http://{first}/v1/chat/completions {key} -d '{chat}'");
        println!("curl http://{first}/v1/models {key}");
        println!(
            "CLAIM=$(curl -s -X POST http://{first}/v1/services/{SERVICE}/claims {key} \
             -H 'Idempotency-Key: week-15' | sed -E 's/.*\"claim\":\"([^\"]*)\".*/\\1/')"
        );
        for router in [first, second] {
            println!(
                "curl http://{router}/v1/services/{SERVICE}/calls {key} \
                 -H \"Persimmon-Claim: $CLAIM\" -d '{book}'"
            );
        }
        for name in self.daemons.names() {
            println!("curl http://{}/status  # {name}", self.daemons.ops(&name)?);
        }
        Ok(())
    }

    fn records(&self) -> Result<RecordSet, FleetError> {
        let mut endpoints = Vec::new();
        for (name, zone) in ENGINES {
            let serves = Serves::Model(MODEL.into());
            endpoints.push(self.endpoint(name, zone, serves, ENGINE_SLOTS)?);
        }
        for (name, zone) in SERVICES {
            let serves = Serves::Service(SERVICE.into());
            endpoints.push(self.endpoint(name, zone, serves, SERVICE_SLOTS)?);
        }
        let workspaces = vec![workspace()];
        Ok(RecordSet { generation: Generation(1), workspaces, endpoints, ..RecordSet::empty() })
    }

    fn endpoint(
        &self,
        name: &str,
        zone: &str,
        serves: Serves,
        slots: u32,
    ) -> Result<persimmon_records::Endpoint, FleetError> {
        let builder = EndpointBuilder::new(name, self.daemons.peer(name)?).with_zone(zone);
        Ok(builder.with_serves(serves).with_slots(slots).with_lender("demo").build())
    }
}

fn workspace() -> Workspace {
    WorkspaceBuilder::new("swap-desk")
        .with_key(WORKSPACE_KEY)
        .with_model(MODEL)
        .with_service(SERVICE)
        .build()
}
