use serde::{Deserialize, Serialize};

use crate::{FencingNumber, OrderId, Outcome};

/// Answer of the replicated orders to a [`Command`](crate::Command).
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The order is accepted, now or by an earlier command with the same identifier.
    Accepted {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// Another order for the endpoint is open.
    Busy {
        /// The open order.
        open: OrderId,
    },
    /// The command took effect.
    Applied,
    /// As many loads run as the budget of the weight store allows.
    BudgetExhausted,
    /// The identifier belongs to a different order.
    IdReused,
    /// No order in the required state has that identifier or fencing number.
    NotOpen,
    /// The order has ended.
    Settled {
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// How it ended.
        outcome: Outcome,
    },
}
