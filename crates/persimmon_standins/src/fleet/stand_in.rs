//! A stand-in in its own process.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::FleetError;
use super::process::{Process, ProcessSpec};

/// Timeout for one request to a stand-in's control port, in seconds.
const CONTROL_TIMEOUT_S: u64 = 5;

/// Ready line that a stand-in prints, with the addresses it listens on.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// A stand-in in its own process. Dropping this kills the process by id.
#[derive(Debug)]
pub struct StandIn {
    process: Process,
    ready: Ready,
}

impl StandIn {
    /// Starts `program`, the path of `persimmon-standin`, with these arguments.
    ///
    /// # Errors
    /// Returns an error if the stand-in can't be started or isn't ready in time.
    pub fn start(name: &str, program: &Path, args: &[&str]) -> Result<Self, FleetError> {
        let spec = ProcessSpec {
            name: name.to_owned(),
            program: program.to_owned(),
            args: args.iter().map(ToString::to_string).collect(),
            variables: Vec::new(),
        };
        let (process, ready) = Process::start(&spec)?;
        Ok(Self { process, ready })
    }

    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.ready.address
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Reads the stand-in's counts of received requests.
    ///
    /// # Errors
    /// Returns an error if the stand-in doesn't answer.
    pub fn counts<T: DeserializeOwned>(&self) -> Result<T, FleetError> {
        let url = format!("http://{}/stand-in/counts", self.ready.control);
        let reply = minreq::get(url).with_timeout(CONTROL_TIMEOUT_S).send()?;
        Ok(reply.json()?)
    }

    /// Switches the stand-in's behaviour.
    ///
    /// # Errors
    /// Returns an error if the stand-in doesn't answer.
    pub fn switch<T: Serialize>(&self, switch: &T) -> Result<(), FleetError> {
        let url = format!("http://{}/stand-in/switch", self.ready.control);
        minreq::post(url).with_timeout(CONTROL_TIMEOUT_S).with_json(switch)?.send()?;
        Ok(())
    }

    /// Sends `body` with PUT to `path` on the control port, as operators do to publish on the
    /// platform.
    ///
    /// # Errors
    /// Returns an error if the stand-in doesn't answer.
    pub fn put(&self, path: &str, body: &str) -> Result<(), FleetError> {
        let url = format!("http://{}{path}", self.ready.control);
        minreq::put(url).with_timeout(CONTROL_TIMEOUT_S).with_body(body).send()?;
        Ok(())
    }
}
