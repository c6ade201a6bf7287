//! Work that the fleet state hands to other threads.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use flume::{Receiver, Sender};
use persimmon_decide::membership::VmName;
use persimmon_records::RecordIndex;
use persimmon_wire::FleetKey;

use super::command::{FleetCommand, TaskResult};
use super::peer_reader::run_peer_reader;
use super::platform_reader::PlatformReader;
use crate::common::{Clock, Metrics, Platform};

/// Tasks that wait for each thread.
const MAX_WAITING_TASKS: usize = 256;

/// One piece of work.
#[derive(Debug)]
pub(crate) enum Task {
    /// Read the platform's records.
    ReadRecords {
        /// The platform's version of the value read last.
        after: u64,
        /// How long the platform may wait for a newer one, in milliseconds.
        wait_ms: u64,
        /// The set in force, to which changes can be applied.
        have: Option<Arc<RecordIndex>>,
    },
    /// Read the platform's VM list.
    ReadVms {
        /// The version held.
        after: u64,
        /// How long the platform may wait for a newer one, in milliseconds.
        wait_ms: u64,
    },
    /// Ask a peer for its records.
    FetchPeerRecords {
        /// The peer.
        peer: VmName,
        /// Its address.
        address: SocketAddr,
        /// The set in force.
        have: Option<Arc<RecordIndex>>,
    },
    /// Ask a peer for its VM list.
    FetchPeerVms {
        /// Its address.
        address: SocketAddr,
        /// The version held.
        version: u64,
    },
}

/// The threads that do the work.
#[derive(Debug, Clone)]
pub(crate) struct Tasks {
    records: Sender<Task>,
    vms: Sender<Task>,
    peers: Sender<Task>,
}

impl Tasks {
    /// Starts the threads, which report to `fleet`.
    ///
    /// # Errors
    ///
    /// A thread can't be started.
    pub(crate) fn start(
        platform: &Platform,
        key: FleetKey,
        clock: Clock,
        metrics: Metrics,
        fleet: &Sender<FleetCommand>,
    ) -> io::Result<Self> {
        let (records, records_rx) = flume::bounded(MAX_WAITING_TASKS);
        let (vms, vms_rx) = flume::bounded(MAX_WAITING_TASKS);
        let (peers, peers_rx) = flume::bounded(MAX_WAITING_TASKS);
        for (name, tasks) in [("read-records", records_rx), ("read-vms", vms_rx)] {
            let reader = PlatformReader::new(platform.clone(), clock, metrics.clone());
            let fleet = fleet.clone();
            thread::Builder::new()
                .name(name.into())
                .spawn(move || read_all(&reader, &tasks, &fleet))?;
        }
        let fleet = fleet.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("ask-peers".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_peer_reader(peers_rx, key, clock, metrics, fleet));
        })?;
        Ok(Self { records, vms, peers })
    }

    /// Hands over a task. One that finds its queue full is dropped; the fleet state's own timeouts
    /// notice.
    pub(crate) fn submit(&self, task: Task) {
        let queue = match task {
            Task::ReadRecords { .. } => &self.records,
            Task::ReadVms { .. } => &self.vms,
            Task::FetchPeerRecords { .. } | Task::FetchPeerVms { .. } => &self.peers,
        };
        if queue.try_send(task).is_err() {
            tracing::warn!("records: a task was dropped, since too many wait.");
        }
    }
}

fn read_all(reader: &PlatformReader, tasks: &Receiver<Task>, fleet: &Sender<FleetCommand>) {
    for task in tasks {
        let result = match task {
            Task::ReadRecords { after, wait_ms, have } => {
                reader.read_records(after, wait_ms, have.as_deref())
            }
            Task::ReadVms { after, wait_ms } => {
                TaskResult::PlatformVms(reader.read_vms(after, wait_ms))
            }
            Task::FetchPeerRecords { .. } | Task::FetchPeerVms { .. } => continue,
        };
        if fleet.send(FleetCommand::TaskResult(result)).is_err() {
            return;
        }
    }
}
