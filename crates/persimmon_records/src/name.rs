//! Names as shared immutable strings, so that cloning a name doesn't copy its text.

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
            /// Wraps `text` unchanged; record validation checks the permitted characters.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the shared text, so that the interner can replace it by an equal one.
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
    /// Name of an endpoint: a model engine or a worker of a plain service.
    EndpointName
);
name_type!(
    /// Name of the team that lends an endpoint.
    LenderName
);
name_type!(
    /// Name of a model.
    ModelName
);
name_type!(
    /// Name of a plain service, such as a booking service.
    ServiceName
);
name_type!(
    /// Name of a workspace: one customer of the fleet.
    WorkspaceName
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);
