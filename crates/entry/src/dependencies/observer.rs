use std::sync::Arc;

use names::{CustomerName, KindName, RegionName};

use super::RefusalReason;

/// Hands out observers, one a request.
pub trait Observer: Send + Sync {
    /// The observer of a customer and kind of work.
    fn class_observer(&self, customer: &CustomerName, kind: &KindName) -> Arc<dyn ClassObserver>;

    /// A request was refused before its class was known.
    fn record_rejection(&self, status: u16);
}

/// Takes the measurements of one customer and kind of work.
pub trait ClassObserver: Send + Sync {
    /// An answer of an endpoint was malformed, crossed or truncated, and its connection dropped.
    fn record_dropped_connection(&self) {}

    /// Time from the arrival of the request to its first token.
    fn record_time_to_first_token(&self, _time_us: u64) {}

    /// Bytes came from an endpoint's region; none where the region is unknown.
    fn record_received_bytes(&self, _region: Option<&RegionName>, _bytes: u64) {}

    /// The engine reported a preemption.
    fn record_preemption(&self) {}

    /// Time from asking for a permit to its grant.
    fn record_queueing_time(&self, _time_us: u64) {}

    /// The request was refused.
    fn record_refusal(&self, _reason: RefusalReason) {}

    /// The generation was started again elsewhere.
    fn record_restart(&self) {}

    /// The generation was resumed at its endpoint.
    fn record_resume(&self) {}

    /// Bytes went to an endpoint's region; none where the region is unknown.
    fn record_sent_bytes(&self, _region: Option<&RegionName>, _bytes: u64) {}

    /// A gap between tokens was long enough to count as a stall.
    fn record_stall(&self, _time_us: u64) {}

    /// Times between tokens since the last call, in order.
    fn record_token_intervals(&self, _intervals_us: &[u64]) {}

    /// Tokens taken for the caller since the last call; also those of a whole answer that is then
    /// started again.
    fn record_tokens(&self, _count: u64) {}
}
