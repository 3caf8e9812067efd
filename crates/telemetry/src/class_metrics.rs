use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Most customers with a metric series each; further customers share the series `other`.
pub const CUSTOMERS_MAX: usize = 128;

const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;

/// Instruments that all [`ClassMetrics`] of an instance record to.
#[derive(Debug)]
pub(crate) struct ClassInstruments {
    pub(crate) dropped_connections: Counter<u64>,
    pub(crate) preemptions: Counter<u64>,
    pub(crate) queueing_time: Histogram<f64>,
    pub(crate) refusals: Counter<u64>,
    pub(crate) restarts: Counter<u64>,
    pub(crate) resumes: Counter<u64>,
    pub(crate) stall_time: Histogram<f64>,
    pub(crate) time_between_tokens: Histogram<f64>,
    pub(crate) time_to_first_token: Histogram<f64>,
    pub(crate) tokens: Counter<u64>,
}

/// Metrics of one class of requests: a customer and a kind of work.
#[derive(Debug)]
pub struct ClassMetrics {
    attributes: [KeyValue; 2],
    instruments: Arc<ClassInstruments>,
}

impl ClassMetrics {
    pub(crate) fn new(instruments: &Arc<ClassInstruments>, customer: &str, kind: &str) -> Self {
        Self {
            attributes: [
                KeyValue::new("customer", customer.to_owned()),
                KeyValue::new("kind", kind.to_owned()),
            ],
            instruments: Arc::clone(instruments),
        }
    }

    /// Counts a connection to an endpoint that was dropped because of an invalid response.
    pub fn record_dropped_connection(&self) {
        self.instruments
            .dropped_connections
            .add(1, &self.attributes);
    }

    /// Counts a preemption of a generation by its engine.
    pub fn record_preemption(&self) {
        self.instruments.preemptions.add(1, &self.attributes);
    }

    /// Records the time that a request spent in the queue.
    pub fn record_queueing_time(&self, time_us: u64) {
        let histogram = &self.instruments.queueing_time;
        record_seconds(histogram, time_us, &self.attributes);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, reason: &'static str) {
        let [customer, kind] = self.attributes.clone();
        let attributes = [customer, kind, KeyValue::new("reason", reason)];
        self.instruments.refusals.add(1, &attributes);
    }

    /// Counts a request that was started again with another permit.
    pub fn record_restart(&self) {
        self.instruments.restarts.add(1, &self.attributes);
    }

    /// Counts a generation whose stream was resumed at its endpoint.
    pub fn record_resume(&self) {
        self.instruments.resumes.add(1, &self.attributes);
    }

    /// Records an interval between tokens that is long enough to count as a stall.
    pub fn record_stall(&self, time_us: u64) {
        let histogram = &self.instruments.stall_time;
        record_seconds(histogram, time_us, &self.attributes);
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn record_time_to_first_token(&self, time_us: u64) {
        let histogram = &self.instruments.time_to_first_token;
        record_seconds(histogram, time_us, &self.attributes);
    }

    /// Records an interval between two tokens of a generation.
    pub fn record_token_interval(&self, time_us: u64) {
        let histogram = &self.instruments.time_between_tokens;
        record_seconds(histogram, time_us, &self.attributes);
    }

    /// Counts tokens received for the client.
    pub fn record_tokens(&self, count: u64) {
        self.instruments.tokens.add(count, &self.attributes);
    }
}

fn record_seconds(histogram: &Histogram<f64>, time_us: u64, attributes: &[KeyValue]) {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times are far below the largest exact integer"
    )]
    let seconds = time_us as f64 / MICROSECONDS_PER_SECOND;
    histogram.record(seconds, attributes);
}
