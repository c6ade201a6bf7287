//! A stand-in as a process of its own.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::FleetError;
use super::process::{Process, ProcessSpec};

/// Time that one read of a stand-in's control port may take, in seconds.
const CONTROL_TIMEOUT_S: u64 = 5;

#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// A stand-in in a process of its own, which is killed by id when this is dropped.
#[derive(Debug)]
pub struct StandIn {
    process: Process,
    ready: Ready,
}

impl StandIn {
    /// Starts `program`, which is `persimmon-standin`, with these arguments.
    ///
    /// # Errors
    /// When it can't be started or isn't ready in time.
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

    /// Where the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.ready.address
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// What reached the stand-in.
    ///
    /// # Errors
    /// When it gives no answer.
    pub fn counts<T: DeserializeOwned>(&self) -> Result<T, FleetError> {
        let url = format!("http://{}/stand-in/counts", self.ready.control);
        let reply = minreq::get(url).with_timeout(CONTROL_TIMEOUT_S).send()?;
        Ok(reply.json()?)
    }

    /// Tells the stand-in what to do.
    ///
    /// # Errors
    /// When it gives no answer.
    pub fn switch<T: Serialize>(&self, switch: &T) -> Result<(), FleetError> {
        let url = format!("http://{}/stand-in/switch", self.ready.control);
        minreq::post(url).with_timeout(CONTROL_TIMEOUT_S).with_json(switch)?.send()?;
        Ok(())
    }

    /// Puts `body` at `path` of the control port, as operators publish on the platform.
    ///
    /// # Errors
    /// When it gives no answer.
    pub fn put(&self, path: &str, body: &str) -> Result<(), FleetError> {
        let url = format!("http://{}{path}", self.ready.control);
        minreq::put(url).with_timeout(CONTROL_TIMEOUT_S).with_body(body).send()?;
        Ok(())
    }
}
