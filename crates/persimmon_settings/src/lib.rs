//! Settings from flags and environment variables, with all faults reported together.
//!
//! ```
//! use persimmon_settings::{Setting, Settings};
//!
//! let specs = [Setting::new("listen", "ADDRESS", "where callers connect")];
//! let args = ["--listen".to_owned(), "127.0.0.1:80".to_owned()];
//! let mut settings = Settings::read(&specs, &args, |_| None).unwrap();
//! let listen = settings.required::<std::net::SocketAddr>("listen");
//! settings.finish().unwrap();
//! assert_eq!(listen.unwrap().port(), 80);
//! ```

mod fault;
mod setting;
mod settings;

pub use fault::{SettingFault, SettingsError};
pub use setting::Setting;
pub use settings::Settings;
