//! The RPC interface that every process has for other processes of the fleet.

use std::rc::Rc;

use flume::Sender;
use persimmon_decide::outcome::Stamp;
use persimmon_wire::fleet_capnp::{node, sidecar};
use persimmon_wire::{read_set_version, write_stamp};

use super::command::FleetCommand;
use crate::common::Metrics;

/// Provides the sidecar's interface to a new connection.
pub(crate) trait SidecarProvider: Clone + 'static {
    /// Returns the interface, the endpoint's name and a new stamp, or an error if this process is
    /// not a sidecar.
    fn sidecar_handle(&self) -> impl Future<Output = capnp::Result<SidecarHandle>>;
}

/// The sidecar's interface with the data that a router needs to use it.
pub(crate) struct SidecarHandle {
    pub(crate) sidecar: sidecar::Client,
    pub(crate) name: String,
    pub(crate) stamp: Stamp,
}

/// A [`SidecarProvider`] for processes that are not sidecars.
#[derive(Debug, Clone)]
pub(crate) struct NoSidecar;

impl SidecarProvider for NoSidecar {
    async fn sidecar_handle(&self) -> capnp::Result<SidecarHandle> {
        Err(capnp::Error::unimplemented("a router has no endpoint; connect to a sidecar".into()))
    }
}

/// The RPC interface of a process.
#[derive(Debug, Clone)]
pub(crate) struct NodeCalls<G> {
    fleet: Sender<FleetCommand>,
    metrics: Metrics,
    provider: G,
}

impl<G: SidecarProvider> NodeCalls<G> {
    /// Creates the interface of a process whose fleet state receives commands from `fleet`.
    pub(crate) fn new(fleet: Sender<FleetCommand>, metrics: Metrics, provider: G) -> Self {
        Self { fleet, metrics, provider }
    }

    /// Creates the interface for a connection.
    pub(crate) fn client(&self) -> node::Client {
        capnp_rpc::new_client(self.clone())
    }

    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> FleetCommand) -> capnp::Result<T> {
        let stopping = || {
            capnp::Error::disconnected("the process is stopping; retry with another process".into())
        };
        let (reply, rx) = flume::bounded(1);
        self.fleet.send(command(reply)).map_err(|_| stopping())?;
        rx.recv_async().await.map_err(|_| stopping())
    }

    fn count_sent(&self, bytes: usize) {
        self.metrics.control_bytes.with_label_values(&["sent", "peers"]).inc_by(bytes as u64);
    }
}

impl<G: SidecarProvider> node::Server for NodeCalls<G> {
    async fn records(
        self: Rc<Self>,
        params: node::RecordsParams,
        mut results: node::RecordsResults,
    ) -> capnp::Result<()> {
        let have = read_set_version(params.get()?.get_have()?)?;
        let answer = self.ask(|reply| FleetCommand::RecordsFor { have, reply }).await?;
        let update = answer.to_update();
        if let persimmon_wire::RecordsUpdate::Changes { text, .. }
        | persimmon_wire::RecordsUpdate::Whole { text, .. } = &update
        {
            self.count_sent(text.len());
        }
        update.write(results.get().init_update());
        Ok(())
    }

    async fn sidecar(
        self: Rc<Self>,
        _params: node::SidecarParams,
        mut results: node::SidecarResults,
    ) -> capnp::Result<()> {
        let handle = self.provider.sidecar_handle().await?;
        let mut results = results.get();
        results.set_sidecar(handle.sidecar);
        results.set_name(handle.name.as_str());
        write_stamp(results.init_stamp(), handle.stamp);
        Ok(())
    }

    async fn vms(
        self: Rc<Self>,
        params: node::VmsParams,
        mut results: node::VmsResults,
    ) -> capnp::Result<()> {
        let version = params.get()?.get_version();
        let list = self.ask(|reply| FleetCommand::VmsFor { version, reply }).await?;
        if let Some(list) = list {
            let text = serde_json::to_string(&list).map_err(|err| {
                capnp::Error::failed(format!("can't serialise the VM list: {err}"))
            })?;
            self.count_sent(text.len());
            results.get().set_list(text.as_str());
        }
        Ok(())
    }
}
