//! Keeps a process's records, VM list and membership: what is in force, whom to ask, what to tell.
//!
//! The [`FleetState`] decides, on the control thread. Its [`Tasks`] read the platform, ask peers and
//! carry datagrams on threads of their own, and report as [`FleetCommand::TaskResult`].

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
pub(crate) use node_calls::{Greeter, Greeting, NoSidecar, NodeCalls};
pub(crate) use start::{ProcessRun, start_fleet_state};
