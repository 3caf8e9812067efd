use std::sync::Arc;

use names::EndpointName;

use super::shared_state::SharedState;
use crate::dependencies::ClassObserver;

/// Most intervals buffered before they are reported.
const BATCH_INTERVALS_MAX: usize = 32;

/// Shortest interval between tokens that counts as a stall.
const STALL_INTERVAL_US: u64 = 500_000;

/// Collects the measurements of one request and reports them to its observer in batches.
pub(crate) struct RequestMetrics {
    chunk_intervals_us: Vec<u64>,
    endpoint: Option<EndpointName>,
    last_chunk_us: Option<u64>,
    last_token_us: Option<u64>,
    observer: Arc<dyn ClassObserver>,
    received_us: u64,
    shared: Arc<SharedState>,
    token_intervals_us: Vec<u64>,
    /// Tokens that are not reported yet.
    tokens: u64,
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.flush();
    }
}

impl RequestMetrics {
    /// Starts measuring the stream of an engine; intervals between chunks count from `now_us`.
    pub(crate) fn start_stream(&mut self, endpoint: &EndpointName, now_us: u64) {
        self.flush();
        self.endpoint = Some(endpoint.clone());
        self.last_chunk_us = Some(now_us);
    }

    pub(crate) fn flush(&mut self) {
        if self.tokens > 0 {
            self.observer.record_tokens(self.tokens);
            self.tokens = 0;
        }
        if self.chunk_intervals_us.is_empty() {
            return;
        }
        if !self.token_intervals_us.is_empty() {
            self.observer
                .record_token_intervals(&self.token_intervals_us);
        }
        if let Some(endpoint) = &self.endpoint {
            self.shared.record_intervals(
                endpoint,
                &self.chunk_intervals_us,
                &self.token_intervals_us,
            );
        }
        self.chunk_intervals_us.clear();
        self.token_intervals_us.clear();
    }

    /// Records the arrival of a chunk of an engine's stream.
    pub(crate) fn record_chunk(&mut self, now_us: u64) {
        if let Some(last_chunk_us) = self.last_chunk_us.replace(now_us) {
            self.chunk_intervals_us.push(now_us - last_chunk_us);
        }
        if self.chunk_intervals_us.len() >= BATCH_INTERVALS_MAX
            || self.token_intervals_us.len() >= BATCH_INTERVALS_MAX
        {
            self.flush();
        }
    }

    pub(crate) fn new(
        shared: &Arc<SharedState>,
        observer: Arc<dyn ClassObserver>,
        received_us: u64,
    ) -> Self {
        Self {
            chunk_intervals_us: Vec::new(),
            endpoint: None,
            last_chunk_us: None,
            last_token_us: None,
            observer,
            received_us,
            shared: Arc::clone(shared),
            token_intervals_us: Vec::new(),
            tokens: 0,
        }
    }

    pub(crate) fn observer(&self) -> &dyn ClassObserver {
        &*self.observer
    }

    /// Records a token received for the client.
    pub(crate) fn record_token(&mut self, now_us: u64) {
        self.tokens += 1;
        match self.last_token_us.replace(now_us) {
            None => self
                .observer
                .record_time_to_first_token(now_us - self.received_us),
            Some(last_token_us) => {
                let interval_us = now_us - last_token_us;
                self.token_intervals_us.push(interval_us);
                if interval_us >= STALL_INTERVAL_US {
                    self.observer.record_stall(interval_us);
                }
            }
        }
    }
}
