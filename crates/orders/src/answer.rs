use serde::{Deserialize, Serialize};

use crate::{Fencing, OrderId, Outcome};

/// Answer to a command.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The order is taken, now or by an earlier command of the same name.
    Accepted {
        /// Its number.
        fencing: Fencing,
    },
    /// Another order of the endpoint is open.
    Busy {
        /// The open order.
        open: OrderId,
    },
    /// The command took effect.
    Done,
    /// The budget of the weight store is used up.
    Full,
    /// The name was used for another order.
    Mismatch,
    /// No order in the right state has that name or number.
    NotOpen,
    /// The order has ended.
    Settled {
        /// Its number.
        fencing: Fencing,
        /// How it ended.
        outcome: Outcome,
    },
}
