//! The router role: accepts callers' requests on an entry VM and forwards them to sidecars.

mod answers;
mod api;
mod body;
#[cfg(test)]
mod body_tests;
mod call_exchange;
mod canonical_json;
#[cfg(test)]
mod canonical_json_tests;
mod chat;
mod command;
mod context;
mod control;
mod credit;
mod exchange;
mod failure;
mod front;
mod head;
mod pool;
mod render;
mod respond;
mod routes;
mod services;
mod sink;
mod tokens;

use std::io;

use persimmon_decide::load::TokenKey;

use self::command::Command;
use self::context::TrafficParts;
use self::control::{Control, ControlParts, InProgress};
use self::front::Front;
use crate::common::{
    Metrics, NoSidecar, NodeCalls, OpsServer, PeerServer, ProcessRun, Readiness, RouterSettings,
    ask, on_stop_signal, print_ready, start_fleet_state,
};

/// Capacity of each command queue of the control thread.
const MAX_QUEUED_COMMANDS: usize = 16_384;

/// Runs a router until it has drained.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub(crate) fn run_router(settings: &RouterSettings) -> io::Result<()> {
    let common = &settings.common;
    let process = ProcessRun::start();
    let clock = process.clock;
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let readiness = Readiness::default();
    let in_progress = InProgress::default();
    let (commands, rx) = flume::bounded(MAX_QUEUED_COMMANDS);
    let (fleet_commands, fleet_rx) = flume::bounded(MAX_QUEUED_COMMANDS);

    let node = NodeCalls::new(fleet_commands.clone(), metrics.clone(), NoSidecar);
    let peer =
        PeerServer::start(common.peer_listen, common.fleet_key.clone(), move || node.client())?;
    let fleet = start_fleet_state(common, peer.address(), process, &metrics, &fleet_commands)?;
    let control = Control::new(ControlParts {
        name: common.name.clone(),
        zone: common.zone.to_string(),
        clock,
        metrics: metrics.clone(),
        readiness: readiness.clone(),
        in_progress: in_progress.clone(),
        token_key: TokenKey::from_fleet_key(common.fleet_key.secret()),
        drain_ms: common.drain_ms,
        fleet,
    });

    let parts = TrafficParts {
        commands: commands.clone(),
        clock,
        metrics: metrics.clone(),
        key: common.fleet_key.clone(),
        in_progress,
        threads: settings.traffic_threads,
        max_connections: settings.max_connections,
        memory_bytes: settings.memory_bytes,
    };
    let front = Front::start(settings.listen, &parts)?;

    let status_commands = commands.clone();
    let status = move || ask(&status_commands, |reply| Command::Status { reply });
    let ops = OpsServer::start(common.ops_listen, metrics, readiness, status)?;
    on_stop_signal(move || {
        let _ended = commands.send(Command::Drain);
    })?;

    let listen = Some(front.address());
    print_ready("router", common.name.as_str(), listen, peer.address(), ops.address())?;
    control.run(&rx, &fleet_rx);
    Ok(())
}
