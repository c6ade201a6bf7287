//! Classes of requests by urgency.

use serde::{Deserialize, Serialize};

/// Urgency of a request. Engines receive it as a priority.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A request with a short answer that a person waits for during a call, such as a listing blurb
    /// or a lookup.
    Quick,
    /// One turn of a chat.
    #[default]
    Conversation,
    /// A request for a long document, such as a dossier, that must finish even if it takes long.
    Drafting,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Quick, Self::Conversation, Self::Drafting];

    /// Returns the name that records, headers and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Conversation => "conversation",
            Self::Drafting => "drafting",
        }
    }
}

/// One value for each class.
///
/// ```
/// use persimmon_records::{Class, PerClass};
///
/// let mut waiting = PerClass::<u32>::default();
/// *waiting.get_mut(Class::Quick) += 1;
/// assert_eq!(*waiting.get(Class::Quick), 1);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PerClass<T> {
    /// The value for [`Class::Quick`].
    pub quick: T,
    /// The value for [`Class::Conversation`].
    pub conversation: T,
    /// The value for [`Class::Drafting`].
    pub drafting: T,
}

impl<T: Clone> PerClass<T> {
    /// Returns the same value for every class.
    pub fn all(value: T) -> Self {
        Self { quick: value.clone(), conversation: value.clone(), drafting: value }
    }
}

impl<T> PerClass<T> {
    /// Returns the value for `class`.
    pub fn get(&self, class: Class) -> &T {
        match class {
            Class::Quick => &self.quick,
            Class::Conversation => &self.conversation,
            Class::Drafting => &self.drafting,
        }
    }

    /// Returns the value for `class` as a mutable reference.
    pub fn get_mut(&mut self, class: Class) -> &mut T {
        match class {
            Class::Quick => &mut self.quick,
            Class::Conversation => &mut self.conversation,
            Class::Drafting => &mut self.drafting,
        }
    }
}
