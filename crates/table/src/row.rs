use std::fmt::{self, Display, Formatter};

use names::{CustomerName, KindName, ModelName};
use serde::{Deserialize, Serialize};

use crate::Window;

/// What the operators give one customer and kind of work.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Models that may serve it, sorted; every model that serves the kind where empty.
    pub models: Vec<ModelName>,
    /// Priority towards engines; greater goes first.
    pub priority: i32,
    /// Most requests that wait at once.
    pub queued_max: u32,
    /// Longest time in the queue.
    pub queueing_ms_max: u32,
    /// Most requests that run at once.
    pub running_max: u32,
    /// Most generated tokens a second, averaged; unlimited where none.
    pub tokens_per_second_max: Option<u32>,
    /// Part of the row's own share that urgent requests may take, 0 to 100.
    pub urgent_share_percent: u8,
    /// Share of engine time relative to other rows.
    pub weight: u32,
    /// Daily span of time with a weight and priority of its own.
    pub window: Option<Window>,
}

impl Row {
    /// First time after `now_ms` at which [`Row::weight_and_priority_at`] may give another answer.
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

/// Names one row.
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

/// Weight and priority of a row at one time.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct WeightAndPriority {
    /// Priority towards engines; greater goes first.
    pub priority: i32,
    /// Share of engine time relative to other rows.
    pub weight: u32,
}
