use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use entry::dependencies::{
    ClaimError, ClaimRequest, ClaimResponse, ClaimStore, ClassObserver, Dependencies, Directory,
    Observer, Permit, PermitEnd, PermitRequest, PermitSource, Refusal, RefusalReason, RowLimits,
    StoredResponse, TargetRef,
};
use entry::{Entry, Limits, Settings};
use names::{CustomerName, EndpointName, KindName, ModelName, RegionName};
use slog::{Discard, Logger, o};
use tokio_util::sync::CancellationToken;

/// State of the fake dependencies: the requests that they received and how they respond.
#[derive(Default)]
pub struct FakeBackend {
    pub claims: Mutex<Vec<(ClaimRequest, Option<StoredResponse>)>>,
    pub dropped_connections: AtomicUsize,
    /// Endpoint, end and token count of each permit, in the order of their ends.
    pub finished_permits: Mutex<Vec<(String, PermitEnd, u32)>>,
    pub is_lease_lost: AtomicBool,
    pub permit_requests: Mutex<Vec<PermitRequest>>,
    pub released_claims: AtomicUsize,
    pub restarts: AtomicUsize,
    pub resumes: AtomicUsize,
    /// Revocation token of permits; none for permits that are never revoked.
    pub revocation: Mutex<Option<CancellationToken>>,
    /// Whether permits are granted round robin, instead of always for the first endpoint.
    pub rotates_endpoints: AtomicBool,
    pub unknown_claims: AtomicUsize,
    addresses: Mutex<Vec<SocketAddr>>,
    next_endpoint: AtomicUsize,
}

/// Builds an entry whose dependencies are fakes.
pub struct EntryBuilder {
    pub limits: Limits,
    addresses: Vec<SocketAddr>,
}

/// Implements the dependencies on one shared `FakeBackend`.
struct SharedBackend(Arc<FakeBackend>);

struct FakePermit {
    address: SocketAddr,
    endpoint: EndpointName,
    is_finished: bool,
    backend: Arc<FakeBackend>,
    tokens: u32,
}

impl Drop for FakePermit {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_end(PermitEnd::Cancelled, self.tokens);
        }
    }
}

impl FakePermit {
    fn record_end(&self, end: PermitEnd, tokens: u32) {
        let mut finished_permits = self.backend.finished_permits.lock().unwrap();
        finished_permits.push((self.endpoint.to_string(), end, tokens));
    }
}

impl Permit for FakePermit {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    fn finish(mut self: Box<Self>, end: PermitEnd, tokens: u32) {
        self.is_finished = true;
        self.record_end(end, tokens);
    }

    fn priority(&self) -> i32 {
        7
    }

    fn report_progress(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    fn revocation(&self) -> Option<CancellationToken> {
        self.backend.revocation.lock().unwrap().clone()
    }
}

#[async_trait]
impl PermitSource for SharedBackend {
    /// Grants a permit for the next endpoint on which the request has not failed; if it failed on
    /// all, for the next endpoint.
    async fn acquire(&self, request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal> {
        self.0.permit_requests.lock().unwrap().push(request.clone());
        let addresses = self.0.addresses.lock().unwrap().clone();
        let names: Vec<EndpointName> = (0..addresses.len())
            .map(|index| EndpointName::new(&format!("e{index}")).unwrap())
            .collect();
        let first = if self.0.rotates_endpoints.load(Ordering::SeqCst) {
            self.0.next_endpoint.fetch_add(1, Ordering::SeqCst)
        } else {
            0
        };
        let order = (0..names.len()).map(|index| (first + index) % names.len());
        let chosen = order
            .clone()
            .find(|&index| !request.failed_endpoints.contains(&names[index]))
            .or(order.clone().next());
        let Some(chosen) = chosen else {
            return Err(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after_ms: 1_500,
            });
        };
        Ok(Box::new(FakePermit {
            address: addresses[chosen],
            endpoint: names[chosen].clone(),
            is_finished: false,
            backend: Arc::clone(&self.0),
            tokens: 0,
        }))
    }
}

#[async_trait]
impl ClaimStore for SharedBackend {
    async fn claim(&self, request: &ClaimRequest) -> ClaimResponse {
        let mut claims = self.0.claims.lock().unwrap();
        let known = claims
            .iter()
            .find(|(claim, _)| claim.customer == request.customer && claim.key == request.key);
        match known {
            None => {
                claims.push((request.clone(), None));
                ClaimResponse::Granted
            }
            Some((claim, _)) if claim.digest != request.digest => ClaimResponse::Mismatch,
            Some((_, Some(response))) => ClaimResponse::Finished(response.clone()),
            Some((_, None)) if self.0.unknown_claims.load(Ordering::SeqCst) > 0 => {
                ClaimResponse::Unknown
            }
            Some((_, None)) => ClaimResponse::InProgress,
        }
    }

