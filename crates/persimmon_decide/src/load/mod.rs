//! Placement, admission and limits: where a request goes and when it runs.
