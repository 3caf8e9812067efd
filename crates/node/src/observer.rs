use std::sync::Arc;

use entry::border::{ClassObserver, Observer, RefusalReason};
use names::{CustomerName, KindName, RegionName};
use telemetry::{Class, Metrics};

/// Passes the entry's measurements on to the metrics.
pub(crate) struct MetricsObserver {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) region: RegionName,
}

struct ObservedClass {
    class: Class,
    metrics: Arc<Metrics>,
    region: RegionName,
}

impl Observer for MetricsObserver {
    fn class(&self, customer: &CustomerName, kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(ObservedClass {
            class: self.metrics.class(customer.as_str(), kind.as_str()),
            metrics: Arc::clone(&self.metrics),
            region: self.region.clone(),
        })
    }

    fn rejected(&self, status: u16) {
        self.metrics.rejected(status);
    }
}

impl ClassObserver for ObservedClass {
    fn connection_dropped(&self) {
        self.class.connection_dropped();
    }

    fn first_token(&self, time_us: u64) {
        self.class.first_token(time_us);
    }

    fn preempted(&self) {
        self.class.preempted();
    }

    fn queued(&self, time_us: u64) {
        self.class.queued(time_us);
    }

    fn received(&self, region: Option<&RegionName>, bytes: u64) {
        if let Some(region) = region {
            self.metrics
                .transferred(region.as_str(), self.region.as_str(), bytes);
        }
    }

    fn refused(&self, reason: RefusalReason) {
        self.class.refused(reason.as_str());
    }

    fn restarted(&self) {
        self.class.restarted();
    }

    fn resumed(&self) {
        self.class.resumed();
    }

    fn stalled(&self, time_us: u64) {
        self.class.stalled(time_us);
    }

    fn token_intervals(&self, intervals_us: &[u64]) {
        for &interval_us in intervals_us {
            self.class.token_interval(interval_us);
        }
    }

    fn tokens(&self, count: u64) {
        self.class.tokens(count);
    }
}
