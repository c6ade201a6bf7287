//! What an engine can be told to do.

use persimmon_records::ModelName;
use serde::{Deserialize, Serialize};

/// What part an engine takes in serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model, or another version of it, in place of the one loaded.
    LoadModel(ModelName),
    /// Load an adapter for the model.
    LoadAdapter(ModelName),
    /// Change the role.
    Role(EngineRole),
}

impl Order {
    /// Whether `newer` makes this order pointless.
    pub fn is_superseded_by(&self, newer: &Self) -> bool {
        match (self, newer) {
            (Self::LoadModel(_) | Self::LoadAdapter(_), Self::LoadModel(_))
            | (Self::Role(_), Self::Role(_)) => true,
            (Self::LoadAdapter(old), Self::LoadAdapter(new)) => old == new,
            _ => false,
        }
    }

    /// Whether it reads from the platform's weight store.
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(_))
    }
}

/// What an engine was ordered to be, or says that it is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineState {
    /// The model loaded.
    pub model: Option<ModelName>,
    /// Adapters loaded, in the order of their names.
    pub adapters: Vec<ModelName>,
    /// The role.
    pub role: EngineRole,
}

impl EngineState {
    /// Applies an order that was done.
    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => {
                self.model = Some(model.clone());
                self.adapters.clear();
            }
            Order::LoadAdapter(adapter) => {
                if let Err(place) = self.adapters.binary_search(adapter) {
                    self.adapters.insert(place, adapter.clone());
                }
            }
            Order::Role(role) => self.role = *role,
        }
    }
}
