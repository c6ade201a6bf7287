//! Classes of requests, from the most to the least urgent.

use serde::{Deserialize, Serialize};

/// How urgent a request is. Engines receive it as a priority.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A short answer that somebody waits for on a call, such as a listing blurb or a lookup.
    Quick,
    /// A turn of a chat.
    #[default]
    Conversation,
    /// A long draft, such as a dossier, that must finish even when slow.
    Drafting,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Quick, Self::Conversation, Self::Drafting];

    /// The name that records, headers and metrics use.
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
    /// The same value for every class.
    pub fn all(value: T) -> Self {
        Self { quick: value.clone(), conversation: value.clone(), drafting: value }
    }
}

impl<T> PerClass<T> {
    /// The value for `class`.
    pub fn get(&self, class: Class) -> &T {
        match class {
            Class::Quick => &self.quick,
            Class::Conversation => &self.conversation,
            Class::Drafting => &self.drafting,
        }
    }

    /// The value for `class`, to change it.
    pub fn get_mut(&mut self, class: Class) -> &mut T {
        match class {
            Class::Quick => &mut self.quick,
            Class::Conversation => &mut self.conversation,
            Class::Drafting => &mut self.drafting,
        }
    }
}
