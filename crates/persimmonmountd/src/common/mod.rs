//! Modules that both roles use: settings, logging, tracing, metrics, operator pages, the peer
//! server, and the state of the fleet.

mod http_client;
#[cfg(test)]
mod http_client_tests;
mod inputs;
mod keeper;
mod limits;
mod logging;
mod metrics;
mod ops;
mod peer_server;
mod platform;
mod ready;
mod settings;
mod signals;
mod status;
mod trace_context;

pub(crate) use http_client::{HttpAnswer, HttpError, HttpRequest};
pub(crate) use inputs::{Input, ask, next_input};
pub(crate) use keeper::{
    FleetChange, FleetCommand, FleetState, NoSidecar, NodeCalls, ProcessRun, SidecarHandle,
    SidecarProvider, start_fleet_state,
};
pub(crate) use limits::rate_of;
pub(crate) use logging::start_logging;
pub(crate) use metrics::Metrics;
pub(crate) use ops::{OpsServer, Readiness};
pub(crate) use peer_server::PeerServer;
pub(crate) use persimmon_process::Clock;
pub(crate) use platform::{Platform, WeightsRead};
pub(crate) use ready::print_ready;
pub(crate) use settings::{ROUTER_SPECS, RouterSettings, SIDECAR_SPECS, SidecarSettings};
pub(crate) use signals::on_stop_signal;
pub(crate) use status::{LoadStatus, LoadWaitStatus, OutcomeCounts, Status};
pub(crate) use trace_context::{TraceContext, random_u64};
