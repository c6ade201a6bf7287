//! The protocols between the processes of the fleet.
