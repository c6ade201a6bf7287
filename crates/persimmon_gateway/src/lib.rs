//! The gateway role: callers' HTTP requests go straight to endpoints, without a sidecar between.
//!
//! Every decision is made in `persimmon_decide::forward`; this crate carries bytes and keeps time.

mod answer;
mod body;
mod callers;
mod control;
mod events;
mod exchange;
mod gateway;
mod head;
mod http;
mod in_flight;
mod log_limiter;
mod logging;
mod metrics;
mod ops;
mod peers;
mod plan;
mod platform;
mod refusal;
mod relay;
mod run;
mod settings;
mod status;
mod store_reader;
mod upstream;

pub use logging::start_logging;
pub use platform::{DecodeError, DecodedRecord, HeaderNames, Platform, RecordPage, RecordSubject};
pub use run::run_gateway;
pub use settings::GatewaySettings;
