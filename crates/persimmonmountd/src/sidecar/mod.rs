//! The sidecar role. One sidecar runs beside each endpoint and forwards all requests to it.

mod calls;
mod command;
mod control;
mod core;
mod engine;
#[cfg(test)]
mod engine_tests;
mod order_sender;
mod orders;
mod pump;
mod rpc;
mod runs;
mod service;
mod subscriber;

use std::io;

use persimmon_decide::load::CreditHome;
use persimmon_decide::outcome::{ClaimSealer, HeartbeatLimits};

use self::calls::Calls;
use self::command::Command;
use self::control::Control;
use self::core::Core;
use self::engine::Engine;
use self::order_sender::OrderSender;
use self::orders::Orders;
use self::rpc::SidecarCalls;
use self::runs::Runs;
use self::service::Service;
use crate::common::{
    Metrics, NodeCalls, OpsServer, PeerServer, Platform, ProcessRun, Readiness, SidecarSettings,
    ask, on_stop_signal, print_ready, start_fleet_state,
};

/// Capacity of each queue of commands to the control thread.
const MAX_WAITING_COMMANDS: usize = 4_096;

/// Runs a sidecar until a stop signal arrives and the sidecar has drained.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub(crate) fn run_sidecar(settings: &SidecarSettings) -> io::Result<()> {
    let common = &settings.common;
    let process = ProcessRun::start();
    let clock = process.clock;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let (commands, rx) = flume::bounded(MAX_WAITING_COMMANDS);
    let (fleet_commands, fleet_rx) = flume::bounded(MAX_WAITING_COMMANDS);
    let readiness = Readiness::default();

    let calls = SidecarCalls {
        name: common.name.clone(),
        commands: commands.clone(),
        clock,
        heartbeat: HeartbeatLimits::default(),
    };
    let node = NodeCalls::new(fleet_commands.clone(), metrics.clone(), calls);
    // Only one process can bind the peer address, so the endpoint has one sidecar on this VM.
    let peer =
        PeerServer::start(common.peer_listen, common.fleet_key.clone(), move || node.client())?;
    let fleet = start_fleet_state(common, peer.address(), process, &metrics, &fleet_commands)?;
    let engine = Engine::start(settings.endpoint, commands.clone())?;
    let platform = Platform::new(common.platform, metrics.clone());
    let sender = OrderSender::start(settings.endpoint, platform, clock, commands.clone())?;
    let service = Service::new(settings.endpoint, commands.clone());
    let sealer = ClaimSealer::new(common.fleet_key.secret());
    let control = Control {
        core: Core::new(common.name.clone(), metrics.clone(), process, fleet),
        runs: Runs::new(engine),
        calls: Calls::new(service, sealer),
        orders: Orders::new(sender, process.incarnation, clock.now()),
        readiness: readiness.clone(),
        zone: common.zone.to_string(),
        credits: CreditHome::default(),
        is_stopping: false,
    };

    let status_commands = commands.clone();
    let status = move || ask(&status_commands, |reply| Command::Status { reply });
    let ops = OpsServer::start(common.ops_listen, metrics, readiness, status)?;
    on_stop_signal(move || {
        let _ended = commands.send(Command::Drain);
    })?;

    print_ready("sidecar", common.name.as_str(), None, peer.address(), ops.address())?;
    control.run(&rx, &fleet_rx);
    Ok(())
}
