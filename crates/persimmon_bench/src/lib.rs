//! Seeded, counting benchmarks of the decisions, with regression bounds.
