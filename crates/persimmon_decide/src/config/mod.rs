//! Configuration: adoption of record sets, start-up, and reads of the platform.

mod adoption;
mod startup;
mod startup_settings;
mod watch;
mod watch_settings;

pub use adoption::{Adoption, Conflict, InForce, OfferResult, RefusedSet, Source};
pub use startup::{NotReady, Startup, StartupStep};
pub use startup_settings::StartupSettings;
pub use watch::{PlatformRead, Watch, watch_rank};
pub use watch_settings::WatchSettings;
