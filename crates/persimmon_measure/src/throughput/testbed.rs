//! The fleet of the throughput measurement.

use persimmon_records::{
    Endpoint, EndpointBuilder, Generation, Limits, PerClass, Policy, RecordSet, Serves,
    WorkspaceBuilder,
};
use persimmon_standins::Platform;
use persimmon_standins::fleet::{
    Daemons, FleetError, IN_FORCE_DEADLINE, RECORDS_KEY, SERVING_DEADLINE, StandIn,
};

use super::Shape;
use crate::vms::list_vms;
use crate::{MeasureError, ProcessUsage, Programs};

pub(super) const MODEL: &str = "chat-large";

/// Key of the workspace.
pub(super) const KEY: &str = "wk-measure";

/// Slots of each engine. A sidecar reserves a share of them for quick requests.
const SLOTS: u32 = 48;

/// Resource usage of all processes at one time.
pub(super) struct Usage {
    pub(super) routers: Vec<ProcessUsage>,
    pub(super) sidecars: Vec<ProcessUsage>,
    pub(super) engines: Vec<ProcessUsage>,
    pub(super) own: Vec<ProcessUsage>,
}

/// The running processes and stand-ins.
pub(super) struct Testbed {
    pub(super) daemons: Daemons,
    pub(super) routers: Vec<String>,
    sidecars: Vec<String>,
    engines: Vec<StandIn>,
    platform: Platform,
}

impl Testbed {
    pub(super) fn start(programs: &Programs, shape: Shape) -> Result<Self, MeasureError> {
        let platform = Platform::start()?;
        let mut daemons = Daemons::new(&programs.daemon, platform.address());
        daemons.set_variable("PERSIMMON_LOG", "warn");
        let slots = SLOTS.to_string();
        let args = ["engine", "--model", MODEL, "--slots", &slots, "--queue", "64"];
        let mut testbed = Self {
            daemons,
            routers: Vec::new(),
            sidecars: Vec::new(),
            engines: Vec::new(),
            platform,
        };
        for number in 1..=shape.sidecars {
            let name = format!("engine-{number}");
            let engine = StandIn::start(&name, &programs.stand_in, &args)?;
            testbed.daemons.start_sidecar(&name, "zone-a", engine.address())?;
            testbed.engines.push(engine);
            testbed.sidecars.push(name);
        }
        for number in 1..=shape.routers {
            let name = format!("router-{number}");
            testbed.daemons.start_router(&name, "zone-a")?;
            testbed.routers.push(name);
        }
        list_vms(&testbed.daemons, &testbed.platform)?;
        testbed.platform.publish(RECORDS_KEY, testbed.records()?.to_text());
        testbed.daemons.wait_in_force(1, IN_FORCE_DEADLINE)?;
        testbed.daemons.wait_serving(SERVING_DEADLINE)?;
        Ok(testbed)
    }

    fn records(&self) -> Result<RecordSet, FleetError> {
        let limits = PerClass::all(Limits { requests_per_second: 100_000, in_progress: 10_000 });
        let workspace =
            WorkspaceBuilder::new("measure").with_key(KEY).with_model(MODEL).with_limits(limits);
        let endpoint = |name: &String| -> Result<Endpoint, FleetError> {
            let builder = EndpointBuilder::new(name.as_str(), self.daemons.peer(name)?);
            Ok(builder
                .with_zone("zone-a")
                .with_serves(Serves::Model(MODEL.into()))
                .with_slots(SLOTS)
                .build())
        };
        Ok(RecordSet {
            generation: Generation(1),
            // A high load floor, so that sidecars refuse no stream and streams spread evenly.
            policy: Policy { load_floor: 1_000, ..Policy::default() },
            workspaces: vec![workspace.build()],
            endpoints: self.sidecars.iter().map(endpoint).collect::<Result<_, _>>()?,
            ..RecordSet::empty()
        })
    }

    pub(super) fn usage(&self) -> Result<Usage, MeasureError> {
        let of = |names: &[String]| -> Result<Vec<ProcessUsage>, MeasureError> {
            names.iter().map(|name| ProcessUsage::of(self.daemons.id(name)?)).collect()
        };
        let engines = self.engines.iter().map(|engine| ProcessUsage::of(engine.id()));
        Ok(Usage {
            routers: of(&self.routers)?,
            sidecars: of(&self.sidecars)?,
            engines: engines.collect::<Result<_, _>>()?,
            own: vec![ProcessUsage::of(std::process::id())?],
        })
    }
}
