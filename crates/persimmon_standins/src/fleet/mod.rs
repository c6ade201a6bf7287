//! A whole fleet: stand-ins in this process and daemons as child processes.

mod builder;
mod caller;
mod daemons;
mod error;
mod process;
mod stand_in;
mod stream;
mod wait;

use std::collections::BTreeMap;
use std::time::Duration;

use persimmon_records::{EndpointName, Generation, RecordSet};

use crate::engine::Engine;
use crate::platform::Platform;
use crate::service::Service;

pub use builder::{CALLER_KEY, FleetBuilder};
pub use caller::{CallError, Caller, ChatRequest, Failure, Reply};
pub use daemons::Daemons;
pub use error::FleetError;
pub use process::send_signal;
pub use stand_in::StandIn;
pub use stream::{ChatStream, SseEvent, StreamedAnswer};
pub use wait::wait_until;

/// Time in which daemons that start together must all take work.
pub const SERVING_DEADLINE: Duration = Duration::from_secs(15);
/// Time in which an accepted configuration must be in force everywhere.
pub const IN_FORCE_DEADLINE: Duration = Duration::from_secs(5);

/// The key of the value that holds the record set.
pub const RECORDS_KEY: &str = "records";

/// A running fleet. Its processes are killed by id when it is dropped.
///
/// ```no_run
/// use persimmon_standins::Engine;
/// use persimmon_standins::fleet::{ChatRequest, Fleet};
///
/// let fleet = Fleet::builder("persimmonmountd")
///     .with_router("router-1", "zone-a")
///     .with_engine("engine-1", "zone-a", Engine::builder("chat-large"))
///     .start()
///     .unwrap();
/// let caller = fleet.caller("router-1").unwrap();
/// let answer = caller.chat(&ChatRequest::new("chat-large", "hello")).unwrap();
/// assert_eq!(answer.status, 200);
/// fleet.close();
/// ```
#[derive(Debug)]
pub struct Fleet {
    /// The daemons, to signal and to watch.
    pub daemons: Daemons,
    /// The platform, to switch and to count.
    pub platform: Platform,
    engines: BTreeMap<String, Engine>,
    services: BTreeMap<String, Service>,
    records: RecordSet,
    leaving: Vec<String>,
}

impl Fleet {
    /// Builds a fleet whose daemons run `daemon`.
    pub fn builder(daemon: impl Into<std::path::PathBuf>) -> FleetBuilder {
        FleetBuilder::new(daemon)
    }

    /// The engine stand-in `name`.
    ///
    /// # Panics
    /// When no engine has this name.
    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name]
    }

    /// Every engine stand-in with its name.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        self.engines.iter().map(|(name, engine)| (name.as_str(), engine))
    }

    /// The service stand-in `name`.
    ///
    /// # Panics
    /// When no service endpoint has this name.
    pub fn service(&self, name: &str) -> &Service {
        &self.services[name]
    }

    /// Every service stand-in with its name.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services.iter().map(|(name, service)| (name.as_str(), service))
    }

    /// A caller of the router `router` who presents [`CALLER_KEY`].
    ///
    /// # Errors
    /// When no router has this name.
    pub fn caller(&self, router: &str) -> Result<Caller, FleetError> {
        Ok(Caller::new(self.daemons.listen(router)?, CALLER_KEY))
    }

    /// The records that were published last.
    pub fn records(&self) -> &RecordSet {
        &self.records
    }

    /// Publishes `records` as they stand.
    pub fn publish(&mut self, records: RecordSet) {
        self.records = records;
        let text = self.records.to_text();
        self.platform.publish(RECORDS_KEY, text);
    }

    /// Publishes the next generation, with `change` made to the records, and returns it.
    pub fn publish_change(&mut self, change: impl FnOnce(&mut RecordSet)) -> Generation {
        let mut records = self.records.clone();
        records.generation = Generation(records.generation.0 + 1);
        change(&mut records);
        let generation = records.generation;
        self.publish(records);
        generation
    }

    /// Publishes records in which the endpoint `name` drains.
    pub fn publish_drain(&mut self, name: &str) -> Generation {
        let name = EndpointName::from(name);
        self.publish_change(|records| {
            for endpoint in records.endpoints.iter_mut().filter(|one| one.name == name) {
                endpoint.draining = true;
            }
        })
    }

    /// Waits until the published records are in force on every running daemon.
    ///
    /// # Errors
    /// When they aren't within [`IN_FORCE_DEADLINE`].
    pub fn wait_in_force(&self) -> Result<(), FleetError> {
        self.daemons.wait_in_force(self.records.generation.0, IN_FORCE_DEADLINE)
    }

    /// Waits until every running daemon takes work.
    ///
    /// # Errors
    /// When one doesn't within [`SERVING_DEADLINE`].
    pub fn wait_serving(&self) -> Result<(), FleetError> {
        self.daemons.wait_serving(SERVING_DEADLINE)
    }

    /// Lists the VM of the daemon `name` as leaving.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn list_as_leaving(&mut self, name: &str) -> Result<(), FleetError> {
        self.daemons.role_and_zone(name)?;
        self.leaving.push(name.to_owned());
        self.list_vms()
    }

    /// Lists the VM of the daemon `name` as live again.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn list_as_live(&mut self, name: &str) -> Result<(), FleetError> {
        self.daemons.role_and_zone(name)?;
        self.leaving.retain(|leaving| leaving != name);
        self.list_vms()
    }

    /// Publishes the list of VMs.
    fn list_vms(&self) -> Result<(), FleetError> {
        let is_leaving = |name: &str| self.leaving.iter().any(|leaving| leaving == name);
        self.platform.set_vms(self.daemons.vms(is_leaving)?);
        Ok(())
    }

    /// Kills every daemon and ends the stand-ins.
    pub fn close(self) {
        drop(self.daemons);
        self.engines.into_values().for_each(Engine::close);
        self.services.into_values().for_each(Service::close);
        self.platform.close();
    }
}
