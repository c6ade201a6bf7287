//! A complete fleet under test: stand-ins in this process and daemons as child processes.

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

/// Time within which daemons that start together must all be ready to serve requests.
pub const SERVING_DEADLINE: Duration = Duration::from_secs(15);
/// Time within which every daemon must apply an accepted configuration.
pub const IN_FORCE_DEADLINE: Duration = Duration::from_secs(5);

/// Key under which the platform publishes the record set.
pub const RECORDS_KEY: &str = "records";

/// A running fleet. Dropping it kills its processes by id.
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
    /// The daemons, which a test can signal and inspect.
    pub daemons: Daemons,
    /// The platform, whose behaviour a test can switch and whose counts it can read.
    pub platform: Platform,
    engines: BTreeMap<String, Engine>,
    services: BTreeMap<String, Service>,
    records: RecordSet,
    leaving: Vec<String>,
}

impl Fleet {
    /// Returns a builder for a fleet whose daemons run the program `daemon`.
    pub fn builder(daemon: impl Into<std::path::PathBuf>) -> FleetBuilder {
        FleetBuilder::new(daemon)
    }

    /// Returns the engine stand-in `name`.
    ///
    /// # Panics
    /// Panics if no engine has this name.
    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name]
    }

    /// Iterates over all engine stand-ins with their names.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        self.engines.iter().map(|(name, engine)| (name.as_str(), engine))
    }

    /// Returns the service stand-in `name`.
    ///
    /// # Panics
    /// Panics if no service endpoint has this name.
    pub fn service(&self, name: &str) -> &Service {
        &self.services[name]
    }

    /// Iterates over all service stand-ins with their names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services.iter().map(|(name, service)| (name.as_str(), service))
    }

    /// Returns a caller that sends requests to `router` with [`CALLER_KEY`].
    ///
    /// # Errors
    /// Returns an error if no router has this name.
    pub fn caller(&self, router: &str) -> Result<Caller, FleetError> {
        Ok(Caller::new(self.daemons.listen(router)?, CALLER_KEY))
    }

    /// Returns the records published most recently.
    pub fn records(&self) -> &RecordSet {
        &self.records
    }

    /// Publishes `records` without changing their generation.
    pub fn publish(&mut self, records: RecordSet) {
        self.records = records;
        let text = self.records.to_text();
        self.platform.publish(RECORDS_KEY, text);
    }

    /// Applies `change` to the records, publishes them as the next generation and returns that
    /// generation.
    pub fn publish_change(&mut self, change: impl FnOnce(&mut RecordSet)) -> Generation {
        let mut records = self.records.clone();
        records.generation = Generation(records.generation.0 + 1);
        change(&mut records);
        let generation = records.generation;
        self.publish(records);
        generation
    }

    /// Publishes records that mark the endpoint `name` as draining.
    pub fn publish_drain(&mut self, name: &str) -> Generation {
        let name = EndpointName::from(name);
        self.publish_change(|records| {
            for endpoint in records.endpoints.iter_mut().filter(|one| one.name == name) {
                endpoint.draining = true;
            }
        })
    }

    /// Waits until every running daemon applies the published records.
    ///
    /// # Errors
    /// Returns an error if a daemon doesn't do so within [`IN_FORCE_DEADLINE`].
    pub fn wait_in_force(&self) -> Result<(), FleetError> {
        self.daemons.wait_in_force(self.records.generation.0, IN_FORCE_DEADLINE)
    }

    /// Waits until every running daemon is ready to serve requests.
    ///
    /// # Errors
    /// Returns an error if a daemon isn't ready within [`SERVING_DEADLINE`].
    pub fn wait_serving(&self) -> Result<(), FleetError> {
        self.daemons.wait_serving(SERVING_DEADLINE)
    }

    /// Lists the VM of the daemon `name` as leaving.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn list_as_leaving(&mut self, name: &str) -> Result<(), FleetError> {
        self.daemons.role_and_zone(name)?;
        self.leaving.push(name.to_owned());
        self.publish_vms()
    }

    /// Lists the VM of the daemon `name` as live again.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn list_as_live(&mut self, name: &str) -> Result<(), FleetError> {
        self.daemons.role_and_zone(name)?;
        self.leaving.retain(|leaving| leaving != name);
        self.publish_vms()
    }

    /// Publishes the list of VMs to the platform.
    fn publish_vms(&self) -> Result<(), FleetError> {
        let is_leaving = |name: &str| self.leaving.iter().any(|leaving| leaving == name);
        self.platform.set_vms(self.daemons.vms(is_leaving)?);
        Ok(())
    }

    /// Kills every daemon and stops the stand-ins.
    pub fn close(self) {
        drop(self.daemons);
        self.engines.into_values().for_each(Engine::close);
        self.services.into_values().for_each(Service::close);
        self.platform.close();
    }
}
