use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::metrics::{Customers, histogram};

/// Bounds of the buckets for durations, in seconds.
const DURATION_BOUNDS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 20.0, 40.0,
];

const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// Metrics of a gateway: requests by customer and kind of route, and what it believes.
#[derive(Debug)]
pub struct GatewayMetrics {
    customers: Customers,
    document_version: Gauge<u64>,
    durations: Histogram<f64>,
    ended: Counter<u64>,
    endpoints: Gauge<u64>,
    first_events: Histogram<f64>,
    lease_age: Gauge<u64>,
    moves: Counter<u64>,
    pauses: Histogram<f64>,
    repeats: Counter<u64>,
    reservations: Counter<u64>,
    waiting: Gauge<u64>,
    waits: Histogram<f64>,
}

/// A request that has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest<'a> {
    /// Customer, or none.
    pub customer: &'a str,
    /// Time from its head to its end.
    pub duration_ms: u64,
    /// Kind of its route.
    pub kind: &'static str,
    /// How it ended.
    pub outcome: &'static str,
}

/// What a gateway believes.
#[derive(Debug, Clone, Copy)]
pub struct GatewayGauges {
    /// Version of the document in force.
    pub document_version: u64,
    /// Endpoints that have not left.
    pub endpoints: u64,
    /// Time since the document was last proven the newest.
    pub lease_age_ms: u64,
    /// Requests that wait for room.
    pub waiting_requests: u64,
}

impl GatewayMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name| histogram(meter, name, DURATION_BOUNDS_S);
        Self {
            customers: Customers::default(),
            document_version: meter.u64_gauge("document_version").build(),
            durations: histogram("request_duration"),
            ended: meter.u64_counter("requests").build(),
            endpoints: meter.u64_gauge("endpoints").build(),
            first_events: histogram("time_to_first_event"),
            lease_age: meter.u64_gauge("lease_age").with_unit("ms").build(),
            moves: meter.u64_counter("moves").build(),
            pauses: histogram("longest_pause"),
            repeats: meter.u64_counter("repeated_sendings").build(),
            reservations: meter.u64_counter("reservations").build(),
            waiting: meter.u64_gauge("waiting_requests").build(),
            waits: histogram("time_for_room"),
        }
    }

    /// Counts a request by how it ended.
    pub fn record_ended_request(&self, request: &EndedRequest<'_>) {
        let class = self.class(request.customer, request.kind);
        self.durations.record(seconds(request.duration_ms), &class);
        let [customer, kind] = class;
        let outcome = KeyValue::new("outcome", request.outcome);
        self.ended.add(1, &[customer, kind, outcome]);
    }

    /// Records the times of a stream as its client saw them.
    pub fn record_stream(
        &self,
        customer: &str,
        kind: &'static str,
        first_ms: u64,
        pause_max_ms: u64,
    ) {
        let class = self.class(customer, kind);
        self.first_events.record(seconds(first_ms), &class);
        self.pauses.record(seconds(pause_max_ms), &class);
    }

    /// Records how long a request waited for room.
    pub fn record_capacity_wait(&self, kind: &'static str, wait_ms: u64) {
        self.waits
            .record(seconds(wait_ms), &[KeyValue::new("kind", kind)]);
    }

    /// Counts a step of a move by its outcome.
    pub fn record_migration_step(&self, outcome: &'static str) {
        self.moves.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a sending beyond the first of a request, or one that the budget refused.
    pub fn record_retry(&self, is_allowed: bool) {
        let attributes = [KeyValue::new("is_allowed", is_allowed)];
        self.repeats.add(1, &attributes);
    }

    /// Counts a question for room by its outcome.
    pub fn record_reservation(&self, outcome: &'static str) {
        self.reservations
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets what the gateway believes.
    pub fn set_gauges(&self, gauges: &GatewayGauges) {
        self.document_version.record(gauges.document_version, &[]);
        self.endpoints.record(gauges.endpoints, &[]);
        self.lease_age.record(gauges.lease_age_ms, &[]);
        self.waiting.record(gauges.waiting_requests, &[]);
    }

    fn class(&self, customer: &str, kind: &'static str) -> [KeyValue; 2] {
        let customer = self.customers.series(customer).to_owned();
        [
            KeyValue::new("customer", customer),
            KeyValue::new("kind", kind),
        ]
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 ms"
)]
fn seconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / MILLISECONDS_PER_SECOND
}
