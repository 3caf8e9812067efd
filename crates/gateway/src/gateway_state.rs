use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use catalog::{Catalog, Limits};
use http_body_util::Full;
use hyper::Request;
use registry::{CatalogSink, ServiceLoad, Subscription};
use slog::{Logger, info};
use telemetry::{EndedRequest, GatewayGauges, GatewayMetrics};
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep_until};

use crate::connection::{EndpointResponse, SendError};
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::handler::RoutedRequest;
use crate::outcome::Outcome;
use crate::part_evidence::PartReporter;
use crate::stream_origin::StreamReporter;
use crate::{Dialect, Rejection, RequestCounts, ResponseHead, RetryBudget, RetryLimits};

/// Time before the end of a drain at which requests without a response are answered.
const LAST_RESPONSES_MS: u64 = 300;

/// State that all requests and tasks of a gateway share.
pub(crate) struct GatewayState {
    pub(crate) active_catalog: Arc<ActiveCatalog>,
    /// Sorted by service.
    pub(crate) budgets: Mutex<Vec<(String, RetryBudget)>>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) drain_timeout_ms: u64,
    /// End of the drain; `None` unless this instance drains.
    pub(crate) drain_end: watch::Sender<Option<Instant>>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) part_reporter: PartReporter,
    /// Time until which no reservation requests are sent, on the clock of [`Fleet::now_ms`].
    pub(crate) reservations_paused_until_ms: AtomicU64,
    pub(crate) retry_limits: RetryLimits,
    pub(crate) stream_reporter: StreamReporter,
    pub(crate) subscription: Subscription,
}

/// Last catalog that the subscription installed.
pub(crate) struct ActiveCatalog {
    current: watch::Sender<Option<Arc<Catalog>>>,
    fleet: Arc<Fleet>,
}

impl GatewayState {
    /// Sends a request to an endpoint, and applies what the head of the response says about further
    /// requests.
    pub(crate) async fn send(
        &self,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
        may_reuse: bool,
    ) -> Result<(EndpointResponse, ResponseHead), SendError> {
        let sent_at_ms = self.fleet.now_ms();
        let response = endpoint.pool.send(request, may_reuse).await?;
        let parts = &response.parts;
        let head = self
            .dialect
            .parse_response_head(parts.status, &parts.headers);
        self.record_limit(endpoint, sent_at_ms, &head);
        if head.is_endpoint_leaving && endpoint.record_leaving() {
            info!(self.log, "endpoint announced its leave"; "endpoint" => &endpoint.id);
        }
        if let Some(retry_after_ms) = head.retry_after_ms
            && endpoint.record_retry_after(self.fleet.now_ms(), retry_after_ms)
        {
            info!(self.log, "endpoint paused"; "endpoint" => &endpoint.id,
                "retry_after_ms" => retry_after_ms);
        }
        Ok((response, head))
    }

    /// Applies the limit that a response names, or that it names none any more.
    fn record_limit(&self, endpoint: &Endpoint, sent_at_ms: u64, head: &ResponseHead) {
        let limit = head.limit_per_1000_s;
        let is_anothers = head.rejection == Some(Rejection::Misdirected);
        // Responses to other calls than requests of clients repeat no id, and may name no limit at all.
        let ends_limit = head.request_id.is_some();
        if is_anothers || (limit.is_none() && !ends_limit) {
            return;
        }
        let now_ms = self.fleet.now_ms();
        let mut notice = endpoint.notice();
        if notice.limit.record_response(now_ms, sent_at_ms, limit) {
            info!(self.log, "limit of endpoint changed"; "endpoint" => &endpoint.id,
                "requests_per_1000_s" => limit, "source" => "response");
        }
    }

    /// Counts a client's request in the retry budget of its service.
    pub(crate) fn record_request(&self, service: &str) {
        let now_ms = self.fleet.now_ms();
        let limits = &self.retry_limits;
        self.with_budget(service, |budget| budget.record_request(now_ms, limits));
    }

    /// Counts a retry if the limits of the service allow it; returns whether they do.
    pub(crate) fn try_retry(&self, service: &str) -> bool {
        let now_ms = self.fleet.now_ms();
        let instances = self.subscription.subscriber_count();
        let limits = &self.retry_limits;
        let is_allowed = self.with_budget(service, |budget| {
            budget.try_retry(now_ms, limits, instances)
        });
        self.metrics.record_retry(is_allowed);
        is_allowed
    }

