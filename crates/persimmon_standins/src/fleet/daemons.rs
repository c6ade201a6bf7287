//! The daemons of a fleet, each in its own process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use persimmon_records::{Vm, VmRole, VmState};
use rustix::process::Signal;
use serde::Deserialize;
use serde_json::Value;

use super::FleetError;
use super::process::{Process, ProcessSpec};
use super::wait::wait_until;

/// Shared key with which the daemons of a fleet under test authenticate to each other.
const FLEET_KEY: &str = "fleet-key-for-tests-only";

/// Listen address whose port the operating system assigns.
const ANY_PORT: &str = "127.0.0.1:0";

/// Timeout for one request to a daemon's operations port, in seconds.
const STATUS_TIMEOUT_S: u64 = 5;

/// Ready line that a daemon prints on standard output, with the addresses it listens on.
#[derive(Debug, Clone, Deserialize)]
struct Ready {
    listen: Option<SocketAddr>,
    peer: SocketAddr,
    ops: SocketAddr,
}

#[derive(Debug)]
struct Daemon {
    role: VmRole,
    zone: String,
    spec: ProcessSpec,
    ready: Ready,
    process: Option<Process>,
    earlier_log: Vec<String>,
}

/// The daemons of a fleet. Dropping this kills the running ones by id.
#[derive(Debug)]
pub struct Daemons {
    program: PathBuf,
    platform: SocketAddr,
    variables: Vec<(String, String)>,
    daemons: BTreeMap<String, Daemon>,
}

impl Daemons {
    /// Creates an empty set of daemons, which will run `program` and read from `platform`.
    pub fn new(program: impl Into<PathBuf>, platform: SocketAddr) -> Self {
        let variables = [("PERSIMMON_FLEET_KEY", FLEET_KEY), ("PERSIMMON_LOG_FORMAT", "json")];
        let variables = variables.map(|(name, value)| (name.to_owned(), value.to_owned()));
        Self {
            program: program.into(),
            platform,
            variables: variables.into(),
            daemons: BTreeMap::new(),
        }
    }

    /// Sets an environment variable for daemons started after this call.
    pub fn set_variable(&mut self, name: &str, value: &str) {
        self.variables.push((name.to_owned(), value.to_owned()));
    }

    /// Starts a router and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the router can't be started or isn't ready in time.
    pub fn start_router(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let args = ["router", "--listen", ANY_PORT].map(str::to_owned);
        self.start(name, zone, VmRole::Router, args.into())
    }

    /// Starts the sidecar of the endpoint at `endpoint` and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the sidecar can't be started or isn't ready in time.
    pub fn start_sidecar(
        &mut self,
        name: &str,
        zone: &str,
        endpoint: SocketAddr,
    ) -> Result<(), FleetError> {
        let args = vec!["sidecar".to_owned(), "--endpoint".to_owned(), endpoint.to_string()];
        self.start(name, zone, VmRole::Endpoint, args)
    }

    /// Returns the names of all daemons, including those that have exited.
    pub fn names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    /// Returns the address on which the router `name` accepts callers.
    ///
    /// # Errors
    /// Returns an error if no router has this name.
    pub fn listen(&self, name: &str) -> Result<SocketAddr, FleetError> {
        self.daemon(name)?.ready.listen.ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    /// Returns the address on which the daemon `name` accepts peers.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn peer(&self, name: &str) -> Result<SocketAddr, FleetError> {
        Ok(self.daemon(name)?.ready.peer)
    }

