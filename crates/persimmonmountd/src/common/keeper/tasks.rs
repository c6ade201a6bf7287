//! Threads that read from the platform and from peers for the fleet state.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use flume::{Receiver, Sender};
use persimmon_decide::membership::VmName;
use persimmon_records::RecordIndex;
use persimmon_wire::FleetKey;

use super::command::{FleetCommand, FleetInput};
use super::peer_reader::run_peer_reader;
use super::platform_reader::PlatformReader;
use crate::common::{Clock, Metrics, Platform};

/// Maximum number of queued tasks per thread.
const MAX_WAITING_TASKS: usize = 256;

/// A task for another thread.
#[derive(Debug)]
pub(crate) enum Task {
    /// A read of the records from the platform.
    ReadRecords {
        /// Version of the value last read.
        after: u64,
        /// Maximum time that the platform waits for a newer version, in milliseconds.
        wait_ms: u64,
        /// The set in force, to which published changes are applied.
        have: Option<Arc<RecordIndex>>,
    },
    /// A read of the VM list from the platform.
    ReadVms {
        /// Version of the current list.
        after: u64,
        /// Maximum time that the platform waits for a newer version, in milliseconds.
        wait_ms: u64,
    },
    /// A fetch of the records from a peer.
    FetchPeerRecords {
        /// The peer.
        peer: VmName,
        /// Its address.
        address: SocketAddr,
        /// The set in force, to which the peer's changes are applied.
        have: Option<Arc<RecordIndex>>,
    },
    /// A fetch of the VM list from a peer.
    FetchPeerVms {
        /// Its address.
        address: SocketAddr,
        /// Version of the current list.
        version: u64,
    },
}

/// Task queues of the threads.
#[derive(Debug, Clone)]
pub(crate) struct Tasks {
    records: Sender<Task>,
    vms: Sender<Task>,
    peers: Sender<Task>,
}

impl Tasks {
    /// Starts the threads, which send their results to `fleet`.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
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
                .spawn(move || run_platform_reader(&reader, &tasks, &fleet))?;
        }
        let fleet = fleet.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new().name("ask-peers".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_peer_reader(peers_rx, key, clock, metrics, fleet));
        })?;
        Ok(Self { records, vms, peers })
    }

    /// Queues a task, or drops it if its queue is full. The fleet state's timeouts then start the
    /// read or fetch again.
    pub(crate) fn submit(&self, task: Task) {
        let queue = match task {
            Task::ReadRecords { .. } => &self.records,
            Task::ReadVms { .. } => &self.vms,
            Task::FetchPeerRecords { .. } | Task::FetchPeerVms { .. } => &self.peers,
        };
        if queue.try_send(task).is_err() {
            tracing::warn!("records: task dropped because the queue is full.");
        }
    }
}

fn run_platform_reader(
    reader: &PlatformReader,
    tasks: &Receiver<Task>,
    fleet: &Sender<FleetCommand>,
) {
    for task in tasks {
        let result = match task {
            Task::ReadRecords { after, wait_ms, have } => {
                reader.read_records(after, wait_ms, have.as_deref())
            }
            Task::ReadVms { after, wait_ms } => {
                FleetInput::PlatformVms(reader.read_vms(after, wait_ms))
            }
            Task::FetchPeerRecords { .. } | Task::FetchPeerVms { .. } => continue,
        };
        if fleet.send(FleetCommand::Input(result)).is_err() {
            return;
        }
    }
}
