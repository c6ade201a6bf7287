//! The sidecar's RPC interface, which forwards each call to the control thread.

use std::rc::Rc;

use flume::Sender;
use persimmon_decide::outcome::{FrameId, HeartbeatLimits, LedgerKey};
use persimmon_decide::{Attempt, RequestId};
use persimmon_records::EndpointName;
use persimmon_wire::fleet_capnp::{frame_sink, sidecar};
use persimmon_wire::{
    ClaimRequest, Frame, ModelRequest, RequestRef, ServiceCall, StreamPosition, read_credit_demand,
    write_credit_batch, write_settled,
};

use super::command::Command;
use super::pump::{MAX_WAITING_FRAMES, Pump};
use crate::common::{Clock, SidecarHandle, SidecarProvider};

/// The RPC interface of the sidecar for other processes.
#[derive(Clone)]
pub(crate) struct SidecarCalls {
    pub(crate) name: EndpointName,
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Clock,
    pub(crate) heartbeat: HeartbeatLimits,
}

impl SidecarCalls {
    /// Sends a command to the control thread and waits for the reply.
    async fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> capnp::Result<T> {
        let (tx, rx) = flume::bounded(1);
        self.commands.send(command(tx)).map_err(|_| stopping())?;
        rx.recv_async().await.map_err(|_| stopping())
    }

    fn start_pump(
        &self,
        request: &RequestRef,
        attempt: Attempt,
        frames: flume::Receiver<Frame>,
        sink: frame_sink::Client,
    ) {
        let pump = Pump {
            key: LedgerKey::of_request(&request.workspace, request.id),
            id: frame_id(request, request.id, attempt),
            frames,
            sink,
            commands: self.commands.clone(),
            clock: self.clock,
            limits: self.heartbeat.clone(),
        };
        tokio::task::spawn_local(pump.run());
    }
}

fn frame_id(request: &RequestRef, id: RequestId, attempt: Attempt) -> FrameId {
    FrameId { request: id, attempt, incarnation: request.stamp.incarnation }
}

fn stopping() -> capnp::Error {
    capnp::Error::disconnected("the sidecar is stopping; retry with another endpoint".into())
}

impl SidecarProvider for SidecarCalls {
    async fn sidecar_handle(&self) -> capnp::Result<SidecarHandle> {
        let stamp = self.ask(|reply| Command::Stamp { reply }).await?;
        let sidecar = capnp_rpc::new_client(self.clone());
        Ok(SidecarHandle { sidecar, name: self.name.to_string(), stamp })
    }
}

impl sidecar::Server for SidecarCalls {
    async fn submit(
        self: Rc<Self>,
        params: sidecar::SubmitParams,
        mut results: sidecar::SubmitResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let req = ModelRequest::read(params.get_request()?)?;
        let sink = params.get_sink()?;
        let (frames, rx) = flume::bounded(MAX_WAITING_FRAMES);
        let (request, attempt) = (req.id.clone(), req.attempt);
        let req = Box::new(req);
        let admission = self.ask(|reply| Command::Submit { req, frames, reply }).await?;
        admission.write(results.get().init_admission());
        if admission.refused.is_none() {
            self.start_pump(&request, attempt, rx, sink);
        }
        Ok(())
    }

    async fn resume(
        self: Rc<Self>,
        params: sidecar::ResumeParams,
        mut results: sidecar::ResumeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let position = StreamPosition::read(params.get_position()?)?;
        let sink = params.get_sink()?;
        let (frames, rx) = flume::bounded(MAX_WAITING_FRAMES);
        let (request, attempt) = (position.id.clone(), position.attempt);
        let refused = self.ask(|reply| Command::Resume { position, frames, reply }).await?;
        let mut resumption = results.get().init_resumption();
        match refused {
            Some(refused) => refused.write(resumption.init_refused()),
            None => {
                resumption.set_resumed(());
                self.start_pump(&request, attempt, rx, sink);
            }
        }
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: sidecar::SettleParams,
        mut results: sidecar::SettleResults,
    ) -> capnp::Result<()> {
        let request = RequestRef::read(params.get()?.get_request()?)?;
        let settled = self.ask(|reply| Command::Settle { request, reply }).await?;
        results.get().set_settled(write_settled(settled));
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: sidecar::CancelParams,
        _results: sidecar::CancelResults,
    ) -> capnp::Result<()> {
        let request = RequestRef::read(params.get()?.get_request()?)?;
        self.commands.send(Command::Cancel { request }).map_err(|_| stopping())
    }

    async fn claim(
        self: Rc<Self>,
        params: sidecar::ClaimParams,
        mut results: sidecar::ClaimResults,
    ) -> capnp::Result<()> {
        let req = ClaimRequest::read(params.get()?.get_request()?)?;
        let reply = self.ask(|reply| Command::Claim { req, reply }).await?;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn call(
        self: Rc<Self>,
        params: sidecar::CallParams,
        mut results: sidecar::CallResults,
    ) -> capnp::Result<()> {
        let call = Box::new(ServiceCall::read(params.get()?.get_call()?)?);
        let reply = self.ask(|reply| Command::Call { call, reply }).await?;
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn credit(
        self: Rc<Self>,
        params: sidecar::CreditParams,
        mut results: sidecar::CreditResults,
    ) -> capnp::Result<()> {
        let demand = read_credit_demand(params.get()?.get_demand()?)?;
        let batch = self.ask(|reply| Command::Credit { demand, reply }).await?;
        write_credit_batch(results.get().init_batch(), batch);
        Ok(())
    }
}
