//! Orders that an engine executes.

use persimmon_records::ModelName;
use serde::{Deserialize, Serialize};

/// Role of an engine in serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates answers.
    #[default]
    Both,
    /// Only processes prompts.
    Prefill,
    /// Only generates answers.
    Decode,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model, or another version of it, in place of the present one.
    LoadModel(ModelName),
    /// Load an adapter for the model.
    LoadAdapter(ModelName),
    /// Change the engine's role.
    Role(EngineRole),
}

impl Order {
    /// Reports whether `newer` makes this order pointless.
    pub fn is_superseded_by(&self, newer: &Self) -> bool {
        match (self, newer) {
            (Self::LoadModel(_) | Self::LoadAdapter(_), Self::LoadModel(_))
            | (Self::Role(_), Self::Role(_)) => true,
            (Self::LoadAdapter(old), Self::LoadAdapter(new)) => old == new,
            _ => false,
        }
    }

    /// Reports whether the order reads from the platform's weight store.
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(_))
    }
}

/// Ordered or reported state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineState {
    /// Loaded model.
    pub model: Option<ModelName>,
    /// Loaded adapters, sorted by name.
    pub adapters: Vec<ModelName>,
    /// Role in serving.
    pub role: EngineRole,
}

impl EngineState {
    /// Applies an order that the engine has executed.
    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::LoadModel(model) => {
                self.model = Some(model.clone());
                self.adapters.clear();
            }
            Order::LoadAdapter(adapter) => {
                if let Err(index) = self.adapters.binary_search(adapter) {
                    self.adapters.insert(index, adapter.clone());
                }
            }
            Order::Role(role) => self.role = *role,
        }
    }
}
