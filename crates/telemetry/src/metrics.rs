use std::fmt::{self, Debug, Formatter};
use std::sync::{Arc, Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::Error;
use crate::GatewayMetrics;
use crate::class_metrics::{CUSTOMERS_MAX, ClassInstruments, ClassMetrics};

/// Label value that customers above `CUSTOMERS_MAX` share.
const OTHER_CUSTOMERS: &str = "other";

/// Bucket bounds for times between tokens, in seconds.
const TOKEN_INTERVAL_BOUNDS_S: &[f64] = &[
    0.005, 0.010, 0.015, 0.020, 0.025, 0.030, 0.034, 0.040, 0.050, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0,
    5.0,
];

/// Bucket bounds for waiting times, in seconds.
const WAIT_BOUNDS_S: &[f64] = &[
    0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Customers with a metric series each, sorted.
#[derive(Debug, Default)]
pub(crate) struct CustomerSeries(Mutex<Vec<Box<str>>>);

impl CustomerSeries {
    /// Label value of a customer: its name, or `other` above `CUSTOMERS_MAX`.
    pub(crate) fn label<'a>(&self, customer: &'a str) -> &'a str {
        let mut customers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Err(position) = customers.binary_search_by(|known| (**known).cmp(customer)) else {
            return customer;
        };
        if customers.len() >= CUSTOMERS_MAX {
            return OTHER_CUSTOMERS;
        }
        customers.insert(position, customer.into());
        customer
    }
}

/// Metrics of one instance, with the registry that they are scraped from.
pub struct Metrics {
    class_instruments: Arc<ClassInstruments>,
    customers: CustomerSeries,
    provider: SdkMeterProvider,
    registry: Registry,
    rejections: Counter<u64>,
    table_revision: Gauge<u64>,
    traffic: Counter<u64>,
    traffic_between_instances: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics and their own registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter rejects its settings.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("gentiancleat");
        Ok(Self {
            class_instruments: Arc::new(class_instruments(&meter)),
            customers: CustomerSeries::default(),
            provider,
            registry,
            rejections: meter.u64_counter("rejections").build(),
            table_revision: meter.u64_gauge("table_revision").build(),
            traffic: meter.u64_counter("traffic").with_unit("By").build(),
            traffic_between_instances: meter
                .u64_gauge("traffic_between_instances")
                .with_unit("By")
                .build(),
        })
    }

    /// Sets the table revision that the instance has applied.
    pub fn set_table_revision(&self, revision: u64) {
        self.table_revision.record(revision, &[]);
    }

    /// Metrics of a customer and kind of work.
    #[must_use]
    pub fn class_metrics(&self, customer: &str, kind: &str) -> ClassMetrics {
        ClassMetrics::new(
            &self.class_instruments,
            self.customers.label(customer),
            kind,
        )
    }

    /// Counts a request that was rejected before its customer and kind were known.
    pub fn record_rejection(&self, status: u16) {
        let attributes = [KeyValue::new("status", i64::from(status))];
        self.rejections.add(1, &attributes);
    }

    /// Metrics of a gateway, in the same registry.
    #[must_use]
    pub fn gateway_metrics(&self) -> GatewayMetrics {
        GatewayMetrics::new(&self.provider.meter("gentiancleat"))
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Sets the bytes received from and sent to other instances since the start.
    pub fn set_traffic_between_instances(&self, received_bytes: u64, sent_bytes: u64) {
        let received = [KeyValue::new("direction", "received")];
        let sent = [KeyValue::new("direction", "sent")];
        self.traffic_between_instances
            .record(received_bytes, &received);
        self.traffic_between_instances.record(sent_bytes, &sent);
    }

    /// Counts bytes transferred from one region to another.
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
        // Shutdown fails only if the provider is already shut down.
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

fn class_instruments(meter: &Meter) -> ClassInstruments {
    ClassInstruments {
        dropped_connections: meter.u64_counter("connections_dropped").build(),
        preemptions: meter.u64_counter("preemptions").build(),
        queueing_time: histogram(meter, "queueing_time", WAIT_BOUNDS_S),
        refusals: meter.u64_counter("refusals").build(),
        restarts: meter.u64_counter("restarts").build(),
        resumes: meter.u64_counter("resumes").build(),
        stall_time: histogram(meter, "stall_time", WAIT_BOUNDS_S),
        time_between_tokens: histogram(meter, "time_between_tokens", TOKEN_INTERVAL_BOUNDS_S),
        time_to_first_token: histogram(meter, "time_to_first_token", WAIT_BOUNDS_S),
        tokens: meter.u64_counter("tokens").build(),
    }
}
