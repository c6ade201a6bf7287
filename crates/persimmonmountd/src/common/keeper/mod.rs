//! Synchronises a process's records, VM list and membership with the platform and with peers.
//!
//! The [`FleetState`] makes the decisions on the control thread. Its [`Tasks`](tasks::Tasks) read
//! from the platform and from peers on their own threads, and its [`Gossip`](gossip::Gossip)
//! receives datagrams on another; both send their results as [`FleetCommand::Input`].
//!
//! The module is still called `keeper` because its path is the default target of its log lines,
//! which operators filter by.

mod command;
mod gossip;
#[expect(clippy::module_inception, reason = "its path is the default target of its log lines")]
mod keeper;
mod node_calls;
mod peer_reader;
mod platform_reader;
mod start;
mod tasks;

pub(crate) use command::{FleetChange, FleetCommand};
pub(crate) use keeper::FleetState;
pub(crate) use node_calls::{NoSidecar, NodeCalls, SidecarHandle, SidecarProvider};
pub(crate) use start::{ProcessRun, start_fleet_state};
