//! Synchronises a process's records, VM list and membership with the platform and with peers.
//!
//! The [`FleetState`] makes the decisions on the control thread. Its [`Tasks`](tasks::Tasks) read
//! from the platform and from peers on their own threads, and its [`Gossip`](gossip::Gossip)
//! receives datagrams on another; both send their results as [`FleetCommand::Input`].

mod command;
#[expect(clippy::module_inception, reason = "the module's main type has its name")]
mod fleet_state;
mod gossip;
mod node_calls;
mod peer_reader;
mod platform_reader;
mod start;
mod tasks;

pub(crate) use command::{FleetChange, FleetCommand};
pub(crate) use fleet_state::FleetState;
pub(crate) use node_calls::{NoSidecar, NodeCalls, SidecarHandle, SidecarProvider};
pub(crate) use start::{ProcessRun, start_fleet_state};
