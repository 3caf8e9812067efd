use crate::EndpointLimit;

/// Longest pause that an endpoint can request.
const PAUSE_MS_MAX: u64 = 3_600_000;

/// What one incarnation of an endpoint has said in its responses about further requests.
#[derive(Debug, Default)]
pub struct EndpointNotice {
    is_leaving: bool,
    /// Limit on the requests of all instances.
    pub limit: EndpointLimit,
    paused_until_ms: u64,
}

impl EndpointNotice {
    /// Records that the endpoint leaves; returns whether it has not said so before.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the endpoint wants no requests for a time; returns whether this begins a pause.
    pub fn record_retry_after(&mut self, now_ms: u64, retry_after_ms: u64) -> bool {
        let was_paused = self.is_paused(now_ms);
        let until_ms = now_ms + retry_after_ms.min(PAUSE_MS_MAX);
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
        !was_paused && self.is_paused(now_ms)
    }

    /// Whether the endpoint has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether the endpoint wants no requests for now.
    #[must_use]
    pub fn is_paused(&self, now_ms: u64) -> bool {
        self.pause_left_ms(now_ms) > 0
    }

    /// Time until the endpoint takes requests again; 0 unless it is paused.
    #[must_use]
    pub fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.paused_until_ms.saturating_sub(now_ms)
    }
}
