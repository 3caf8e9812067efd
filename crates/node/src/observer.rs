use std::sync::Arc;

use entry::dependencies::{ClassObserver, Observer, RefusalReason};
use names::{CustomerName, KindName, RegionName};
use telemetry::{ClassMetrics, Metrics};

/// Records the measurements of the entry in the metrics.
pub(crate) struct MetricsObserver {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) region: RegionName,
}

/// Records the measurements of one customer and kind.
struct MetricsClassObserver {
    class: ClassMetrics,
    metrics: Arc<Metrics>,
    region: RegionName,
}

impl Observer for MetricsObserver {
    fn class_observer(&self, customer: &CustomerName, kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(MetricsClassObserver {
            class: self.metrics.class_metrics(customer.as_str(), kind.as_str()),
            metrics: Arc::clone(&self.metrics),
            region: self.region.clone(),
        })
    }

    fn record_rejection(&self, status: u16) {
        self.metrics.record_rejection(status);
    }
}

impl ClassObserver for MetricsClassObserver {
    fn record_dropped_connection(&self) {
        self.class.record_dropped_connection();
    }

    fn record_preemption(&self) {
        self.class.record_preemption();
    }

    fn record_queueing_time(&self, time_us: u64) {
        self.class.record_queueing_time(time_us);
    }

    fn record_received_bytes(&self, region: Option<&RegionName>, bytes: u64) {
        if let Some(region) = region {
            self.metrics
                .record_region_traffic(region.as_str(), self.region.as_str(), bytes);
        }
    }

    fn record_refusal(&self, reason: RefusalReason) {
        self.class.record_refusal(reason.as_str());
    }

    fn record_restart(&self) {
        self.class.record_restart();
    }

    fn record_resume(&self) {
        self.class.record_resume();
    }

    fn record_stall(&self, time_us: u64) {
        self.class.record_stall(time_us);
    }

    fn record_time_to_first_token(&self, time_us: u64) {
        self.class.record_time_to_first_token(time_us);
    }

    fn record_token_intervals(&self, intervals_us: &[u64]) {
        for &interval_us in intervals_us {
            self.class.record_token_interval(interval_us);
        }
    }

    fn record_tokens(&self, count: u64) {
        self.class.record_tokens(count);
    }
}
