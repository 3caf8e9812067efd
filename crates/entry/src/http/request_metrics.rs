use std::sync::Arc;

use names::EndpointName;

use super::shared_state::SharedState;
use crate::dependencies::ClassObserver;

/// Times that are gathered before they are handed on.
const BATCH: usize = 32;

/// Gap between tokens from which on it counts as a stall.
const STALL_US: u64 = 500_000;

/// Measurements of one request.
pub(crate) struct RequestMetrics {
    arrived_us: u64,
    endpoint: Option<EndpointName>,
    heard_us: Option<u64>,
    observer: Arc<dyn ClassObserver>,
    shared: Arc<SharedState>,
    silences_us: Vec<u64>,
    token_gaps_us: Vec<u64>,
    token_us: Option<u64>,
    tokens: u64,
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.flush();
    }
}

impl RequestMetrics {
    /// An engine's stream opens; times between its events count from here.
    pub(crate) fn begin(&mut self, endpoint: &EndpointName, now_us: u64) {
        self.flush();
        self.endpoint = Some(endpoint.clone());
        self.heard_us = Some(now_us);
    }

    pub(crate) fn flush(&mut self) {
        if self.tokens > 0 {
            self.observer.record_tokens(self.tokens);
            self.tokens = 0;
        }
        if self.silences_us.is_empty() {
            return;
        }
        if !self.token_gaps_us.is_empty() {
            self.observer.record_token_intervals(&self.token_gaps_us);
        }
        if let Some(endpoint) = &self.endpoint {
            self.shared
                .record_times(endpoint, &self.silences_us, &self.token_gaps_us);
        }
        self.silences_us.clear();
        self.token_gaps_us.clear();
    }

    /// A piece of an engine's stream came.
    pub(crate) fn heard(&mut self, now_us: u64) {
        if let Some(heard_us) = self.heard_us.replace(now_us) {
            self.silences_us.push(now_us - heard_us);
        }
        if self.silences_us.len() >= BATCH || self.token_gaps_us.len() >= BATCH {
            self.flush();
        }
    }

    pub(crate) fn new(
        shared: &Arc<SharedState>,
        observer: Arc<dyn ClassObserver>,
        arrived_us: u64,
    ) -> Self {
        Self {
            arrived_us,
            endpoint: None,
            heard_us: None,
            observer,
            shared: Arc::clone(shared),
            silences_us: Vec::new(),
            token_gaps_us: Vec::new(),
            token_us: None,
            tokens: 0,
        }
    }

    pub(crate) fn observer(&self) -> &dyn ClassObserver {
        &*self.observer
    }

    /// A token is handed towards the caller.
    pub(crate) fn token(&mut self, now_us: u64) {
        self.tokens += 1;
        match self.token_us.replace(now_us) {
            None => self
                .observer
                .record_time_to_first_token(now_us - self.arrived_us),
            Some(token_us) => {
                let gap_us = now_us - token_us;
                self.token_gaps_us.push(gap_us);
                if gap_us >= STALL_US {
                    self.observer.record_stall(gap_us);
                }
            }
        }
    }
}
