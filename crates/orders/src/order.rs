use names::{DataCentreName, EndpointName, ModelName};
use serde::{Deserialize, Serialize};
use session::EngineRole;

/// What an order changes on an engine.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Takes another part of the work.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
    /// Loads weights from the store.
    Load {
        /// An adapter of the model, or the model itself where none.
        adapter: Option<String>,
        /// The model.
        model: ModelName,
        /// Version of the model or adapter.
        version: String,
    },
    /// Gives weights up.
    Unload {
        /// An adapter of the model, or the model itself where none.
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

/// Number of an order towards engines: its position in the replicated log.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fencing(pub u64);

/// Names an order; chosen by whoever gives it, so that a repeat is recognised.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderId(pub u128);

/// An open order.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// What it changes.
    pub change: Change,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its number towards the engine.
    pub fencing: Fencing,
    /// Its name.
    pub id: OrderId,
    /// How far it is.
    pub state: OrderState,
}

/// How far an open order is.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderState {
    /// It may have been sent.
    Started,
    /// Nothing was sent.
    Waiting,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It was cancelled before it started.
    Cancelled,
    /// The engine is in the ordered state.
    Done,
    /// The engine refused or could not carry it out.
    Failed,
    /// The endpoint is gone; the order may have taken effect.
    Unknown,
}
