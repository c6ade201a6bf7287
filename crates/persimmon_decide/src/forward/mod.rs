//! Forwarding of HTTP requests to endpoints: routing, endpoint selection, retries, and the state
//! that the gateways of a fleet exchange.

mod admission;
mod attempt;
mod attempt_end;
mod crash_reports;
mod crash_suspects;
mod crash_tracker;
mod crash_trials;
mod digest;
mod directory;
mod duration_tracker;
mod endpoint;
mod endpoint_limits;
mod endpoint_pauses;
mod event_position;
mod first_byte_timeout;
mod gateway_rank;
mod gateway_shares;
mod health;
mod idle_limit;
mod load_tracker;
mod lost_requests;
mod peer_sums;
mod peer_table;
mod picker;
mod prefix_map;
mod request_signature;
mod retry_window;
mod route;
mod served_versions;
mod shutdown;
mod startup_records;
mod store_position;
mod store_view;
mod stream_message;
mod stream_progress;
mod stream_versions;
mod waiting_time;
mod workspace_shares;

pub use admission::{Admission, AdmissionInput, AdmissionSettings};
pub use attempt::{AttemptLog, AttemptOutcome, FailureKind, NextStep};
pub use attempt_end::{AttemptEnd, CrashEvidence, FailureReason};
pub use crash_reports::{AnswerReport, CrashReport, CrashReports};
pub use crash_tracker::CrashTracker;
pub use digest::{CrashDetail, Digest, PartHolder, PeerAddress, ServiceRetries};
pub use directory::EndpointDirectory;
pub use duration_tracker::DurationTracker;
pub use endpoint::{Endpoint, EndpointId, EndpointState};
pub use endpoint_limits::{EndpointLimits, LimitReport, NamedLimit};
pub use endpoint_pauses::EndpointPauses;
pub use event_position::EventPosition;
pub use first_byte_timeout::FirstByteTimeout;
use gateway_shares::GatewayShares;
pub use health::{HealthSettings, HealthTracker, Outcomes};
pub use idle_limit::IdleLimit;
pub use load_tracker::{EndpointLoad, LoadTracker};
pub use peer_table::{DigestFreshness, PeerTable};
pub use picker::{Choice, FleetView, NoChoice, PickRequest, Picker, PickerSettings};
pub use prefix_map::{PrefixMap, PromptPart};
pub use request_signature::{Quarantined, RequestSignature};
pub use retry_window::{RetryWindow, RetryWindowSettings};
pub use route::{
    CallerLimits, CallerLookup, EngineSpec, Rank, Repeatable, Route, RouteTable, ServiceSpec,
    ServiceWeight, Workspace,
};
pub use served_versions::ServedVersions;
pub use shutdown::{Shutdown, ShutdownSettings};
pub use startup_records::{RecordsVersion, StartupRecords};
pub use store_position::StoreEra;
pub use store_view::{StoreChange, StoreDelta, StoreRecord, StoreView};
pub use stream_message::StreamMessage;
pub use stream_progress::{BrokenOff, StreamProgress};
pub use stream_versions::{StreamKey, StreamOrigin, StreamVersions};
pub use waiting_time::WaitingTime;
pub use workspace_shares::WorkspaceShares;
