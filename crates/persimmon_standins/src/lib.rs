//! Stand-ins for the external systems that the fleet depends on, for tests and the demo.
//!
//! Each stand-in runs on its own threads, listens on a port that the operating system assigns, can
//! be switched into failure modes and counts the requests it receives. None of them is part of the
//! daemon.

pub mod fleet;

mod crowd;
mod engine;
mod http;
mod platform;
mod process_usage;
mod relay;
mod relay_control;
mod service;

pub use crowd::{Crowd, CrowdMessage};
pub use engine::{
    Admission, Engine, EngineBuilder, EngineCounts, EngineSwitch, Fence, MAX_ANSWER_TOKENS,
    Message, expected_answer, prompt_tokens,
};
pub use platform::{Platform, PlatformBuilder, PlatformCounts, PlatformSwitch};
pub use process_usage::{ProcessUsage, SocketBytes};
pub use relay::{Direction, Relay, RelaySwitch, rebind, reset_on_close};
pub use relay_control::RelayControl;
pub use service::{Service, ServiceCounts, ServiceSwitch};
