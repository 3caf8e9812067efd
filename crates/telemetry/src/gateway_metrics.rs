use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::metrics::{CustomerSeries, histogram};

/// Bucket bounds for durations, in seconds.
const DURATION_BOUNDS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 20.0, 40.0,
];

/// Bucket bounds for the time in which two endpoints may work on one stream, in seconds.
const OVERLAP_BOUNDS_S: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 5.0,
];

const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// Metrics of a gateway: requests by customer and kind of route, and gauges of its state.
#[derive(Debug)]
pub struct GatewayMetrics {
    capacity_wait: Histogram<f64>,
    customers: CustomerSeries,
    document_version: Gauge<u64>,
    endpoints: Gauge<u64>,
    endpoint_switch: Histogram<f64>,
    lease_age: Gauge<u64>,
    longest_gap: Histogram<f64>,
    migration_steps: Counter<u64>,
    quarantine_refusals: Counter<u64>,
    request_duration: Histogram<f64>,
    requests: Counter<u64>,
    permits: Counter<u64>,
    reservations: Counter<u64>,
    retries: Counter<u64>,
    time_to_first_event: Histogram<f64>,
    waiting_requests: Gauge<u64>,
}

/// A request that has ended, for its duration and outcome metrics.
#[derive(Debug, Clone, Copy)]
pub struct EndedRequest<'a> {
    /// Customer; empty if unknown.
    pub customer: &'a str,
    /// Time from receiving its headers to its end.
    pub duration_ms: u64,
    /// Kind of its route.
    pub kind: &'static str,
    /// Label value for how it ended.
    pub outcome: &'static str,
}

/// Values of a gateway's gauges.
#[derive(Debug, Clone, Copy)]
pub struct GatewayGauges {
    /// Version of the document in force.
    pub document_version: u64,
    /// Known endpoints that have not left.
    pub endpoints: u64,
    /// Time since the leader last confirmed that the document is the newest.
    pub lease_age_ms: u64,
    /// Requests that wait for free capacity.
    pub waiting_requests: u64,
}

impl GatewayMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let histogram = |name| histogram(meter, name, DURATION_BOUNDS_S);
        Self {
            capacity_wait: histogram("time_for_room"),
            customers: CustomerSeries::default(),
            document_version: meter.u64_gauge("document_version").build(),
            endpoints: meter.u64_gauge("endpoints").build(),
            endpoint_switch: self::histogram(meter, "endpoint_switch", OVERLAP_BOUNDS_S),
            lease_age: meter.u64_gauge("lease_age").with_unit("ms").build(),
            longest_gap: histogram("longest_pause"),
            migration_steps: meter.u64_counter("moves").build(),
            quarantine_refusals: meter.u64_counter("quarantine_refusals").build(),
            request_duration: histogram("request_duration"),
            requests: meter.u64_counter("requests").build(),
            permits: meter.u64_counter("permits").build(),
            reservations: meter.u64_counter("reservations").build(),
            retries: meter.u64_counter("repeated_sendings").build(),
            time_to_first_event: histogram("time_to_first_event"),
            waiting_requests: meter.u64_gauge("waiting_requests").build(),
        }
    }

    /// Counts a request by its outcome and records its duration.
    pub fn record_ended_request(&self, request: &EndedRequest<'_>) {
        let attributes = self.attributes(request.customer, request.kind);
        self.request_duration
            .record(seconds(request.duration_ms), &attributes);
        let [customer, kind] = attributes;
        let outcome = KeyValue::new("outcome", request.outcome);
        self.requests.add(1, &[customer, kind, outcome]);
    }

    /// Records the time to the first event of a stream, and the longest gap between events after it.
    pub fn record_stream(
        &self,
        customer: &str,
        kind: &'static str,
        first_event_ms: u64,
        gap_ms_max: u64,
    ) {
        let attributes = self.attributes(customer, kind);
        self.time_to_first_event
            .record(seconds(first_event_ms), &attributes);
        self.longest_gap.record(seconds(gap_ms_max), &attributes);
    }

    /// Records how long a request waited for free capacity.
    pub fn record_capacity_wait(&self, kind: &'static str, wait_ms: u64) {
        self.capacity_wait
            .record(seconds(wait_ms), &[KeyValue::new("kind", kind)]);
    }

    /// Counts a step of a migration by its outcome.
    pub fn record_migration_step(&self, outcome: &'static str) {
        self.migration_steps
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from the request to a stream's new endpoint until its first event, in which
    /// the endpoint before may work on.
    pub fn record_endpoint_switch(&self, is_copied: bool, overlap_ms: u64) {
        self.endpoint_switch.record(
            seconds(overlap_ms),
            &[KeyValue::new("is_copied", is_copied)],
        );
    }

    /// Counts a retry of a request, sent or refused by the retry budget.
    pub fn record_retry(&self, is_allowed: bool) {
        let attributes = [KeyValue::new("is_allowed", is_allowed)];
        self.retries.add(1, &attributes);
    }

    /// Counts a refusal of a request because of a quarantined part of its prompt.
    pub fn record_quarantine_refusal(&self) {
        self.quarantine_refusals.add(1, &[]);
    }

    /// Counts a request for a permit to send a request to a limited endpoint, by its outcome.
    pub fn record_permit(&self, outcome: &'static str) {
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a reservation request by its outcome.
    pub fn record_reservation(&self, outcome: &'static str) {
        self.reservations
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the gauges of the gateway's state.
    pub fn set_gauges(&self, gauges: &GatewayGauges) {
        self.document_version.record(gauges.document_version, &[]);
        self.endpoints.record(gauges.endpoints, &[]);
        self.lease_age.record(gauges.lease_age_ms, &[]);
        self.waiting_requests.record(gauges.waiting_requests, &[]);
    }

    fn attributes(&self, customer: &str, kind: &'static str) -> [KeyValue; 2] {
        let customer = self.customers.label(customer).to_owned();
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
