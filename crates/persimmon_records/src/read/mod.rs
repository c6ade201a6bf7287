//! Reads published texts, reporting every fault at once with its place.

mod endpoint;
mod fields;
mod policy;
mod set;
mod workspace;

pub(crate) use set::read_set;
