use names::{DataCentreName, EndpointName};
use serde::{Deserialize, Serialize};

use crate::{Change, FencingNumber, OrderId, Outcome};

/// A command of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Cancels an order that has not started.
    Cancel {
        /// Identifier of the order.
        id: OrderId,
    },
    /// Opens an order for an endpoint.
    Order {
        /// What it changes.
        change: Change,
        /// Data centre of the endpoint.
        data_centre: DataCentreName,
        /// The endpoint.
        endpoint: EndpointName,
        /// Identifier of the order.
        id: OrderId,
    },
    /// Records how a started order ended.
    RecordOutcome {
        /// The endpoint.
        endpoint: EndpointName,
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// How it ended.
        outcome: Outcome,
    },
    /// Sets the budget of the weight store.
    SetBudget {
        /// Limit on concurrent loads in the whole fleet.
        loads_max: u32,
    },
    /// Allows a waiting order to be sent.
    Start {
        /// The endpoint.
        endpoint: EndpointName,
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
}
