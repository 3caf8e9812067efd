use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// Column of the table, or the part of an edit that a problem refers to.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Column {
    /// Version of the line when the CSV file was exported.
    Base,
    /// List of changes of an edit.
    Changes,
    /// Customer of a row or key.
    Customer,
    /// Hash of a key.
    Key,
    /// Kind of work.
    Kind,
    /// Models that may serve the row.
    Models,
    /// Priority of the row's requests at the engines.
    Priority,
    /// Most queued requests at a time.
    QueuedMax,
    /// Longest queueing time, in milliseconds.
    QueueingMsMax,
    /// Most running requests at a time.
    RunningMax,
    /// Most generated tokens per second.
    TokensPerSecondMax,
    /// Percentage of the row's engine share that urgent requests may use.
    UrgentSharePercent,
    /// Share of engine time.
    Weight,
    /// Local time at which the window closes.
    WindowEnd,
    /// Priority inside the window.
    WindowPriority,
    /// Local time at which the window opens.
    WindowStart,
    /// Time zone of the window.
    WindowTimeZone,
    /// Weight inside the window.
    WindowWeight,
}

impl Column {
    /// Columns of a CSV file, in the order of an export.
    pub const CSV: [Self; 16] = [
        Self::Customer,
        Self::Kind,
        Self::Weight,
        Self::Priority,
        Self::RunningMax,
        Self::TokensPerSecondMax,
        Self::QueuedMax,
        Self::QueueingMsMax,
        Self::UrgentSharePercent,
        Self::Models,
        Self::WindowStart,
        Self::WindowEnd,
        Self::WindowTimeZone,
        Self::WindowWeight,
        Self::WindowPriority,
        Self::Base,
    ];

    /// Name in CSV headers, JSON fields and problems.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Base => "base",
            Self::Changes => "changes",
            Self::Customer => "customer",
            Self::Key => "key",
            Self::Kind => "kind",
            Self::Models => "models",
            Self::Priority => "priority",
            Self::QueuedMax => "queued_max",
            Self::QueueingMsMax => "queueing_ms_max",
            Self::RunningMax => "running_max",
            Self::TokensPerSecondMax => "tokens_per_second_max",
            Self::UrgentSharePercent => "urgent_share_percent",
            Self::Weight => "weight",
            Self::WindowEnd => "window_end",
            Self::WindowPriority => "window_priority",
            Self::WindowStart => "window_start",
            Self::WindowTimeZone => "window_time_zone",
            Self::WindowWeight => "window_weight",
        }
    }
}

impl Display for Column {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
