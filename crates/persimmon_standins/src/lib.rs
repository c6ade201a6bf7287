//! Stand-ins for the outside systems that the fleet meets, for tests and for the demo.
//!
//! Each stand-in runs on threads of its own behind a port that the system chose, has switches that
//! provoke failures and counts what reached it. None is part of the daemon.

pub mod fleet;

mod engine;
mod http;
mod platform;
mod relay;
mod relay_control;
mod service;

pub use engine::{
    Admission, Engine, EngineBuilder, EngineCounts, EngineSwitch, Fence, MAX_ANSWER_TOKENS,
    Message, expected_answer, prompt_tokens,
};
pub use platform::{Platform, PlatformBuilder, PlatformCounts, PlatformSwitch};
pub use relay::{Direction, Relay, RelaySwitch, rebind};
pub use relay_control::RelayControl;
pub use service::{Service, ServiceCounts, ServiceSwitch};
