//! Messages to the fleet state, and the changes that it reports to the role.

use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;
use persimmon_decide::MonoMs;
use persimmon_decide::membership::{Digest, NodeId, ReportedLoad, VmList, VmName};
use persimmon_records::{ChangeSet, Generation, RecordIndex, SetVersion};
use persimmon_wire::RecordsUpdate;

/// A record set offered for adoption, either valid or with its faults.
#[derive(Debug)]
pub(crate) struct Offered {
    /// Version of the set, or `None` if it can't be parsed.
    pub(crate) version: Option<SetVersion>,
    /// The indexed set, or a description of its faults.
    pub(crate) set: Result<Arc<RecordIndex>, String>,
    /// The latest changes, which peers can apply to an earlier set.
    pub(crate) changes: Option<ChangeSet>,
}

/// Data received from the platform or a peer, or a failure to read it.
#[derive(Debug)]
pub(crate) enum FleetInput {
    /// Result of reading records from the platform.
    PlatformRecords {
        /// When the read started.
        requested_at: MonoMs,
        /// The records, or why the read failed.
        result: Result<PlatformRecords, String>,
    },
    /// VM list from the platform, or `None` if there is no newer list or the read failed.
    PlatformVms(Option<VmList>),
    /// Result of fetching records from a peer.
    PeerRecords {
        /// The peer.
        peer: VmName,
        /// When the fetch started.
        requested_at: MonoMs,
        /// The peer's answer, or `None` if the fetch failed.
        answer: Option<PeerRecords>,
    },
    /// VM list from a peer.
    PeerVms(VmList),
    /// A digest from a peer.
    Digest {
        /// The digest.
        digest: Box<Digest>,
        /// Source address of the datagram.
        from: SocketAddr,
    },
}

/// The platform's answer about records.
#[derive(Debug)]
pub(crate) struct PlatformRecords {
    /// Version of the value on the platform.
    pub(crate) value_version: u64,
    /// The set, if its version differs from the set in force or it is invalid.
    pub(crate) offered: Option<Offered>,
}

/// A peer's answer about records.
#[derive(Debug)]
pub(crate) struct PeerRecords {
    /// Version that the peer has in force.
    pub(crate) in_force: Option<SetVersion>,
    /// The set, if the peer sent one.
    pub(crate) offered: Option<Offered>,
}

/// A message to the fleet state.
#[derive(Debug)]
pub(crate) enum FleetCommand {
    /// Data from the platform or a peer, or a failure to read it.
    Input(FleetInput),
    /// A peer's request for records; the peer has the version `have` in force.
    RecordsFor { have: Option<SetVersion>, reply: Sender<RecordsAnswer> },
    /// A peer's request for the VM list if its version is higher than `version`.
    VmsFor { version: u64, reply: Sender<Option<VmList>> },
}

/// Records for a peer. The thread that replies to the peer serialises them.
#[derive(Debug, Clone)]
pub(crate) struct RecordsAnswer {
    /// The set in force.
    pub(crate) set: Option<Arc<RecordIndex>>,
    /// The changes from the peer's set to the set in force, if they are known.
    pub(crate) changes: Option<ChangeSet>,
    /// Whether the set in force has a higher version than the peer's set.
    pub(crate) is_higher: bool,
}

impl RecordsAnswer {
    /// Creates the message for the peer.
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

/// A change that the role has to handle.
#[derive(Debug)]
pub(crate) enum FleetChange {
    /// New records are in force.
    Adopted(Arc<RecordIndex>),
    /// The platform or a peer answered with the generation that it has.
    Confirmed {
        /// When the request was sent.
        requested_at: MonoMs,
        /// The generation in the answer.
        generation: Generation,
    },
    /// The VM list changed.
    VmsChanged,
    /// Loads of endpoints, reported by peers.
    Loads(Vec<ReportedLoad>),
    /// Nodes that started to leave.
    Left(Vec<NodeId>),
    /// Nodes that left and accept requests again in a later incarnation.
    Returned(Vec<NodeId>),
}
