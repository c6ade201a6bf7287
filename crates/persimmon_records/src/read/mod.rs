//! Reads published texts, reporting every fault at once with its place.

mod endpoint;
mod fields;
mod head;
mod policy;
mod set;
mod workspace;

pub(crate) use head::{read_change_set, read_head};
pub(crate) use set::read_set;