    async fn finish(
        &self,
        request: &ClaimRequest,
        response: StoredResponse,
    ) -> Result<(), ClaimError> {
        let mut claims = self.0.claims.lock().unwrap();
        let claim = claims
            .iter_mut()
            .find(|(claim, _)| claim.key == request.key);
        claim.ok_or(ClaimError::NotHeld)?.1 = Some(response);
        Ok(())
    }

    async fn mark_unknown(&self, _request: &ClaimRequest) {
        self.0.unknown_claims.fetch_add(1, Ordering::SeqCst);
    }

    async fn release(&self, request: &ClaimRequest) {
        self.0.released_claims.fetch_add(1, Ordering::SeqCst);
        let mut claims = self.0.claims.lock().unwrap();
        claims.retain(|(claim, _)| claim.key != request.key);
    }
}

impl Directory for SharedBackend {
    fn authenticate(&self, key: &str) -> Option<CustomerName> {
        let name = key.strip_prefix("key-")?;
        CustomerName::new(name).ok()
    }

    fn default_kind(&self, _target: TargetRef<'_>) -> KindName {
        KindName::new("advice").unwrap()
    }

    fn has_live_lease(&self) -> bool {
        !self.0.is_lease_lost.load(Ordering::SeqCst)
    }

    fn models(&self) -> Vec<ModelName> {
        vec![ModelName::new("forge").unwrap()]
    }

    fn row_limits(&self, _customer: &CustomerName, kind: &KindName) -> Option<RowLimits> {
        (kind.as_str() != "unknown").then(RowLimits::default)
    }
}

impl ClassObserver for SharedBackend {
    fn record_dropped_connection(&self) {
        self.0.dropped_connections.fetch_add(1, Ordering::SeqCst);
    }

    fn record_restart(&self) {
        self.0.restarts.fetch_add(1, Ordering::SeqCst);
    }

    fn record_resume(&self) {
        self.0.resumes.fetch_add(1, Ordering::SeqCst);
    }
}

impl Observer for SharedBackend {
    fn class_observer(&self, _customer: &CustomerName, _kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(SharedBackend(Arc::clone(&self.0)))
    }

    fn record_rejection(&self, _status: u16) {}
}

impl EntryBuilder {
    /// An entry whose endpoints listen at `addresses`.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            addresses: addresses.to_vec(),
            limits: Limits::default(),
        }
    }

    /// Changes the default limits.
    pub fn limits(mut self, change: impl FnOnce(&mut Limits)) -> Self {
        change(&mut self.limits);
        self
    }

    /// Starts the entry on a free port of the loopback address.
    pub async fn bind(self) -> (Entry, Arc<FakeBackend>) {
        let backend = Arc::new(FakeBackend::default());
        *backend.addresses.lock().unwrap() = self.addresses;
        let shared = || Arc::new(SharedBackend(Arc::clone(&backend)));
        let dependencies = Dependencies {
            claims: shared(),
            directory: shared(),
            observer: shared(),
            permits: shared(),
        };
        let settings = Settings {
            address: "127.0.0.1:0".parse().unwrap(),
            limits: self.limits,
            log: Logger::root(Discard, o!()),
            region: RegionName::new("north").unwrap(),
            seed: 11,
        };
        let entry = Entry::bind(settings, dependencies).await.unwrap();
        (entry, backend)
    }
}
