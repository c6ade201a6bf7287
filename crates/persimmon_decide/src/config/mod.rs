//! Configuration: which record set is in force.