    /// Counts an ended request in the metrics; `request` is `None` if it was not routed.
    pub(crate) fn record_end(
        &self,
        request: Option<&RoutedRequest>,
        outcome: Outcome,
        duration_ms: u64,
    ) {
        let customer = request.and_then(|request| request.customer.as_deref());
        self.metrics.record_ended_request(&EndedRequest {
            customer: customer.unwrap_or_default(),
            duration_ms,
            kind: request.map_or("unrouted", |request| request.route.retry_class.name()),
            outcome: outcome.name(),
        });
    }

    /// Updates the metrics of the document, the endpoints, the lease and the queue.
    pub(crate) fn update_gauges(&self) {
        let catalog = self.active_catalog.current();
        let (endpoints, waiting_requests) = self.fleet.endpoint_and_queue_counts();
        self.metrics.set_gauges(&GatewayGauges {
            document_version: catalog.map_or(0, |catalog| catalog.version()),
            endpoints,
            lease_age_ms: self.subscription.lease_age_ms().unwrap_or(u64::MAX),
            waiting_requests,
        });
    }

    /// Recent requests and retries of this instance for each service.
    pub(crate) fn service_loads(&self) -> Vec<ServiceLoad> {
        let now_ms = self.fleet.now_ms();
        let mut budgets = lock(&self.budgets);
        let budgets = budgets.iter_mut();
        budgets
            .map(|(service, budget)| {
                let counts = budget.counts(now_ms, &self.retry_limits);
                ServiceLoad {
                    name: service.clone(),
                    retries: counts.retries,
                    requests: counts.requests,
                }
            })
            .collect()
    }

    /// Applies the counts of all instances, sorted by service.
    pub(crate) fn apply_service_aggregate(&self, aggregate: &[ServiceLoad]) {
        let now_ms = self.fleet.now_ms();
        for (service, budget) in lock(&self.budgets).iter_mut() {
            let found = aggregate.binary_search_by(|load| load.name.cmp(service));
            let Ok(at) = found else { continue };
            let own = budget.counts(now_ms, &self.retry_limits);
            budget.set_other_instances(RequestCounts {
                requests: aggregate[at].requests.saturating_sub(own.requests),
                retries: aggregate[at].retries.saturating_sub(own.retries),
            });
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain_end.borrow().is_some()
    }

    /// Waits until requests have to end, as this instance drains and stops soon.
    pub(crate) async fn stops_soon(&self) {
        let mut drain_end = self.drain_end.subscribe();
        let end = drain_end.wait_for(Option::is_some).await;
        // The sender lives as long as this state.
        if let Some(end) = end.ok().and_then(|end| *end) {
            sleep_until(end - Duration::from_millis(LAST_RESPONSES_MS)).await;
        }
    }

    /// Whether there is a catalog and the lease that permits serving by it is valid.
    pub(crate) fn has_valid_catalog(&self) -> bool {
        self.active_catalog.current().is_some() && self.subscription.is_lease_valid()
    }

    fn with_budget<T>(&self, service: &str, action: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let found = budgets.binary_search_by(|known| known.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            budgets.insert(at, (service.to_owned(), RetryBudget::default()));
            at
        });
        action(&mut budgets[at].1)
    }
}

impl ActiveCatalog {
    pub(crate) fn new(fleet: &Arc<Fleet>) -> Arc<Self> {
        Arc::new(Self {
            current: watch::channel(None).0,
            fleet: Arc::clone(fleet),
        })
    }

    pub(crate) fn current(&self) -> Option<Arc<Catalog>> {
        self.current.borrow().clone()
    }

    /// Limits of the catalog, or the default ones if there is none.
    pub(crate) fn limits(&self) -> Limits {
        self.current()
            .map_or_else(Limits::default, |catalog| catalog.limits())
    }

    /// Receiver that is notified when another catalog becomes active.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<Catalog>>> {
        self.current.subscribe()
    }
}

impl CatalogSink for ActiveCatalog {
    fn install(&self, catalog: &Arc<Catalog>) {
        self.current.send_replace(Some(Arc::clone(catalog)));
        self.fleet.set_catalog(catalog);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
