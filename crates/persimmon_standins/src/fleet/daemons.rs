//! The daemons of a fleet, each a process of its own.

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

/// The key that the daemons of a fleet under test prove to each other.
const FLEET_KEY: &str = "fleet-key-for-tests-only";

/// An address whose port the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Time that one status read may take, in seconds.
const STATUS_TIMEOUT_S: u64 = 5;

/// What a daemon prints when it is ready.
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

/// The daemons of a fleet. Those that run are killed by id when this is dropped.
#[derive(Debug)]
pub struct Daemons {
    program: PathBuf,
    platform: SocketAddr,
    variables: Vec<(String, String)>,
    daemons: BTreeMap<String, Daemon>,
}

impl Daemons {
    /// No daemons yet; those to come run `program` and read from `platform`.
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

    /// Sets an environment variable of the daemons that are started from now on.
    pub fn set_variable(&mut self, name: &str, value: &str) {
        self.variables.push((name.to_owned(), value.to_owned()));
    }

    /// Starts a router and waits until it is ready.
    ///
    /// # Errors
    /// When it can't be started or isn't ready in time.
    pub fn start_router(&mut self, name: &str, zone: &str) -> Result<(), FleetError> {
        let args = ["router", "--listen", ANY_PORT].map(str::to_owned);
        self.start(name, zone, VmRole::Router, args.into())
    }

    /// Starts the sidecar beside `endpoint` and waits until it is ready.
    ///
    /// # Errors
    /// When it can't be started or isn't ready in time.
    pub fn start_sidecar(
        &mut self,
        name: &str,
        zone: &str,
        endpoint: SocketAddr,
    ) -> Result<(), FleetError> {
        let args = vec!["sidecar".to_owned(), "--endpoint".to_owned(), endpoint.to_string()];
        self.start(name, zone, VmRole::Endpoint, args)
    }

    /// The names of all daemons, also of those that have ended.
    pub fn names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    /// Where callers connect to the router `name`.
    ///
    /// # Errors
    /// When no router has this name.
    pub fn listen(&self, name: &str) -> Result<SocketAddr, FleetError> {
        self.daemon(name)?.ready.listen.ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    /// Where peers connect to the daemon `name`.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn peer(&self, name: &str) -> Result<SocketAddr, FleetError> {
        Ok(self.daemon(name)?.ready.peer)
    }

    /// Where operators connect to the daemon `name`.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn ops(&self, name: &str) -> Result<SocketAddr, FleetError> {
        Ok(self.daemon(name)?.ready.ops)
    }

    /// The process id of the daemon `name`.
    ///
    /// # Errors
    /// When no daemon of this name runs.
    pub fn id(&self, name: &str) -> Result<u32, FleetError> {
        Ok(self.process(name)?.id())
    }

    /// The availability zone and role of the daemon `name`.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn role_and_zone(&self, name: &str) -> Result<(VmRole, &str), FleetError> {
        let daemon = self.daemon(name)?;
        Ok((daemon.role, &daemon.zone))
    }

    /// The VMs of all daemons, as the platform lists them.
    ///
    /// # Errors
    /// When a daemon isn't there.
    pub fn vms(&self, is_leaving: impl Fn(&str) -> bool) -> Result<Vec<Vm>, FleetError> {
        let vm = |name: String| {
            let (role, zone) = self.role_and_zone(&name)?;
            let state = if is_leaving(&name) { VmState::Leaving } else { VmState::Live };
            let peer = self.peer(&name)?;
            Ok(Vm { name: name.as_str().into(), role, peer, zone: zone.into(), state })
        };
        self.names().into_iter().map(vm).collect()
    }

    /// The lines that the daemon `name` logged, in its earlier lives too.
    ///
    /// # Errors
    /// When no daemon has this name.
    pub fn log(&self, name: &str) -> Result<Vec<String>, FleetError> {
        let daemon = self.daemon(name)?;
        let mut lines = daemon.earlier_log.clone();
        lines.extend(daemon.process.iter().flat_map(Process::log));
        Ok(lines)
    }

    /// What the daemon `name` answers to operators at `path`, such as `/metrics`.
    ///
    /// # Errors
    /// When it gives no answer.
    pub fn read_ops(&self, name: &str, path: &str) -> Result<String, FleetError> {
        let url = format!("http://{}{path}", self.ops(name)?);
        let reply = minreq::get(url).with_timeout(STATUS_TIMEOUT_S).send()?;
        Ok(reply.as_str()?.to_owned())
    }

    /// The status of the daemon `name`; null if it can't be read as JSON.
    ///
    /// # Errors
    /// When it gives no answer.
    pub fn status(&self, name: &str) -> Result<Value, FleetError> {
        Ok(serde_json::from_str(&self.read_ops(name, "/status")?).unwrap_or_default())
    }

    /// Waits until every running daemon has this generation or a later one in force.
    ///
    /// # Errors
    /// When one hasn't within `deadline`.
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

    /// Waits until every running daemon takes work.
    ///
    /// # Errors
    /// When one doesn't within `deadline`.
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
    /// When no daemon of this name runs.
    pub fn kill(&mut self, name: &str) -> Result<ExitStatus, FleetError> {
        let status = self.process_mut(name)?.kill()?;
        self.remove_ended_process(name)?;
        Ok(status)
    }

    /// Sends SIGTERM to the daemon `name`, which drains then ends.
    ///
    /// # Errors
    /// When no daemon of this name runs.
    pub fn terminate(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::TERM)?)
    }

    /// Waits until the daemon `name` has ended by itself.
    ///
    /// # Errors
    /// When it hasn't within `deadline`.
    pub fn wait_ended(&mut self, name: &str, deadline: Duration) -> Result<ExitStatus, FleetError> {
        let status = self.process_mut(name)?.wait(deadline)?;
        self.remove_ended_process(name)?;
        Ok(status)
    }

    /// Sends SIGTERM to the daemon `name` and waits until it has ended.
    ///
    /// # Errors
    /// When it hasn't within `deadline`.
    pub fn stop(&mut self, name: &str, deadline: Duration) -> Result<ExitStatus, FleetError> {
        self.terminate(name)?;
        self.wait_ended(name, deadline)
    }

    /// Stops the daemon `name` in its tracks with SIGSTOP.
    ///
    /// # Errors
    /// When no daemon of this name runs.
    pub fn freeze(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::STOP)?)
    }

    /// Lets the daemon `name` go on with SIGCONT.
    ///
    /// # Errors
    /// When no daemon of this name runs.
    pub fn thaw(&self, name: &str) -> Result<(), FleetError> {
        Ok(self.process(name)?.signal(Signal::CONT)?)
    }

    /// Starts the daemon `name` again on its earlier addresses, killing it first if it runs.
    ///
    /// # Errors
    /// When it can't be started or isn't ready in time.
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

    /// Keeps the log of a process that has ended.
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
    /// Asks for the addresses of `ready` from now on.
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
