use std::sync::Arc;

use names::{CustomerName, KindName, RegionName};

use super::RefusalReason;

/// Records the entry's metrics.
pub trait Observer: Send + Sync {
    /// Returns the observer of one request, by its customer and kind of work.
    fn class_observer(&self, customer: &CustomerName, kind: &KindName) -> Arc<dyn ClassObserver>;

    /// Records a request that was refused before its call started.
    fn record_rejection(&self, status: u16);
}

/// Records the metrics of one customer and kind of work.
pub trait ClassObserver: Send + Sync {
    /// Records that an endpoint's response was malformed, truncated or belonged to another request,
    /// and that its connection was closed.
    fn record_dropped_connection(&self) {}

    /// Records that the engine preempted the generation.
    fn record_preemption(&self) {}

    /// Records the time from the request for a permit to its grant.
    fn record_queueing_time(&self, _time_us: u64) {}

    /// Records bytes received from an endpoint's region; `None` if the region is unknown.
    fn record_received_bytes(&self, _region: Option<&RegionName>, _bytes: u64) {}

    /// Records that the request was refused.
    fn record_refusal(&self, _reason: RefusalReason) {}

    /// Records that the request was started again with another permit.
    fn record_restart(&self) {}

    /// Records that the stream of the generation was resumed at its endpoint.
    fn record_resume(&self) {}

    /// Records bytes sent to an endpoint's region; `None` if the region is unknown.
    fn record_sent_bytes(&self, _region: Option<&RegionName>, _bytes: u64) {}

    /// Records an interval between tokens that is long enough to count as a stall.
    fn record_stall(&self, _time_us: u64) {}

    /// Records the time from the arrival of the request to its first token.
    fn record_time_to_first_token(&self, _time_us: u64) {}

    /// Records the intervals between tokens since the last call, in order.
    fn record_token_intervals(&self, _intervals_us: &[u64]) {}

    /// Records tokens received for the client since the last call. Includes tokens that are
    /// discarded when a buffered response is started again.
    fn record_tokens(&self, _count: u64) {}
}
