//! Starts the fleet state and its threads.

use std::io;
use std::net::SocketAddr;

use flume::Sender;
use persimmon_decide::Incarnation;
use persimmon_decide::membership::{VmName, incarnation_at};

use super::command::FleetCommand;
use super::gossip::Gossip;
use super::keeper::{FleetState, FleetStateParts};
use super::tasks::Tasks;
use crate::common::settings::CommonSettings;
use crate::common::{Clock, Metrics, Platform, random_u64};

/// One run of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessRun {
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
}

impl ProcessRun {
    /// Creates a run that starts now.
    pub(crate) fn start() -> Self {
        let clock = Clock::start();
        Self { incarnation: incarnation_at(clock.unix(), random_u64() as u32), clock }
    }
}

/// Starts the fleet state of a process that listens for peers at `peer`, and its threads, which
/// send results to `commands`.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub(crate) fn start_fleet_state(
    common: &CommonSettings,
    peer: SocketAddr,
    process: ProcessRun,
    metrics: &Metrics,
    commands: &Sender<FleetCommand>,
) -> io::Result<FleetState> {
    let ProcessRun { incarnation, clock } = process;
    let key = common.fleet_key.clone();
    let platform = Platform::new(common.platform, metrics.clone());
    let tasks = Tasks::start(&platform, key.clone(), clock, metrics.clone(), commands)?;
    let gossip = Gossip::start(peer, key, metrics.clone(), commands.clone())?;
    Ok(FleetState::new(FleetStateParts {
        name: VmName::new(common.name.as_str()),
        zone: common.zone.clone(),
        incarnation,
        clock,
        tasks,
        gossip,
        seeds: common.peers.iter().copied().filter(|seed| *seed != peer).collect(),
    }))
}