    /// Returns the address of the operations port of the daemon `name`.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn ops(&self, name: &str) -> Result<SocketAddr, FleetError> {
        Ok(self.daemon(name)?.ready.ops)
    }

    /// Returns the process id of the daemon `name`.
    ///
    /// # Errors
    /// Returns an error if no daemon with this name is running.
    pub fn id(&self, name: &str) -> Result<u32, FleetError> {
        Ok(self.process(name)?.id())
    }

    /// Returns the role and availability zone of the daemon `name`.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn role_and_zone(&self, name: &str) -> Result<(VmRole, &str), FleetError> {
        let daemon = self.daemon(name)?;
        Ok((daemon.role, &daemon.zone))
    }

    /// Returns the VMs of all daemons as the platform lists them. The VMs of the daemons for which
    /// `is_leaving` returns true are listed as leaving.
    ///
    /// # Errors
    /// Returns an error if a daemon is unknown.
    pub fn vms(&self, is_leaving: impl Fn(&str) -> bool) -> Result<Vec<Vm>, FleetError> {
        let vm = |name: String| {
            let (role, zone) = self.role_and_zone(&name)?;
            let state = if is_leaving(&name) { VmState::Leaving } else { VmState::Live };
            let peer = self.peer(&name)?;
            Ok(Vm { name: name.as_str().into(), role, peer, zone: zone.into(), state })
        };
        self.names().into_iter().map(vm).collect()
    }

    /// Returns the log lines of the daemon `name`, including those of its earlier processes.
    ///
    /// # Errors
    /// Returns an error if no daemon has this name.
    pub fn log(&self, name: &str) -> Result<Vec<String>, FleetError> {
        let daemon = self.daemon(name)?;
        let mut lines = daemon.earlier_log.clone();
        lines.extend(daemon.process.iter().flat_map(Process::log));
        Ok(lines)
    }

    /// Reads `path`, such as `/metrics`, from the operations port of the daemon `name`.
    ///
    /// # Errors
    /// Returns an error if the daemon doesn't answer.
    pub fn read_ops(&self, name: &str, path: &str) -> Result<String, FleetError> {
        let url = format!("http://{}{path}", self.ops(name)?);
        let reply = minreq::get(url).with_timeout(STATUS_TIMEOUT_S).send()?;
        Ok(reply.as_str()?.to_owned())
    }

    /// Returns the status of the daemon `name`, or null if it isn't valid JSON.
    ///
    /// # Errors
    /// Returns an error if the daemon doesn't answer.
    pub fn status(&self, name: &str) -> Result<Value, FleetError> {
        Ok(serde_json::from_str(&self.read_ops(name, "/status")?).unwrap_or_default())
    }

    /// Waits until every running daemon applies this generation of the records or a later one.
    ///
    /// # Errors
    /// Returns an error if a daemon doesn't do so within `deadline`.
    pub fn wait_in_force(&self, generation: u64, deadline: Duration) -> Result<(), FleetError> {
        let in_force = |name: &str| {
            let status = self.status(name).unwrap_or_default();
            status["generation"].as_u64().is_some_and(|known| known >= generation)
        };
        for (name, daemon) in &self.daemons {
            let Some(process) = &daemon.process else {
                continue;
            };
            if !wait_until(deadline, || in_force(name)) {
                let status = self.status(name).unwrap_or_default().to_string();
                let (name, log) = (name.clone(), process.log_end());
                return Err(FleetError::NotInForce { name, generation, status, log });
            }
        }
        Ok(())
    }

    /// Waits until every running daemon is ready to serve requests.
    ///
    /// # Errors
    /// Returns an error if a daemon isn't ready within `deadline`.
    pub fn wait_serving(&self, deadline: Duration) -> Result<(), FleetError> {
        for (name, daemon) in &self.daemons {
            let Some(process) = &daemon.process else {
                continue;
            };
            let serves = || self.read_ops(name, "/readyz").is_ok_and(|page| page == "ready\n");
            if !wait_until(deadline, serves) {
                return Err(FleetError::NotServing { name: name.clone(), log: process.log_end() });
            }
        }
        Ok(())
    }

    /// Kills the daemon `name` with SIGKILL.
    ///
    /// # Errors
    /// Returns an error if no daemon with this name is running.
    pub fn kill(&mut self, name: &str) -> Result<ExitStatus, FleetError> {
        let status = self.process_mut(name)?.kill()?;
        self.remove_ended_process(name)?;
        Ok(status)
    }

    /// Sends SIGTERM to the daemon `name`, which drains and then exits.
    ///
    /// # Errors
    /// Returns an error if no daemon with this name is running.
    pub fn terminate(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::TERM)?)
    }

    /// Waits until the daemon `name` has exited by itself.
    ///
    /// # Errors
    /// Returns an error if the daemon doesn't exit within `deadline`.
    pub fn wait_ended(&mut self, name: &str, deadline: Duration) -> Result<ExitStatus, FleetError> {
        let status = self.process_mut(name)?.wait(deadline)?;
        self.remove_ended_process(name)?;
        Ok(status)
    }

    /// Sends SIGTERM to the daemon `name` and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the daemon doesn't exit within `deadline`.
    pub fn stop(&mut self, name: &str, deadline: Duration) -> Result<ExitStatus, FleetError> {
        self.terminate(name)?;
        self.wait_ended(name, deadline)
    }

    /// Suspends the daemon `name` with SIGSTOP.
    ///
    /// # Errors
    /// Returns an error if no daemon with this name is running.
    pub fn freeze(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::STOP)?)
    }

    /// Resumes the suspended daemon `name` with SIGCONT.
    ///
    /// # Errors
    /// Returns an error if no daemon with this name is running.
    pub fn thaw(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::CONT)?)
    }

    /// Restarts the daemon `name` on its previous addresses, killing it first if it is running.
    ///
    /// # Errors
    /// Returns an error if the daemon can't be started or isn't ready in time.
    pub fn restart(&mut self, name: &str) -> Result<(), FleetError> {
        if self.process(name).is_ok() {
            self.kill(name)?;
        }
        let daemon = self.daemon_mut(name)?;
        let (process, ready) = Process::start(&daemon.spec)?;
        daemon.process = Some(process);
        daemon.ready = ready;
        Ok(())
    }

    fn start(
        &mut self,
        name: &str,
        zone: &str,
        role: VmRole,
        mut args: Vec<String>,
    ) -> Result<(), FleetError> {
        let platform = self.platform.to_string();
        let common = [
            ("--name", name),
            ("--zone", zone),
            ("--peer-listen", ANY_PORT),
            ("--ops-listen", ANY_PORT),
            ("--platform", &platform),
        ];
        args.extend(common.iter().flat_map(|(flag, value)| [flag, value]).map(ToString::to_string));
        let variables = self.variables.clone();
        let program = self.program.clone();
        let mut spec = ProcessSpec { name: name.to_owned(), program, args, variables };
        let (process, ready) = Process::start::<Ready>(&spec)?;
        spec.set_addresses(&ready);
        let daemon = Daemon {
            role,
            zone: zone.to_owned(),
            spec,
            ready,
            process: Some(process),
            earlier_log: Vec::new(),
        };
        self.daemons.insert(name.to_owned(), daemon);
        Ok(())
    }

    /// Removes the process of the daemon `name`, which has exited, and keeps its log.
    fn remove_ended_process(&mut self, name: &str) -> Result<(), FleetError> {
        let daemon = self.daemon_mut(name)?;
        if let Some(process) = daemon.process.take() {
            daemon.earlier_log.extend(process.log());
        }
        Ok(())
    }

    fn daemon(&self, name: &str) -> Result<&Daemon, FleetError> {
        self.daemons.get(name).ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    fn daemon_mut(&mut self, name: &str) -> Result<&mut Daemon, FleetError> {
        self.daemons.get_mut(name).ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    fn process(&self, name: &str) -> Result<&Process, FleetError> {
        let process = self.daemon(name)?.process.as_ref();
        process.ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut Process, FleetError> {
        let process = self.daemon_mut(name)?.process.as_mut();
        process.ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }
}

impl ProcessSpec {
    /// Sets the listen arguments to the addresses in `ready`, which a restart then uses again.
    fn set_addresses(&mut self, ready: &Ready) {
        let addresses = [
            ("--listen", ready.listen),
            ("--peer-listen", Some(ready.peer)),
            ("--ops-listen", Some(ready.ops)),
        ];
        for (flag, address) in addresses {
            let value = self.args.iter().position(|arg| arg == flag).map(|index| index + 1);
            if let (Some(value), Some(address)) = (value, address) {
                self.args[value] = address.to_string();
            }
        }
    }
}
