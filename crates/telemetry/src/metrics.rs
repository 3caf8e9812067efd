use std::fmt::{self, Debug, Formatter};
use std::sync::{Arc, Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::Error;
use crate::GatewayMetrics;
use crate::class_metrics::{CUSTOMERS_MAX, ClassMetrics, Instruments};

/// Bounds of the buckets for times between tokens, in seconds.
const INTERVAL_BOUNDS_S: &[f64] = &[
    0.005, 0.010, 0.015, 0.020, 0.025, 0.030, 0.034, 0.040, 0.050, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0,
];

/// Name of the series of customers beyond the bound.
const OTHER: &str = "other";

/// Bounds of the buckets for waiting times, in seconds.
const WAIT_BOUNDS_S: &[f64] = &[
    0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Customers that have series of their own, sorted.
#[derive(Debug, Default)]
pub(crate) struct Customers(Mutex<Vec<Box<str>>>);

impl Customers {
    /// Name of the series that a customer belongs to.
    pub(crate) fn series<'a>(&self, customer: &'a str) -> &'a str {
        let mut customers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(position) = customers.binary_search_by(|known| (**known).cmp(customer)) else {
            return customer;
        };
        if customers.len() >= CUSTOMERS_MAX {
            return OTHER;
        }
        customers.insert(position, customer.into());
        customer
    }
}

/// All metrics of one instance.
pub struct Metrics {
    customers: Customers,
    edits_applied: Gauge<u64>,
    instruments: Arc<Instruments>,
    provider: SdkMeterProvider,
    registry: Registry,
    rejections: Counter<u64>,
    traffic: Counter<u64>,
    traffic_between_instances: Gauge<u64>,
}

impl Metrics {
    /// Starts metrics with a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if the exporter refuses its settings.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("gentiancleat");
        Ok(Self {
            customers: Customers::default(),
            edits_applied: meter.u64_gauge("table_revision").build(),
            instruments: Arc::new(instruments(&meter)),
            provider,
            registry,
            rejections: meter.u64_counter("rejections").build(),
            traffic: meter.u64_counter("traffic").with_unit("By").build(),
            traffic_between_instances: meter
                .u64_gauge("traffic_between_instances")
                .with_unit("By")
                .build(),
        })
    }

    /// Sets the revision of the table that the instance has applied.
    pub fn set_table_revision(&self, revision: u64) {
        self.edits_applied.record(revision, &[]);
    }

    /// The metrics of a customer and kind of work.
    #[must_use]
    pub fn class_metrics(&self, customer: &str, kind: &str) -> ClassMetrics {
        ClassMetrics::new(&self.instruments, self.customers.series(customer), kind)
    }

    /// Counts a request that was rejected before its class was known.
    pub fn record_rejection(&self, status: u16) {
        let attributes = [KeyValue::new("status", i64::from(status))];
        self.rejections.add(1, &attributes);
    }

    /// Metrics of a gateway.
    #[must_use]
    pub fn gateway_metrics(&self) -> GatewayMetrics {
        GatewayMetrics::new(&self.provider.meter("gentiancleat"))
    }

    /// All metrics in the text format that scrapers read.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written as text.
    pub fn scrape(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Sets the bytes that calls of other instances have cost since the start.
    pub fn set_traffic_between_instances(&self, received_bytes: u64, sent_bytes: u64) {
        let received = [KeyValue::new("direction", "received")];
        let sent = [KeyValue::new("direction", "sent")];
        self.traffic_between_instances
            .record(received_bytes, &received);
        self.traffic_between_instances.record(sent_bytes, &sent);
    }

    /// Counts bytes that crossed from one region to another.
    pub fn record_region_traffic(&self, from: &str, to: &str, bytes: u64) {
        let attributes = [
            KeyValue::new("from", from.to_owned()),
            KeyValue::new("to", to.to_owned()),
        ];
        self.traffic.add(bytes, &attributes);
    }
}

impl Debug for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        // A second shutdown is the only failure, and it changes nothing.
        let _ = self.provider.shutdown();
    }
}

pub(crate) fn histogram(meter: &Meter, name: &'static str, bounds_s: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(bounds_s.to_vec())
        .build()
}

fn instruments(meter: &Meter) -> Instruments {
    Instruments {
        dropped: meter.u64_counter("connections_dropped").build(),
        first_token: histogram(meter, "time_to_first_token", WAIT_BOUNDS_S),
        preemptions: meter.u64_counter("preemptions").build(),
        queueing: histogram(meter, "queueing_time", WAIT_BOUNDS_S),
        refusals: meter.u64_counter("refusals").build(),
        restarts: meter.u64_counter("restarts").build(),
        resumes: meter.u64_counter("resumes").build(),
        stalls: histogram(meter, "stall_time", WAIT_BOUNDS_S),
        token_intervals: histogram(meter, "time_between_tokens", INTERVAL_BOUNDS_S),
        tokens: meter.u64_counter("tokens").build(),
    }
}
