//! Stand-ins for the outside systems, and the demo that starts a whole fleet.
