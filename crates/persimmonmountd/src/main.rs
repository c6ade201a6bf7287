//! Placeholder binary entry.
fn main() {}
