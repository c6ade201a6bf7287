//! Readers of published texts, which report all faults of a text, each with its place.

mod endpoint;
mod fields;
mod head;
mod policy;
mod set;
mod workspace;

pub(crate) use head::{read_change_set, read_head};
pub(crate) use set::read_set;
