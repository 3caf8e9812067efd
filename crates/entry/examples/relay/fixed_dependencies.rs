use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use entry::dependencies::{
    ClaimError, ClaimRequest, ClaimResponse, ClaimStore, ClassObserver, Dependencies, Directory,
    Observer, Permit, PermitEnd, PermitRequest, PermitSource, Refusal, RowLimits, StoredResponse,
    TargetRef,
};
use entry::{Entry, Limits, Settings};
use names::{CustomerName, EndpointName, KindName, ModelName, RegionName};
use slog::{Discard, Logger, o};

/// Dependencies of an entry that grant every request a permit for one engine.
struct FixedDependencies {
    engine: SocketAddr,
}

struct EnginePermit {
    address: SocketAddr,
    endpoint: EndpointName,
}

impl Permit for EnginePermit {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    fn finish(self: Box<Self>, _end: PermitEnd, _tokens: u32) {}

    fn priority(&self) -> i32 {
        0
    }

    fn report_progress(&mut self, _tokens: u32) {}
}

#[async_trait]
impl PermitSource for FixedDependencies {
    async fn acquire(&self, _request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal> {
        Ok(Box::new(EnginePermit {
            address: self.engine,
            endpoint: EndpointName::new("engine").unwrap(),
        }))
    }
}

#[async_trait]
impl ClaimStore for FixedDependencies {
    async fn claim(&self, _request: &ClaimRequest) -> ClaimResponse {
        ClaimResponse::Granted
    }

    async fn finish(&self, _: &ClaimRequest, _: StoredResponse) -> Result<(), ClaimError> {
        Ok(())
    }

    async fn mark_unknown(&self, _request: &ClaimRequest) {}

    async fn release(&self, _request: &ClaimRequest) {}
}

impl Directory for FixedDependencies {
    fn authenticate(&self, key: &str) -> Option<CustomerName> {
        CustomerName::new(key).ok()
    }

    fn default_kind(&self, _target: TargetRef<'_>) -> KindName {
        KindName::new("advice").unwrap()
    }

    fn has_live_lease(&self) -> bool {
        true
    }

    fn models(&self) -> Vec<ModelName> {
        Vec::new()
    }

    fn row_limits(&self, _customer: &CustomerName, _kind: &KindName) -> Option<RowLimits> {
        Some(RowLimits::default())
    }
}

impl ClassObserver for FixedDependencies {}

impl Observer for FixedDependencies {
    fn class_observer(&self, _customer: &CustomerName, _kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(FixedDependencies {
            engine: self.engine,
        })
    }

    fn record_rejection(&self, _status: u16) {}
}

/// Serves an entry until the process ends.
pub async fn serve(engine: SocketAddr) {
    let fixed = || Arc::new(FixedDependencies { engine });
    let dependencies = Dependencies {
        claims: fixed(),
        directory: fixed(),
        observer: fixed(),
        permits: fixed(),
    };
    let settings = Settings {
        address: "127.0.0.1:0".parse().unwrap(),
        limits: Limits::default(),
        log: Logger::root(Discard, o!()),
        region: RegionName::new("north").unwrap(),
        seed: 1,
    };
    let entry = Entry::bind(settings, dependencies).await.unwrap();
    println!("{}", entry.address());
    std::future::pending::<()>().await;
}
