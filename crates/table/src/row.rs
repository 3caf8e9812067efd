use std::fmt::{self, Display, Formatter};

use names::{CustomerName, KindName, ModelName};
use serde::{Deserialize, Serialize};

use crate::Window;

/// Limits, weight and priority of one customer and kind of work, set by the operators.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Models that may serve the requests, sorted; every model if empty.
    pub models: Vec<ModelName>,
    /// Priority of the requests at the engines; a greater value is served first.
    pub priority: i32,
    /// Most queued requests at a time.
    pub queued_max: u32,
    /// Longest queueing time, in milliseconds.
    pub queueing_ms_max: u32,
    /// Most running requests at a time.
    pub running_max: u32,
    /// Most generated tokens per second on average; `None` for no limit.
    pub tokens_per_second_max: Option<u32>,
    /// Percentage of the row's engine share that urgent requests may use, 0 to 100.
    pub urgent_share_percent: u8,
    /// Share of engine time relative to other rows.
    pub weight: u32,
    /// Daily period with another weight and priority.
    pub window: Option<Window>,
}

impl Row {
    /// First time after `now_ms` at which [`Row::weight_and_priority_at`] may change.
    #[must_use]
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        self.window.as_ref()?.next_change_ms(now_ms)
    }

    /// Weight and priority at `now_ms`, in milliseconds since 1970 in UTC.
    #[must_use]
    pub fn weight_and_priority_at(&self, now_ms: u64) -> WeightAndPriority {
        match &self.window {
            Some(window) if window.contains(now_ms) => WeightAndPriority {
                priority: window.priority,
                weight: window.weight,
            },
            _ => WeightAndPriority {
                priority: self.priority,
                weight: self.weight,
            },
        }
    }
}

/// Customer and kind that identify one row.
#[derive(Debug, Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// The customer.
    pub customer: CustomerName,
    /// The kind of work.
    pub kind: KindName,
}

impl Display for RowKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.kind)
    }
}

/// Weight and priority of a row that apply at a given time.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct WeightAndPriority {
    /// Priority of the requests at the engines; a greater value is served first.
    pub priority: i32,
    /// Share of engine time relative to other rows.
    pub weight: u32,
}
