use std::sync::Arc;

use entry::border::{ClassObserver, Observer, RefusalReason};
use names::{CustomerName, KindName, RegionName};
use telemetry::{ClassMetrics, Metrics};

/// Passes the entry's measurements on to the metrics.
pub(crate) struct MetricsObserver {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) region: RegionName,
}

struct ObservedClass {
    class: ClassMetrics,
    metrics: Arc<Metrics>,
    region: RegionName,
}

impl Observer for MetricsObserver {
    fn class(&self, customer: &CustomerName, kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(ObservedClass {
            class: self.metrics.class_metrics(customer.as_str(), kind.as_str()),
            metrics: Arc::clone(&self.metrics),
            region: self.region.clone(),
        })
    }

    fn rejected(&self, status: u16) {
        self.metrics.record_rejection(status);
    }
}

impl ClassObserver for ObservedClass {
    fn connection_dropped(&self) {
        self.class.record_dropped_connection();
    }

    fn first_token(&self, time_us: u64) {
        self.class.record_time_to_first_token(time_us);
    }

    fn preempted(&self) {
        self.class.record_preemption();
    }

    fn queued(&self, time_us: u64) {
        self.class.record_queueing_time(time_us);
    }

    fn received(&self, region: Option<&RegionName>, bytes: u64) {
        if let Some(region) = region {
            self.metrics
                .record_region_traffic(region.as_str(), self.region.as_str(), bytes);
        }
    }

    fn refused(&self, reason: RefusalReason) {
        self.class.record_refusal(reason.as_str());
    }

    fn restarted(&self) {
        self.class.record_restart();
    }

    fn resumed(&self) {
        self.class.record_resume();
    }

    fn stalled(&self, time_us: u64) {
        self.class.record_stall(time_us);
    }

    fn token_intervals(&self, intervals_us: &[u64]) {
        for &interval_us in intervals_us {
            self.class.record_token_interval(interval_us);
        }
    }

    fn tokens(&self, count: u64) {
        self.class.record_tokens(count);
    }
}
