use names::{DataCentreName, EndpointName};
use serde::{Deserialize, Serialize};

use crate::{Change, Fencing, OrderId, Outcome};

/// A command of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Cancels an order that has not started.
    Cancel {
        /// The order.
        id: OrderId,
    },
    /// Gives an order.
    Order {
        /// What it changes.
        change: Change,
        /// Data centre of the endpoint.
        data_centre: DataCentreName,
        /// The endpoint.
        endpoint: EndpointName,
        /// Name of the order.
        id: OrderId,
    },
    /// Records how a started order ended.
    Record {
        /// The endpoint.
        endpoint: EndpointName,
        /// Number of the order.
        fencing: Fencing,
        /// How it ended.
        outcome: Outcome,
    },
    /// Changes the number of loads that may run at once.
    SetBudget {
        /// Most loads at once over the whole fleet.
        loads_max: u32,
    },
    /// Lets a waiting order be sent.
    Start {
        /// The endpoint.
        endpoint: EndpointName,
        /// Number of the order.
        fencing: Fencing,
    },
}
