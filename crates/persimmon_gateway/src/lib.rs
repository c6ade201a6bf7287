//! The gateway role: forwards callers' HTTP requests directly to endpoints, without a sidecar; and the
//! holder role, which stores on endpoints' VMs what gateways must not lose when all of them end.
//!
//! `persimmon_decide::forward` makes all decisions; this crate does the I/O and reads the clock.

mod answer;
mod answer_buffer;
mod body;
#[cfg(test)]
mod body_tests;
mod callers;
mod control;
mod crash_holders;
mod evacuation;
mod events;
mod exchange;
mod framing;
mod gateway;
mod head;
mod holder;
mod http;
mod in_flight;
mod logging;
mod metrics;
mod notices;
mod open_requests;
mod ops;
mod peer_records;
mod peers;
mod plan;
mod platform;
mod record_answers;
#[cfg(test)]
mod record_answers_tests;
mod refusal;
mod relay;
mod run;
mod settings;
mod shutdown;
mod status;
mod store_fallback;
mod store_reader;
mod stream_versions;
mod transfer;
#[cfg(test)]
mod transfer_tests;
mod update_codec;
#[cfg(test)]
mod update_codec_tests;
mod upstream;
mod version_history;
mod watched_stream;

pub use holder::{HolderSettings, run_holder};
pub use logging::Logging;
pub use platform::{DecodeError, DecodedRecord, HeaderNames, Platform, RecordPage, RecordSubject};
pub use run::run_gateway;
pub use settings::GatewaySettings;
