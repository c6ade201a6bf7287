//! Names, as shared immutable strings: cloning one never copies its text.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` as it stands; record validation checks the permitted characters.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// The shared text, to let equal names hold one copy.
            pub(crate) fn shared_mut(&mut self) -> &mut Arc<str> {
                &mut self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// Names an endpoint: a model engine or a worker of a plain service.
    EndpointName
);
name_type!(
    /// Names the team that lends an endpoint.
    LenderName
);
name_type!(
    /// Names a model.
    ModelName
);
name_type!(
    /// Names a plain service, such as a booking service.
    ServiceName
);
name_type!(
    /// Names a workspace: one customer of the fleet.
    WorkspaceName
);
name_type!(
    /// Names an availability zone.
    ZoneName
);
