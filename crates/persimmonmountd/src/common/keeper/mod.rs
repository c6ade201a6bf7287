//! Keeps a process's records, VM list and membership: what is in force, whom to ask, what to tell.
//!
//! The [`Keeper`] decides, on the control thread. Its [`Tasks`] read the platform, ask peers and
//! carry datagrams on threads of their own, and report as [`KeeperCommand::News`].

mod command;
mod gossip;
#[expect(clippy::module_inception, reason = "the module's main type has its name")]
mod keeper;
mod node_calls;
mod peer_asker;
mod platform_reader;
mod start;
mod tasks;

pub(crate) use command::{KeeperChange, KeeperCommand};
pub(crate) use keeper::Keeper;
pub(crate) use node_calls::{Greeter, Greeting, NoSidecar, NodeCalls};
pub(crate) use start::{Life, start_keeper};
