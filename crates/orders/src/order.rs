use names::{DataCentreName, EndpointName, ModelName};
use serde::{Deserialize, Serialize};
use session::EngineRole;

/// What an order changes on an engine.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Changes which phases of a generation the engine computes.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
    /// Loads weights from the store.
    Load {
        /// An adapter of the model; `None` for the model itself.
        adapter: Option<String>,
        /// The model.
        model: ModelName,
        /// Version of the model or adapter.
        version: String,
    },
    /// Unloads weights from the engine.
    Unload {
        /// An adapter of the model; `None` for the model itself.
        adapter: Option<String>,
        /// The model.
        model: ModelName,
        /// Version of the model or adapter.
        version: String,
    },
}

impl Change {
    /// Whether the change reads from the weight store.
    #[must_use]
    pub fn is_load(&self) -> bool {
        matches!(self, Self::Load { .. })
    }
}

/// Fencing number of an order: its position in the replicated log.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FencingNumber(pub u64);

/// Identifier of an order, chosen by its sender so that a repeated command is recognised.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderId(pub u128);

/// An order that has not ended.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// What it changes.
    pub change: Change,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// Its identifier.
    pub id: OrderId,
    /// Whether it may have been sent.
    pub state: OrderState,
}

/// Whether an open order may have been sent.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderState {
    /// It may have been sent.
    Started,
    /// It was not sent.
    Waiting,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It was cancelled before it started.
    Cancelled,
    /// The engine is in the ordered state.
    Done,
    /// The engine refused the order or could not execute it.
    Failed,
    /// The endpoint's lease lapsed; the order may have taken effect.
    Unknown,
}
