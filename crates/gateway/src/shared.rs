use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catalog::Catalog;
use registry::{Document, DocumentSink, ServiceLoad, Subscription};
use slog::{Logger, warn};
use telemetry::{Beliefs, EndedRequest, ServingMetrics};
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::handler::Call;
use crate::outcome::Outcome;
use crate::{Dialect, RequestCounts, RetryBudget, RetryLimits};

/// What all requests of an instance share.
pub(crate) struct Shared {
    /// Sorted by service.
    pub(crate) budgets: Mutex<Vec<(String, RetryBudget)>>,
    pub(crate) catalogs: Arc<Catalogs>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) drain_timeout_ms: u64,
    pub(crate) draining: watch::Sender<bool>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<ServingMetrics>,
    /// Time up to which the registry that sums loads is not asked for room.
    pub(crate) reservations_paused_until_ms: AtomicU64,
    pub(crate) retry_limits: RetryLimits,
    pub(crate) subscription: Subscription,
}

/// The catalog in force.
pub(crate) struct Catalogs {
    current: Mutex<Option<Arc<Catalog>>>,
    dialect: Arc<dyn Dialect>,
    fleet: Arc<Fleet>,
    log: Logger,
}

impl Shared {
    /// Counts a request of a client to a service.
    pub(crate) fn record_request(&self, service: &str) {
        let now_ms = self.fleet.now_ms();
        let limits = &self.retry_limits;
        self.with_budget(service, |budget| budget.record_request(now_ms, limits));
    }

    /// Takes one repeated sending to a service, if the limits allow it.
    pub(crate) fn take_repeat(&self, service: &str) -> bool {
        let now_ms = self.fleet.now_ms();
        let instances = self.subscription.subscriber_count();
        let limits = &self.retry_limits;
        let is_allowed = self.with_budget(service, |budget| {
            budget.try_retry(now_ms, limits, instances)
        });
        self.metrics.repeated(is_allowed);
        is_allowed
    }

    /// Counts a request that has ended; one without a call had no route.
    pub(crate) fn note_end(&self, call: Option<&Call>, outcome: Outcome, duration_ms: u64) {
        let customer = call.and_then(|call| call.customer.as_deref());
        self.metrics.ended(&EndedRequest {
            customer: customer.unwrap_or_default(),
            duration_ms,
            kind: call.map_or("unrouted", |call| call.route.retry_class.name()),
            outcome: outcome.name(),
        });
    }

    /// Sets the metrics of what this instance believes.
    pub(crate) fn note_beliefs(&self) {
        let catalog = self.catalogs.current();
        let (endpoints, waiting) = self.fleet.counts();
        self.metrics.believes(&Beliefs {
            document_version: catalog.map_or(0, |catalog| catalog.version()),
            endpoints,
            lease_age_ms: self.subscription.lease_age_ms().unwrap_or(u64::MAX),
            waiting,
        });
    }

    /// What this instance has sent to each service of late.
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

    /// Takes the sums over all instances.
    pub(crate) fn set_service_totals(&self, totals: &[ServiceLoad]) {
        let now_ms = self.fleet.now_ms();
        for (service, budget) in lock(&self.budgets).iter_mut() {
            let found = totals.binary_search_by(|total| total.name.cmp(service));
            let Ok(at) = found else { continue };
            let own = budget.counts(now_ms, &self.retry_limits);
            budget.set_other_instances(RequestCounts {
                retries: totals[at].retries.saturating_sub(own.retries),
                requests: totals[at].requests.saturating_sub(own.requests),
            });
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether new requests may be admitted by the catalog in force.
    pub(crate) fn is_current(&self) -> bool {
        self.catalogs.current().is_some() && self.subscription.is_lease_valid()
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let found = budgets.binary_search_by(|known| known.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            budgets.insert(at, (service.to_owned(), RetryBudget::default()));
            at
        });
        act(&mut budgets[at].1)
    }
}

impl Catalogs {
    pub(crate) fn new(dialect: &Arc<dyn Dialect>, fleet: &Arc<Fleet>, log: &Logger) -> Arc<Self> {
        Arc::new(Self {
            current: Mutex::new(None),
            dialect: Arc::clone(dialect),
            fleet: Arc::clone(fleet),
            log: log.clone(),
        })
    }

    pub(crate) fn current(&self) -> Option<Arc<Catalog>> {
        lock(&self.current).clone()
    }
}

impl DocumentSink for Catalogs {
    fn install(&self, document: &Document) -> bool {
        match self.dialect.parse_document(&document.bytes) {
            Ok(catalog) => {
                let catalog = Arc::new(catalog);
                *lock(&self.current) = Some(Arc::clone(&catalog));
                self.fleet.set_catalog(&catalog);
                true
            }
            Err(error) => {
                warn!(self.log, "document refused"; "version" => document.version,
                    "error" => error);
                false
            }
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
