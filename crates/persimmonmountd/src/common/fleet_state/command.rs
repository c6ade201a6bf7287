//! Messages to the fleet state, and what it passes to the rest of the process.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::MonoMs;
use persimmon_decide::membership::{Digest, NodeId, ReportedLoad, VmList, VmName};
use persimmon_records::{ChangeSet, Generation, RecordIndex, SetVersion};
use persimmon_wire::RecordsUpdate;

/// A record set that was read, whole and checked or refused.
#[derive(Debug)]
pub(crate) struct Offered {
    /// The version that it has, as far as it could be read.
    pub(crate) version: Option<SetVersion>,
    /// The set with its lookups, or every fault.
    pub(crate) set: Result<Arc<RecordIndex>, String>,
    /// The latest changes, to pass on to peers.
    pub(crate) changes: Option<ChangeSet>,
}

/// What a task found.
#[derive(Debug)]
pub(crate) enum TaskResult {
    /// The platform was asked for records.
    PlatformRecords {
        /// When it was asked.
        asked_at: MonoMs,
        /// The platform's version of the value, and the set if it is higher than the one held;
        /// an error if the platform didn't answer.
        result: Result<PlatformRecords, String>,
    },
    /// The platform was asked for the VM list; none if nothing is newer or it didn't answer.
    PlatformVms(Option<VmList>),
    /// A peer was asked for records.
    PeerRecords {
        /// The peer.
        peer: VmName,
        /// When it was asked.
        asked_at: MonoMs,
        /// What it has in force, with the set if it is higher; none if it didn't answer.
        answer: Option<PeerRecords>,
    },
    /// A peer gave a VM list.
    PeerVms(VmList),
    /// A digest arrived.
    Digest {
        /// The digest.
        digest: Box<Digest>,
        /// Where it came from.
        from: SocketAddr,
    },
}

/// The platform's answer about records.
#[derive(Debug)]
pub(crate) struct PlatformRecords {
    /// The platform's version of the value.
    pub(crate) value_version: u64,
    /// The set, if it is higher than the one held or can't be used.
    pub(crate) offered: Option<Offered>,
}

/// A peer's answer about records.
#[derive(Debug)]
pub(crate) struct PeerRecords {
    /// What it has in force.
    pub(crate) in_force: Option<SetVersion>,
    /// The set, if it is higher than the one held or can't be used.
    pub(crate) offered: Option<Offered>,
}

/// One message to the fleet state.
#[derive(Debug)]
pub(crate) enum FleetCommand {
    /// What a task found.
    TaskResult(TaskResult),
    /// A peer asks for records, and has these.
    RecordsFor { have: Option<SetVersion>, reply: Sender<RecordsAnswer> },
    /// A peer asks for a VM list that is newer than this version.
    VmsFor { version: u64, reply: Sender<Option<VmList>> },
}

/// What a peer is to be given. The text is made on the thread that answers.
#[derive(Debug, Clone)]
pub(crate) struct RecordsAnswer {
    /// The set in force.
    pub(crate) set: Option<Arc<RecordIndex>>,
    /// The changes that lead there from what the peer has, if they are known.
    pub(crate) changes: Option<ChangeSet>,
    /// Whether the peer has less than the set in force.
    pub(crate) is_higher: bool,
}

impl RecordsAnswer {
    /// The message for the peer.
    pub(crate) fn to_update(&self) -> RecordsUpdate {
        let in_force = self.set.as_ref().map(|set| set.version());
        match (&self.set, &self.changes) {
            (Some(set), Some(changes)) if self.is_higher => RecordsUpdate::Changes {
                in_force: set.version(),
                text: Arc::from(changes.to_text()),
            },
            (Some(set), None) if self.is_higher => RecordsUpdate::Whole {
                in_force: set.version(),
                text: Arc::from(set.set().to_text()),
            },
            _ => RecordsUpdate::Unchanged { in_force },
        }
    }
}

/// What the rest of the process has to know.
#[derive(Debug)]
pub(crate) enum FleetChange {
    /// Records came into force.
    Adopted(Arc<RecordIndex>),
    /// The platform or a peer answered with the generation that it knows.
    Confirmed {
        /// When it was asked.
        asked_at: MonoMs,
        /// The generation that it knows.
        heard: Generation,
    },
    /// The VM list changed.
    Listed,
    /// Loads of endpoints were told.
    Loads(Vec<ReportedLoad>),
    /// Nodes are leaving.
    Left(Vec<NodeId>),
    /// Nodes that left take work again in a later life.
    Returned(Vec<NodeId>),
}
